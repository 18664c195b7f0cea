package fetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
)

// upload tells whether a request was written. It is safe for concurrent use.
type upload struct {
	mu sync.Mutex
	// written is closed when the write of the request ends. It is nil until a connection
	// was chosen.
	written chan struct{}
	// err is the error of the write. It is set before written is closed.
	err error
}

// trace returns a context whose request reports its writes to the upload. net/http may send
// a request a second time, on another connection; the latest write counts.
func (u *upload) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.written, u.err = make(chan struct{}), nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.written == nil {
				return
			}
			select {
			case <-u.written:
			default:
				u.err = info.Err
				close(u.written)
			}
		},
	})
}

// confirm waits for the end of the write and returns its error.
func (u *upload) confirm(ctx context.Context) error {
	u.mu.Lock()
	written := u.written
	u.mu.Unlock()
	if written == nil {
		// The transport has no connections.
		return nil
	}
	select {
	case <-written:
	case <-ctx.Done():
		return fmt.Errorf("connection ended while the request was sent: %w", ctx.Err())
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return fmt.Errorf("connection ended and the request was not sent: %w", u.err)
	}
	return nil
}

// unframedBody is the body of a response with neither a length nor chunks, which ends with
// its connection. A connection reports a reset once, and net/http may get it as an error of
// the write and read an end. So the body is complete only if the whole request was written.
type unframedBody struct {
	io.Reader
	ctx    context.Context
	upload *upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		if broken := b.upload.confirm(b.ctx); broken != nil {
			return count, broken
		}
	}
	// The error is not wrapped: readers compare it with io.EOF.
	return count, err
}

// isUnframed reports whether the body of a response ends with its connection. A compressed
// body tells its end by itself.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && !response.Uncompressed && !slices.Contains(response.TransferEncoding, "chunked")
}
