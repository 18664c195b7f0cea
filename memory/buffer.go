package memory

import (
	"errors"
	"fmt"
	"io"
)

// freeBytes is the capacity of a buffer that needs no reservation. Most heads and short
// bodies fit, and they are kept even if the limit is reached.
const freeBytes = 4 << 10

// Buffer keeps bytes within a limit. Its zero value keeps them without one. It is not
// safe for concurrent use.
type Buffer struct {
	limit *Limit
	// content has a capacity of freeBytes or of the reserved bytes, whichever is more.
	content  []byte
	reserved int
}

// NewBuffer returns an empty buffer whose bytes count towards a limit.
func NewBuffer(limit *Limit) *Buffer { return &Buffer{limit: limit} }

// Bytes returns what the buffer keeps. It must not be used after Release.
func (b *Buffer) Bytes() []byte { return b.content }

// Release empties the buffer and gives its bytes back to the limit.
func (b *Buffer) Release() {
	b.limit.Release(b.reserved)
	b.content, b.reserved = nil, 0
}

// Fill reads from source until its end, until the buffer keeps more than maxBytes, or
// until the limit is reached. It reports whether the end was reached. expected is the
// length of the content if it is known, or less than 0.
func (b *Buffer) Fill(source io.Reader, maxBytes int, expected int64) (bool, error) {
	capacity := maxBytes + 1
	if expected >= 0 && expected < int64(capacity) {
		// One byte more than the content tells its end.
		capacity = int(expected) + 1
	}
	for {
		if len(b.content) == cap(b.content) && !b.grow(len(b.content)+1, capacity) {
			return false, nil
		}
		count, err := source.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+count]
		if errors.Is(err, io.EOF) {
			return len(b.content) <= maxBytes, nil
		}
		if err != nil {
			return false, fmt.Errorf("fill buffer: %w", err)
		}
	}
}

// Append adds content and returns true, unless the buffer would keep more than maxBytes
// or the limit is reached.
func (b *Buffer) Append(content []byte, maxBytes int) bool {
	needed := len(b.content) + len(content)
	if needed > cap(b.content) && !b.grow(needed, maxBytes) {
		return false
	}
	b.content = append(b.content, content...)
	return true
}

// grow makes room for a number of bytes, and for up to maxCapacity so that the content is
// seldom copied. It returns false if that is not enough or the limit is reached.
func (b *Buffer) grow(needed, maxCapacity int) bool {
	if needed > maxCapacity {
		return false
	}
	capacity := min(maxCapacity, max(needed, 2*cap(b.content), freeBytes))
	before, reserved := b.reserved, 0
	if capacity > freeBytes {
		reserved = capacity
	}
	// While the content is copied, there are two copies.
	if reserved > 0 && !b.limit.Reserve(reserved) {
		return false
	}
	content := make([]byte, len(b.content), capacity)
	copy(content, b.content)
	b.content, b.reserved = content, reserved
	b.limit.Release(before)
	return true
}
