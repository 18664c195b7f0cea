package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"filberthold/claim"
	"filberthold/model"

	"github.com/oklog/ulid/v2"
)

const (
	// keyLifetime is the time in which an issued key may be claimed.
	keyLifetime = 2 * time.Minute
	// unfinishedLifetime is the time after keyLifetime in which a row that
	// never became final is kept. It exceeds claim.LateWindow.
	unfinishedLifetime = 10 * time.Minute
	// storeInterval is the pause between attempts to store final rows.
	storeInterval = 200 * time.Millisecond
	// maxBoundKeys and maxBoundBytes bound the rows in memory. No key is issued
	// beyond them.
	maxBoundKeys  = 8192
	maxBoundBytes = 16 << 20
	// boundPrefix is the prefix of a key that an entry host issued. The host,
	// its incarnation and a ULID follow, separated by colons.
	boundPrefix = "bound:"
)

// ErrTooManyKeys is returned when no further key can be issued.
var ErrTooManyKeys = errors.New("too many host-bound keys")

// BoundKeys issues idempotency keys that are valid at this incarnation of this
// host only. It keeps their rows in memory, so that submits are served while
// the store is unavailable. Final rows are written to the store when it is
// available again.
type BoundKeys struct {
	client      *Client
	committer   *Committer
	host        model.HostName
	incarnation string
	mu          sync.Mutex
	// entries holds the issued keys. A key that is not in it is never claimed,
	// so removing an entry cannot lead to a second execution.
	entries map[string]*boundEntry
	// bytes is the size of the rows of all entries.
	bytes int
}

// boundEntry is an issued key.
type boundEntry struct {
	validUntil time.Time
	// row has version 0 until the key is claimed, and version 2 once final.
	row Row
	// stored is true once the store holds the final row.
	stored bool
}

// NewBoundKeys returns an issuer of keys whose Loop stores final rows.
func NewBoundKeys(client *Client, committer *Committer, host model.HostName, incarnation string) *BoundKeys {
	return &BoundKeys{client: client, committer: committer, host: host, incarnation: incarnation,
		entries: make(map[string]*boundEntry)}
}

// Register returns the register of the issued keys.
func (b *BoundKeys) Register() *Register {
	return &Register{client: b.client, rows: b, host: b.host}
}

// Issue returns a new key and the time until which it may be claimed.
func (b *BoundKeys) Issue(now time.Time) (string, time.Time, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) >= maxBoundKeys || b.bytes >= maxBoundBytes {
		return "", time.Time{}, fmt.Errorf("issue key: %w", ErrTooManyKeys)
	}
	key := boundPrefix + string(b.host) + ":" + b.incarnation + ":" + ulid.Make().String()
	validUntil := now.Add(keyLifetime)
	b.entries[key] = &boundEntry{validUntil: validUntil}
	return key, validUntil, nil
}

// Has reports whether an issued key is in memory.
func (b *BoundKeys) Has(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, exists := b.entries[key]
	return exists
}

// Host returns the host that issues the keys.
func (b *BoundKeys) Host() model.HostName { return b.host }

// IssuingHost returns the host that issued a key, and false for the keys of
// callers.
func IssuingHost(key string) (model.HostName, bool) {
	rest, isBound := strings.CutPrefix(key, boundPrefix)
	host, _, _ := strings.Cut(rest, ":")
	return model.HostName(host), isBound
}

// keyOf returns the idempotency key of a row key. Issued keys contain no slash.
func keyOf(rowKey string) string { return rowKey[strings.LastIndexByte(rowKey, '/')+1:] }

