// Package memory bounds the memory that a host uses for bytes of other programs:
// requests of callers and responses of endpoints that it keeps until they are passed on.
package memory

import "sync/atomic"

// Limit is the number of bytes that all buffers of a host may hold together. It is safe
// for concurrent use. A nil Limit allows any number.
type Limit struct {
	maxBytes int64
	// used is the number of bytes that are reserved. It exceeds maxBytes until a
	// reservation that does not fit is refused, and by what Take adds.
	used atomic.Int64
	// refused counts the reservations that did not fit.
	refused atomic.Uint64
}

// NewLimit returns a limit of maxBytes.
func NewLimit(maxBytes int64) *Limit { return &Limit{maxBytes: maxBytes} }

// Reserve reserves a number of bytes and returns true, or returns false if they do not
// fit.
func (l *Limit) Reserve(count int) bool {
	if l == nil {
		return true
	}
	if l.used.Add(int64(count)) <= l.maxBytes {
		return true
	}
	l.used.Add(-int64(count))
	l.refused.Add(1)
	return false
}

// Take reserves a number of bytes although they may not fit.
func (l *Limit) Take(count int) {
	if l != nil {
		l.used.Add(int64(count))
	}
}

// Release gives reserved bytes back.
func (l *Limit) Release(count int) {
	if l != nil {
		l.used.Add(-int64(count))
	}
}

// Used returns the number of bytes that are reserved.
func (l *Limit) Used() int64 {
	if l == nil {
		return 0
	}
	return l.used.Load()
}

// Refused returns the number of reservations that did not fit so far.
func (l *Limit) Refused() uint64 { return l.refused.Load() }
