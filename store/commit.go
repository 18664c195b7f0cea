package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthold/ring"
)

const (
	// DefaultBatchWindow is how long a Committer collects the writes of one
	// transaction. It is short compared with the round trip to the store of
	// another availability zone.
	DefaultBatchWindow = 2 * time.Millisecond
	// callTimeout bounds one call to the store, so that a call on a stalled
	// connection ends. It is several round trips between regions.
	callTimeout = time.Second
	// queueCapacity bounds the writes that wait for a transaction.
	queueCapacity = 4096
	// maxBatchWrites and maxBatchBytes bound one transaction.
	maxBatchWrites = 256
	maxBatchBytes  = 1 << 20
)

// ErrNotWritten is returned for a write that was not sent to the store.
var ErrNotWritten = errors.New("not written")

// Committer combines single-row writes into transactions: those that arrive
// within a short window, or while the previous transaction is in progress.
type Committer struct {
	client *Client
	window time.Duration
	queue  *ring.Ring[*queuedWrite]
}

// queuedWrite is a write that waits for a transaction.
type queuedWrite struct {
	// ctx is the context of the caller. A write whose caller no longer waits
	// is not sent.
	ctx   context.Context
	write Write
	// result has a capacity of 1, so that sending the result never blocks.
	result chan error
}

// NewCommitter returns a committer that sends writes while Loop runs.
func NewCommitter(client *Client, window time.Duration) *Committer {
	return &Committer{client: client, window: window, queue: ring.New[*queuedWrite](queueCapacity)}
}

// Commit writes one row. It returns a ConflictError with that row if the row
// has changed, and ErrNotWritten if the write was not sent to the store. After
// any other error it is unknown whether the write takes effect.
func (c *Committer) Commit(ctx context.Context, write Write) error {
	queued := &queuedWrite{ctx: ctx, write: write, result: make(chan error, 1)}
	if !c.queue.TryPut(queued) {
		return fmt.Errorf("queue write: %d writes wait: %w", queueCapacity, ErrNotWritten)
	}
	select {
	case err := <-queued.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for commit: %w", ctx.Err())
	}
}

// Queued returns the number of writes that wait for a transaction.
func (c *Committer) Queued() int { return c.queue.Len() }

// Loop commits batches of writes, one after the other, until ctx ends.
func (c *Committer) Loop(ctx context.Context) error {
	var next *queuedWrite
	for {
		if next == nil {
			first, err := c.queue.Get(ctx)
			if err != nil {
				return fmt.Errorf("wait for write: %w", err)
			}
			next = first
		}
		var batch batch
		batch, next = c.collect(ctx, next)
		c.commit(ctx, batch)
	}
}

// collect returns the writes of one transaction, and the write that did not
// fit into it, if there is one.
func (c *Committer) collect(ctx context.Context, first *queuedWrite) (batch, *queuedWrite) {
	collected := batch{first}
	window := time.NewTimer(c.window)
	defer window.Stop()
	for {
		select {
		case next := <-c.queue.Items():
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

// commit sends a batch, and sends it again without the writes that conflict.
func (c *Committer) commit(ctx context.Context, pending batch) {
	pending = pending.dropCancelled()
	for len(pending) > 0 {
		err := c.send(ctx, pending)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			pending.finish(err)
			return
		}
		remaining := pending.finishConflicts(conflict)
		if len(remaining) == len(pending) {
			pending.finish(errors.New("store reported a conflict with rows that were not written"))
			return
		}
		pending = remaining
	}
}

func (c *Committer) send(ctx context.Context, pending batch) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.client.Commit(ctx, pending.writes()...); err != nil {
		return fmt.Errorf("commit batch: %w", err)
	}
	return nil
}

// batch holds the writes of one transaction. Their keys differ: the platform
// checks all conditions of a transaction before it applies the first write, so
// two creates of one row would both succeed.
type batch []*queuedWrite

func (b batch) has(key string) bool {
	for _, queued := range b {
		if queued.write.Key == key {
			return true
		}
	}
	return false
}

func (b batch) fits(next *queuedWrite) bool {
	if b.has(next.write.Key) || len(b) >= maxBatchWrites {
		return false
	}
	size := len(next.write.Value)
	for _, queued := range b {
		size += len(queued.write.Value)
	}
	return size <= maxBatchBytes
}

// dropCancelled ends the writes whose callers no longer wait and returns the
// rest.
func (b batch) dropCancelled() batch {
	var remaining batch
	for _, queued := range b {
		if queued.ctx.Err() != nil {
			queued.result <- fmt.Errorf("wait ended before the commit: %w", ErrNotWritten)
			continue
		}
		remaining = append(remaining, queued)
	}
	return remaining
}

func (b batch) writes() []Write {
	writes := make([]Write, len(b))
	for i, queued := range b {
		writes[i] = queued.write
	}
	return writes
}

func (b batch) finish(err error) {
	for _, queued := range b {
		queued.result <- err
	}
}

// finishConflicts ends the writes that conflict and returns the rest.
func (b batch) finishConflicts(conflict *ConflictError) batch {
	changed := make(map[string]Row, len(conflict.Rows()))
	for _, row := range conflict.Rows() {
		changed[row.Key] = row
	}
	var remaining batch
	for _, queued := range b {
		if row, isChanged := changed[queued.write.Key]; isChanged {
			queued.result <- NewConflictError([]Row{row})
			continue
		}
		remaining = append(remaining, queued)
	}
	return remaining
}
