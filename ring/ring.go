// Package ring provides bounded ring buffers that pass items between goroutines.
package ring

import (
	"context"
	"fmt"
)

// Ring is a bounded first-in, first-out buffer. It is safe for concurrent use.
type Ring[T any] struct {
	// items has a fixed capacity of at least 1 and is never closed, so that a
	// late Put after shutdown cannot panic.
	items chan T
}

// New returns a ring for up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(1, capacity))}
}

// TryPut adds an item and reports false if the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put adds an item. While the ring is full it waits until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("put into ring: %w", ctx.Err())
	}
}

// Get removes and returns the oldest item. While the ring is empty it waits until
// ctx ends.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("get from ring: %w", ctx.Err())
	}
}

// Items returns the channel of the items, for receiving in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }
