package conns

import (
	"errors"
	"io"
)

// errTooLong is the error of a limitedReader whose limit is reached.
var errTooLong = errors.New("the endpoint sent too many bytes")

// limitedReader reads from a source, at most a number of bytes while a limit is
// set. It is not safe for concurrent use.
type limitedReader struct {
	source    io.Reader
	isLimited bool
	// remaining is the number of bytes that may still be read while isLimited is
	// true.
	remaining int
}

// set allows a number of further bytes.
func (r *limitedReader) set(limit int) { r.isLimited, r.remaining = true, limit }

// lift removes the limit.
func (r *limitedReader) lift() { r.isLimited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if !r.isLimited {
		return r.source.Read(buffer)
	}
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	count, err := r.source.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= count
	return count, err
}