// commit implements rowStore.
func (b *BoundKeys) commit(_ context.Context, write Write) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, exists := b.entries[keyOf(write.Key)]
	switch {
	case !exists, entry.row.Version > 0 && entry.row.Key != write.Key:
		return fmt.Errorf("write row %q: key is not in memory: %w", write.Key, ErrNotWritten)
	case entry.row.Version != write.IfVersion:
		return NewConflictError([]Row{entry.row})
	case write.IfVersion == 0 && !time.Now().Before(entry.validUntil):
		return fmt.Errorf("write row %q: key has expired: %w", write.Key, ErrNotWritten)
	}
	b.bytes += len(write.Value) - len(entry.row.Value)
	entry.row = Row{Key: write.Key, Version: write.IfVersion + 1, Value: write.Value}
	return nil
}

// get implements rowStore.
func (b *BoundKeys) get(_ context.Context, rowKey string) (Row, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry, exists := b.entries[keyOf(rowKey)]
	switch {
	case !exists, entry.row.Version > 0 && entry.row.Key != rowKey:
		return Row{}, fmt.Errorf("get row %q: key is not in memory", rowKey)
	case entry.row.Version == 0:
		return Row{}, ErrAbsent
	}
	return entry.row, nil
}

// Loop writes final rows to the store and removes expired entries until ctx
// ends.
func (b *BoundKeys) Loop(ctx context.Context) error {
	for {
		select {
		case <-time.After(storeInterval):
			b.store(ctx)
			b.removeExpired(time.Now())
		case <-ctx.Done():
			return fmt.Errorf("wait for final rows: %w", ctx.Err())
		}
	}
}

// Flush waits until Loop has stored all final rows.
func (b *BoundKeys) Flush(ctx context.Context) error {
	for len(b.unstored()) > 0 {
		select {
		case <-time.After(storeInterval):
		case <-ctx.Done():
			return fmt.Errorf("%d final rows are not stored: %w", len(b.unstored()), ctx.Err())
		}
	}
	return nil
}

// unstored returns the final rows that the store does not hold.
func (b *BoundKeys) unstored() []Row {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rows []Row
	for _, entry := range b.entries {
		if entry.row.Version > firstRowVersion && !entry.stored {
			rows = append(rows, entry.row)
		}
	}
	return rows
}

// firstRowVersion is the version of a claimed row.
const firstRowVersion = 1

// store writes as many final rows as fit into one transaction. A conflict
// means that an earlier write of the row took effect, since no other process
// writes it.
func (b *BoundKeys) store(ctx context.Context) {
	var pending batch
	for _, row := range b.unstored() {
		value, err := b.storedValue(ctx, row)
		if err != nil {
			return
		}
		next := &queuedWrite{ctx: ctx, write: Write{Key: row.Key, Value: value}, result: make(chan error, 1)}
		if len(pending) > 0 && !pending.fits(next) {
			break
		}
		pending = append(pending, next)
	}
	b.committer.commit(ctx, pending)
	for _, queued := range pending {
		err := <-queued.result
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) {
			b.markStored(keyOf(queued.write.Key))
		}
	}
}

// storedValue returns the content of a row with a large body moved to an
// object.
func (b *BoundKeys) storedValue(ctx context.Context, row Row) ([]byte, error) {
	if len(row.Value) <= maxRowBody {
		return row.Value, nil
	}
	decoded, err := claim.Decode(row.Value)
	if err != nil {
		return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	moved, err := storeLargeBody(ctx, b.client, row.Key, decoded)
	if err != nil {
		return nil, err
	}
	return claim.Encode(moved)
}

func (b *BoundKeys) markStored(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry, exists := b.entries[key]; exists {
		entry.stored = true
	}
}

// removeExpired removes expired entries that were not claimed, whose row is
// stored, or that have stayed unfinished for too long. Final rows stay until
// they are stored.
func (b *BoundKeys) removeExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, entry := range b.entries {
		isDone := entry.row.Version == 0 || entry.stored
		isUnfinished := entry.row.Version == firstRowVersion && now.After(entry.validUntil.Add(unfinishedLifetime))
		if now.After(entry.validUntil) && (isDone || isUnfinished) {
			b.bytes -= len(entry.row.Value)
			delete(b.entries, key)
		}
	}
}
