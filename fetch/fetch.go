// Package fetch exchanges a request for a whole response with a peer over HTTP. It
// ends an exchange that makes no progress and bounds the size of the response. It
// does not bound the time of the whole exchange, which depends on the size and on
// the link.
package fetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"filberthold/conns"
)

const (
	// progressInterval is the time in which at least minProgress bytes of a
	// response's body must arrive.
	progressInterval = time.Second
	// minProgress is in bytes. A hundred peers that share a link of 1 Mbit/s get more
	// than that.
	minProgress = 1 << 10
)

// Result is a response whose body is complete.
type Result struct {
	// HeadAt is when the head arrived. What the response says is not newer, however
	// long its body took.
	HeadAt time.Time
	Status int
	Header http.Header
	Body   []byte
	// IsUnframed is true if the body had neither a length nor chunks. A peer that ends in the
	// middle of it, and closes its connection, cannot be told from one that sent all.
	IsUnframed bool
}

// StallError reports a response that did not arrive in time. It matches
// context.DeadlineExceeded.
type StallError struct {
	// Received is the number of bytes of the body that had arrived.
	Received int64
}

func (e *StallError) Error() string {
	if e.Received == 0 {
		return "no response in time"
	}
	return fmt.Sprintf("response stalled after %d bytes", e.Received)
}

// Is reports whether the target is context.DeadlineExceeded.
func (e *StallError) Is(target error) bool { return target == context.DeadlineExceeded }

// SizeError reports a response that is longer than the caller accepts.
type SizeError struct {
	// MaxBytes is the largest number of bytes that is accepted.
	MaxBytes int64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("response is longer than %d bytes", e.MaxBytes)
}

// Do sends a request and reads the whole response, at most maxBytes. The head of the
// response must arrive until headDeadline. It returns a StallError or a SizeError if
// the response does not arrive in time or is too long.
func Do(client *http.Client, request *http.Request, headDeadline time.Time, maxBytes int64) (Result, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	watch := &watchdog{cancel: cancel}
	watch.start(time.Until(headDeadline))
	defer watch.stop()
	sent := new(upload)
	response, err := client.Do(request.WithContext(sent.trace(ctx)))
	if err != nil {
		return Result{}, exchangeError(ctx, "send request", err)
	}
	headAt := time.Now()
	defer func() { _ = response.Body.Close() }()
	if err := conns.CheckHead(response); err != nil {
		return Result{}, fmt.Errorf("read response: %w", err)
	}
	watch.watchBody()
	var source io.Reader = response.Body
	if isUnframed(response) {
		source = &unframedBody{Reader: source, ctx: ctx, upload: sent}
	}
	body, err := io.ReadAll(io.LimitReader(&progressReader{source: source, watchdog: watch}, maxBytes+1))
	if err != nil {
		return Result{}, exchangeError(ctx, "read response", err)
	}
	if int64(len(body)) > maxBytes {
		return Result{}, fmt.Errorf("read response: %w", &SizeError{MaxBytes: maxBytes})
	}
	return Result{HeadAt: headAt, Status: response.StatusCode, Header: response.Header, Body: body, IsUnframed: isUnframed(response)}, nil
}

// exchangeError returns the error of a failed exchange: the StallError that ended it
// or the error of the connection.
func exchangeError(ctx context.Context, step string, err error) error {
	var stall *StallError
	if errors.As(context.Cause(ctx), &stall) {
		return fmt.Errorf("%s: %w", step, stall)
	}
	return fmt.Errorf("%s: %w", step, err)
}

// watchdog cancels an exchange whose head is late or whose body makes no progress.
type watchdog struct {
	cancel context.CancelCauseFunc
	// timer runs check. It is replaced once, by watchBody.
	timer *time.Timer
	// received is the number of bytes of the body that have arrived, checked the
	// number at the last check.
	received atomic.Int64
	checked  atomic.Int64
}

// start waits for the head.
func (w *watchdog) start(wait time.Duration) {
	w.timer = time.AfterFunc(wait, func() { w.cancel(&StallError{}) })
}

// watchBody ends the wait for the head and watches the body from now on.
func (w *watchdog) watchBody() {
	w.timer.Stop()
	w.timer = time.AfterFunc(progressInterval, w.check)
}

func (w *watchdog) check() {
	received := w.received.Load()
	if received-w.checked.Swap(received) < minProgress {
		w.cancel(&StallError{Received: received})
		return
	}
	w.timer.Reset(progressInterval)
}

func (w *watchdog) stop() { w.timer.Stop() }

// progressReader counts the bytes that are read.
type progressReader struct {
	source   io.Reader
	watchdog *watchdog
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	r.watchdog.received.Add(int64(count))
	return count, err
}
