package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthold/ring"
)

const (
	// DefaultBatchWindow is the time in which writes join a transaction. It is short
	// against the round trip to the store of another availability zone.
	DefaultBatchWindow = 2 * time.Millisecond
	// callTimeout bounds one call to the store, so that a connection that has
	// gone silent is given up. It is several round trips between regions.
	callTimeout = time.Second
	// changeCapacity bounds the writes that wait for a transaction.
	changeCapacity = 4096
	// maxGroupWrites and maxGroupBytes bound one transaction.
	maxGroupWrites = 256
	maxGroupBytes  = 1 << 20
)

// ErrNotWritten is returned for a write that was not sent to the store.
var ErrNotWritten = errors.New("not written")

// Committer puts single-row writes that arrive within a short window, or while
// a transaction is under way, into one transaction.
type Committer struct {
	client  *Client
	window  time.Duration
	changes *ring.Ring[*change]
}

// change is a write and the place for its result.
type change struct {
	// wanted ends when nobody waits for the result.
	wanted context.Context
	write  Write
	// result has room for the only result.
	result chan error
}

// NewCommitter returns a committer that works while Loop runs.
func NewCommitter(client *Client, window time.Duration) *Committer {
	return &Committer{client: client, window: window, changes: ring.New[*change](changeCapacity)}
}

// Commit writes one row. It returns a ConflictError with that row if the row
// has changed, and ErrNotWritten if the write was not sent to the store. Any
// other error leaves open whether the write takes effect.
func (c *Committer) Commit(ctx context.Context, write Write) error {
	queued := &change{wanted: ctx, write: write, result: make(chan error, 1)}
	if !c.changes.TryPut(queued) {
		return fmt.Errorf("queue write: %d writes wait: %w", changeCapacity, ErrNotWritten)
	}
	select {
	case err := <-queued.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for commit: %w", ctx.Err())
	}
}

// Queued returns the number of writes that wait for a transaction.
func (c *Committer) Queued() int { return c.changes.Len() }

// Loop commits groups of writes, one after the other, until ctx ends.
func (c *Committer) Loop(ctx context.Context) error {
	var next *change
	for {
		if next == nil {
			first, err := c.changes.Get(ctx)
			if err != nil {
				return fmt.Errorf("wait for write: %w", err)
			}
			next = first
		}
		var group group
		group, next = c.collect(ctx, next)
		c.commit(ctx, group)
	}
}

// collect returns the writes of one transaction, and the write that did not
// fit into it, if there is one.
func (c *Committer) collect(ctx context.Context, first *change) (group, *change) {
	collected := group{first}
	window := time.NewTimer(c.window)
	defer window.Stop()
	for {
		select {
		case next := <-c.changes.Items():
			if !collected.fits(next) {
				return collected, next
			}
			collected = append(collected, next)
		case <-window.C:
			return collected, nil
		case <-ctx.Done():
			return collected, nil
		}
	}
}

// commit sends a group, and sends it again without the writes that conflict.
func (c *Committer) commit(ctx context.Context, waiting group) {
	waiting = waiting.dropUnwanted()
	for len(waiting) > 0 {
		err := c.send(ctx, waiting)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			waiting.answer(err)
			return
		}
		rest := waiting.answerConflicts(conflict)
		if len(rest) == len(waiting) {
			waiting.answer(errors.New("store reported a conflict with rows that were not written"))
			return
		}
		waiting = rest
	}
}

func (c *Committer) send(ctx context.Context, waiting group) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.client.Commit(ctx, waiting.writes()...); err != nil {
		return fmt.Errorf("commit group: %w", err)
	}
	return nil
}

// group is the content of one transaction. Its keys differ: within a
// transaction the conditions are checked before any write takes effect, so two
// creates of one row would both succeed.
type group []*change

func (g group) has(key string) bool {
	for _, member := range g {
		if member.write.Key == key {
			return true
		}
	}
	return false
}

func (g group) fits(next *change) bool {
	if g.has(next.write.Key) || len(g) >= maxGroupWrites {
		return false
	}
	size := len(next.write.Value)
	for _, member := range g {
		size += len(member.write.Value)
	}
	return size <= maxGroupBytes
}

// dropUnwanted answers the writes that nobody waits for and returns the rest.
func (g group) dropUnwanted() group {
	var wanted group
	for _, member := range g {
		if member.wanted.Err() != nil {
			member.result <- fmt.Errorf("wait ended before the commit: %w", ErrNotWritten)
			continue
		}
		wanted = append(wanted, member)
	}
	return wanted
}

func (g group) writes() []Write {
	writes := make([]Write, len(g))
	for i, member := range g {
		writes[i] = member.write
	}
	return writes
}

func (g group) answer(err error) {
	for _, member := range g {
		member.result <- err
	}
}

// answerConflicts answers the writes that conflict and returns the rest.
func (g group) answerConflicts(conflict *ConflictError) group {
	changed := make(map[string]Row, len(conflict.Rows()))
	for _, row := range conflict.Rows() {
		changed[row.Key] = row
	}
	var rest group
	for _, member := range g {
		if row, isChanged := changed[member.write.Key]; isChanged {
			member.result <- NewConflictError([]Row{row})
			continue
		}
		rest = append(rest, member)
	}
	return rest
}
