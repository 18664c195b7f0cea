package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"filberthold/audit"
	"filberthold/model"
	"filberthold/place"
	"filberthold/replay"
	"filberthold/store"
)

const (
	// segmentInterval is the longest time that records wait for a segment at
	// today's size. It bounds what the death of a host loses.
	segmentInterval = time.Second
	// sparseInterval applies at many hosts: 680 hosts then make 68 of the
	// several hundred writes a second that the store handles.
	sparseInterval = 10 * time.Second
	// manyHosts is the number of hosts from which sparseInterval applies.
	manyHosts = 100
	// segmentBytes of records make a segment before the interval ends.
	segmentBytes = 256 << 10
	// backlogBytes bounds a segment. After an outage a full buffer takes 8
	// writes; with segmentBytes it would be 64, of the several hundred a second
	// that all hosts share.
	backlogBytes = 2 << 20
	// storeTimeout bounds one attempt to store a segment.
	storeTimeout = 5 * time.Second
	// firstBackoff is the wait after the first failed attempt.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff bounds the wait between attempts, so that records leave
	// memory soon after an outage.
	maxBackoff = 5 * time.Second
	// flushTimeout bounds how long a graceful shutdown waits for the store.
	flushTimeout = 10 * time.Second
)

// errOverwritten is returned when a segment's name holds other contents.
var errOverwritten = errors.New("object of the segment's name has other contents")

// ObjectStore stores segments. An object is created once and never changed.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, body []byte) error
	Object(ctx context.Context, name string) ([]byte, error)
}

// Archive keeps the records of an entry host and stores them in segments.
type Archive struct {
	log   *slog.Logger
	store ObjectStore
	chain *audit.Chain
	// full wakes the loop when there are enough records for a segment.
	full chan struct{}
	// closed ends the loop after the last record.
	closed chan struct{}
	// discarded is true if the rest is dropped at Close.
	discarded atomic.Bool
	// sealed is made and not yet stored, with sealedRecords records. isFinished
	// is true after the final segment was made. Only the loop uses them.
	sealed        audit.SegmentObject
	sealedRecords int
	isFinished    bool

	mu sync.Mutex
	// buffer bounds the memory for records that are not yet stored.
	buffer     *audit.Buffer
	deployment *model.Deployment
	requests   map[place.RequestID]openRequest
	attempts   map[place.AttemptID]openAttempt
	interval   time.Duration
	// threshold is the size of records that makes a segment, or 0 for none.
	threshold int
}

// openRequest is what records say of a request that is not yet answered.
type openRequest struct {
	request place.Request
	class   string
}

// openAttempt is what records say of an attempt that is in flight.
type openAttempt struct {
	openRequest
	endpoint model.EndpointName
	try      int
}

// NewArchive returns an archive of one incarnation of a host.
func NewArchive(log *slog.Logger, objects ObjectStore, host model.HostName, incarnation string) (*Archive, error) {
	chain, err := audit.NewChain(host, incarnation)
	if err != nil {
		return nil, fmt.Errorf("make chain: %w", err)
	}
	buffer, err := audit.NewBuffer(audit.MemoryLimit)
	if err != nil {
		return nil, fmt.Errorf("make buffer: %w", err)
	}
	return &Archive{
		log: log, store: objects, chain: chain, buffer: buffer,
		full: make(chan struct{}, 1), closed: make(chan struct{}),
		requests: make(map[place.RequestID]openRequest),
		attempts: make(map[place.AttemptID]openAttempt),
		interval: segmentInterval, threshold: segmentBytes,
	}, nil
}

// Close stores the rest and ends the loop. No record may follow.
func (a *Archive) Close() { close(a.closed) }

// UnsentBytes returns the memory of the records that are not stored yet, with
// the room that is reserved for submits.
func (a *Archive) UnsentBytes() int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buffer.UsedBytes()
}

// Discard makes Close drop the rest, as the loss of the process would.
func (a *Archive) Discard() { a.discarded.Store(true) }

// loop stores segments until Close is called.
func (a *Archive) loop() error {
	for {
		timer := time.NewTimer(a.currentInterval())
		select {
		case <-timer.C:
		case <-a.full:
		case <-a.closed:
		}
		timer.Stop()
		a.storeWaiting()
		if a.isClosed() {
			if !a.discarded.Load() {
				a.flush()
			}
			return nil
		}
	}
}

func (a *Archive) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

func (a *Archive) currentInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interval
}

