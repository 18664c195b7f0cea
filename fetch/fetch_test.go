package fetch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// pacedBody returns a chunk of its content after each interval. It blocks until ctx
// ends if isHung is true and the content is used up.
type pacedBody struct {
	ctx      context.Context
	content  *bytes.Reader
	chunk    int
	interval time.Duration
	isHung   bool
	// available is what is left of the current chunk.
	available int
}

func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.content.Len() == 0 {
		if b.isHung {
			<-b.ctx.Done()
			return 0, b.ctx.Err()
		}
		return 0, io.EOF
	}
	if b.available == 0 {
		select {
		case <-time.After(b.interval):
			b.available = b.chunk
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	count, err := b.content.Read(buffer[:min(len(buffer), b.available)])
	b.available -= count
	return count, err
}

func (b *pacedBody) Close() error { return nil }

// pacedTransport responds with a body after a delay.
type pacedTransport struct {
	headDelay time.Duration
	body      pacedBody
	size      int
}

// RoundTrip implements http.RoundTripper.
func (t pacedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(t.headDelay):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	body := t.body
	body.ctx, body.content = request.Context(), bytes.NewReader(make([]byte, t.size))
	return &http.Response{StatusCode: http.StatusOK, Body: &body}, nil
}

// Guards against a response that is dropped before it is complete although it
// arrives steadily, and against an exchange that waits for a silent peer.
func TestOnlyStalledResponseFails(t *testing.T) {
	const maxBytes = 1 << 20
	cases := []struct {
		name      string
		transport pacedTransport
		// received is the number of bytes that arrive.
		received int
		// expected is the error, or nil.
		expected error
	}{
		{"long transfer", pacedTransport{body: pacedBody{chunk: 4 << 10, interval: 500 * time.Millisecond}, size: 200 << 10}, 200 << 10, nil},
		{"late head", pacedTransport{headDelay: 3 * time.Second, body: pacedBody{chunk: 10}, size: 10}, 0, context.DeadlineExceeded},
		{"silent within the body", pacedTransport{body: pacedBody{chunk: 1 << 10, isHung: true}, size: 5 << 10}, 0, context.DeadlineExceeded},
		{"too slow", pacedTransport{body: pacedBody{chunk: 1, interval: 100 * time.Millisecond}, size: 5 << 10}, 0, context.DeadlineExceeded},
		{"small last part", pacedTransport{body: pacedBody{chunk: 1, interval: 900 * time.Millisecond}, size: 1}, 1, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				request, err := http.NewRequest(http.MethodGet, "http://peer/", nil)
				assert.NilError(t, err)
				result, err := Do(&http.Client{Transport: c.transport}, request, time.Now().Add(2*time.Second), maxBytes)
				assert.Assert(t, errors.Is(err, c.expected), "%v", err)
				assert.Equal(t, len(result.Body), c.received)
			})
		})
	}
}

// Guards against a response that is cut at the limit and taken for a whole one.
func TestTooLongResponseFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		request, err := http.NewRequest(http.MethodGet, "http://peer/", nil)
		assert.NilError(t, err)
		transport := pacedTransport{body: pacedBody{chunk: 100}, size: 101}
		_, err = Do(&http.Client{Transport: transport}, request, time.Now().Add(time.Second), 100)
		var tooLong *SizeError
		assert.Assert(t, errors.As(err, &tooLong), "%v", err)
	})
}
