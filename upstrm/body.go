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

// StallError reports that no byte arrived on a connection before the timeout. The
// upstream may still be working.
type StallError struct{ after time.Duration }

// Error implements error.
func (e *StallError) Error() string {
	return fmt.Sprintf("connection is silent: no byte for %v", e.after)
}

// IsClosedByUpstream reports whether an error means that the upstream closed the
// connection. An upstream that supports cancellation has then stopped its work on
// a read or an export.
func IsClosedByUpstream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// progressBody is the body of a response. A read that makes no progress cancels the
// request.
type progressBody struct {
	inner io.ReadCloser
	// timeout bounds each read. 0 means no limit.
	timeout time.Duration
	timer   *time.Timer
	// ctx is the context of the request. Its cause is a StallError if the timer
	// cancelled it.
	ctx context.Context
	// cancel cancels the request. The cause is nil if the body is closed.
	cancel func(cause error)
}

func newProgressBody(ctx context.Context, inner io.ReadCloser, timeout time.Duration, cancel func(cause error)) *progressBody {
	onStall := func() { cancel(&StallError{after: timeout}) }
	// The timer runs during reads only.
	timer := time.AfterFunc(time.Hour, onStall)
	timer.Stop()
	return &progressBody{inner: inner, timeout: timeout, timer: timer, ctx: ctx, cancel: cancel}
}

// Read implements io.Reader.
func (b *progressBody) Read(buffer []byte) (int, error) {
	if b.timeout > 0 {
		b.timer.Reset(b.timeout)
	}
	count, err := b.inner.Read(buffer)
	b.timer.Stop()
	var stall *StallError
	if err != nil && !errors.Is(err, io.EOF) && errors.As(context.Cause(b.ctx), &stall) {
		return count, stall
	}
	return count, err
}

// Close implements io.Closer.
func (b *progressBody) Close() error {
	b.timer.Stop()
	err := b.inner.Close()
	b.cancel(nil)
	return err
}

// isFramed reports whether the end of a response can be distinguished from a lost
// connection. A response without a length and without chunks ends when its
// connection closes, so a partial response would look complete.
func isFramed(method string, response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
}
