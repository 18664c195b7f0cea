package proxy

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"filberthold/conns"
)

// streamBody lets the body be sent while it arrives, and while the response is delivered.
// Without full duplex, net/http reads a part of the body itself and drops it before it
// writes the response. The deadline ends the wait for a caller that sends no more.
func (e *exchange) streamBody(body io.Reader) bool {
	controller := http.NewResponseController(e.writer)
	err := errors.Join(controller.EnableFullDuplex(), controller.SetReadDeadline(e.deadline.Add(responseMargin)))
	if err != nil {
		e.refuse("the body cannot be streamed: "+err.Error(), unavailableRetryAfter)
		return false
	}
	e.stream = &streamedBody{source: body, left: math.MaxInt64}
	if limit := e.config.Limits().MaxBodyBytes; limit > 0 {
		e.stream.left = limit
	}
	return true
}

// errBodyTooLong ends a streamed body without a length that is longer than the
// configuration allows.
var errBodyTooLong = errors.New("the body is too long")

// fillBody buffers a body, or the beginning of a long one, and reports whether it is
// complete. The deadline of the request bounds the wait for a caller that stops sending.
func (e *exchange) fillBody() (bool, error) {
	if e.request.ContentLength == 0 {
		return true, nil
	}
	// An error means that the connection is closed, which Fill notices.
	controller := http.NewResponseController(e.writer)
	_ = controller.SetReadDeadline(e.deadline)
	isComplete, err := e.body.Fill(e.request.Body, maxBufferedBody, e.request.ContentLength)
	if err != nil {
		return false, fmt.Errorf("read body: %w", err)
	}
	// net/http watches the connection from the end of the body on.
	_ = controller.SetReadDeadline(time.Time{})
	return isComplete, nil
}

// streamedBody reads a body and notes its end.
type streamedBody struct {
	source io.Reader
	// left is the number of bytes that the body may still have.
	left int64
	// isRead is true once the whole body has been read.
	isRead atomic.Bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(buffer []byte) (int, error) {
	count, err := b.source.Read(buffer)
	if b.left -= int64(count); b.left < 0 {
		return 0, errBodyTooLong
	}
	if errors.Is(err, io.EOF) {
		b.isRead.Store(true)
	}
	// The error is not wrapped: readers compare it with io.EOF.
	return count, err
}

// streamReader returns the body if it is streamed, or nil.
func (e *exchange) streamReader() io.Reader {
	if e.stream == nil {
		return nil
	}
	return e.stream
}

// closeBehindBody announces that the connection closes if the response begins before the
// body has been read. With full duplex, net/http could otherwise take the rest of a body
// that stalls for the next request.
func (e *exchange) closeBehindBody() {
	if e.stream != nil && !e.stream.isRead.Load() {
		e.writer.Header().Set("Connection", "close")
	}
}

// finishBody waits until a streamed body has been sent: an endpoint may respond before it
// has read all of it, and read on. The caller has the response by then.
func (e *exchange) finishBody(response *conns.Response) error {
	if e.stream == nil {
		return nil
	}
	if err := http.NewResponseController(e.writer).Flush(); err != nil {
		return fmt.Errorf("send response: %w", err)
	}
	if err := response.WaitForRequest(); err != nil {
		return fmt.Errorf("the endpoint did not get the whole body: %w", err)
	}
	return nil
}
