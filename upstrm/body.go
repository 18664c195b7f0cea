package upstrm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// StallError reports that a connection delivered no byte for too long. The
// upstream may still be working.
type StallError struct{ after time.Duration }

// Error implements error.
func (e *StallError) Error() string {
	return fmt.Sprintf("connection is silent: no byte for %v", e.after)
}

// IsClosedByUpstream reports whether an error means that the upstream ended
// the connection. An upstream that accepts cancellation has then stopped
// working on a read or an export.
func IsClosedByUpstream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// body is the body of a reply. A read that makes no progress ends the call.
type body struct {
	inner   io.ReadCloser
	timeout time.Duration
	timer   *time.Timer
	// ctx is the context of the call; its cause is a StallError if the timer
	// ended it.
	ctx context.Context
	// end ends the call for a cause.
	end func(cause error)
}

func newBody(ctx context.Context, inner io.ReadCloser, timeout time.Duration, end func(cause error)) *body {
	silent := func() { end(&StallError{after: timeout}) }
	made := &body{inner: inner, timeout: timeout, timer: time.AfterFunc(timeout, silent), ctx: ctx, end: end}
	made.timer.Stop()
	return made
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	b.timer.Reset(b.timeout)
	count, err := b.inner.Read(buffer)
	b.timer.Stop()
	var silent *StallError
	if err != nil && !errors.Is(err, io.EOF) && errors.As(context.Cause(b.ctx), &silent) {
		return count, silent
	}
	return count, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.timer.Stop()
	err := b.inner.Close()
	b.end(nil)
	return err
}

// isFramed reports whether the end of a response can be told from a break of
// its connection. A response without length and chunks ends with its
// connection, so a part of it would look whole.
func isFramed(method string, response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
}