// storeWaiting stores the records that wait, and those that come meanwhile if
// they fill a segment. Fewer wait for the next interval, since the store takes
// only so many writes.
func (a *Archive) storeWaiting() {
	for backoff := newBackoff(); !a.isClosed(); {
		if !a.sealNext(false) {
			return
		}
		err := a.storeSealed(context.Background())
		if err == nil {
			if !a.hasBacklog() {
				return
			}
			backoff = newBackoff()
			continue
		}
		wait := backoff.next()
		a.log.Warn("audit segment not stored", "segment", a.sealed.Name, "error", err, "retryIn", wait)
		select {
		case <-time.After(wait):
		case <-a.closed:
		}
	}
}

func (a *Archive) hasBacklog() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	least := a.threshold
	if least == 0 {
		least = backlogBytes
	}
	return a.buffer.UnstoredBytes() >= least
}

// flush stores what is left within flushTimeout, so that an outage of the
// store does not delay a graceful shutdown for ever.
func (a *Archive) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for backoff := newBackoff(); ctx.Err() == nil; {
		if !a.sealNext(true) {
			return
		}
		if err := a.storeSealed(ctx); err == nil {
			backoff = newBackoff()
			continue
		}
		select {
		case <-time.After(backoff.next()):
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Error("audit records lost at shutdown", "firstSegment", a.sealed.Name,
		"records", a.sealedRecords+a.buffer.ItemCount())
}

// sealNext makes the next segment unless one is still to be stored. It
// reports false if there is nothing to store.
func (a *Archive) sealNext(final bool) bool {
	if a.sealed.Name != "" {
		return true
	}
	if a.isFinished {
		return false
	}
	batch, exists, err := a.take(final)
	if err == nil && !exists {
		return false
	}
	// Compression happens without the lock, so that placement goes on.
	if err == nil {
		a.sealed, err = a.chain.AppendBatch(batch, final && batch.IsLast)
	}
	if err != nil {
		a.log.Error("audit segment not made, its records are lost", "error", err)
		return false
	}
	a.sealedRecords = batch.Len()
	a.isFinished = final && batch.IsLast
	return true
}

// take removes the records of the next segment from the buffer. A final
// segment may be without records.
func (a *Archive) take(final bool) (batch audit.Batch, exists bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.full:
	default:
	}
	if a.buffer.ItemCount() == 0 && !final {
		return audit.Batch{}, false, nil
	}
	batch, err = a.buffer.TakeBatch(backlogBytes)
	if err != nil {
		return audit.Batch{}, false, fmt.Errorf("take records: %w", err)
	}
	return batch, true, nil
}

// storeSealed stores the sealed segment once. If the name exists, a response
// of an earlier attempt was lost, and the contents must be the same.
func (a *Archive) storeSealed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.store.PutObject(ctx, a.sealed.Name, a.sealed.Body)
	if errors.Is(err, store.ErrExists) {
		err = a.compare(ctx)
	}
	if err != nil {
		return fmt.Errorf("store segment: %w", err)
	}
	a.sealed, a.sealedRecords = audit.SegmentObject{}, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.FreeStored()
	return nil
}

func (a *Archive) compare(ctx context.Context) error {
	body, err := a.store.Object(ctx, a.sealed.Name)
	if err != nil {
		return fmt.Errorf("read back: %w", err)
	}
	if !bytes.Equal(body, a.sealed.Body) {
		return errOverwritten
	}
	return nil
}

// backoff gives growing waits with a random part, so that hosts do not
// return to the store all at once after an outage.
type backoff struct{ wait time.Duration }

func newBackoff() backoff { return backoff{wait: firstBackoff} }

func (b *backoff) next() time.Duration {
	wait := b.wait
	b.wait = min(2*b.wait, maxBackoff)
	return wait/2 + rand.N(wait/2)
}

// SetTrace records all events and decisions. It is called before Serve.
func (h *Host) SetTrace(recorder *replay.Recorder) { h.dispatcher.trace = recorder }

// openArchive gives the dispatcher the archive of this incarnation.
func (h *Host) openArchive() (*Archive, error) {
	host := model.HostName(h.base.Settings().Host)
	archive, err := NewArchive(h.base.Log(), h.platform, host, h.incarnation)
	if err != nil {
		return nil, err
	}
	if err := archive.register(h.operators.Registry()); err != nil {
		return nil, err
	}
	h.dispatcher.archive = archive
	return archive, nil
}
