package conns

import (
	"errors"
	"fmt"
	"io"
	"strconv"
)

// bodyWriter sends a streamed body while the response is read, because an
// endpoint may respond before it has read the body.
type bodyWriter struct {
	conn    *connection
	request Request
	// done is closed when the body is sent, or cannot be.
	done chan struct{}
	// err and sourceErr are set before done is closed. sourceErr is the error of the
	// request's Stream, or nil.
	err, sourceErr error
}

func newBodyWriter(conn *connection, request Request) *bodyWriter {
	return &bodyWriter{conn: conn, request: request, done: make(chan struct{})}
}

// run sends the body. If its source ends early, it closes the connection: the endpoint then
// does not treat a part as the complete body, and the response reader gets an error. After
// an error of the connection, that reader gets what arrived before, which may be a whole
// response with a length or chunks. At the deadline it ends by itself.
func (b *bodyWriter) run() {
	b.err = b.copyBody()
	close(b.done)
	if isShort := b.sourceErr != nil || errors.Is(b.err, io.ErrUnexpectedEOF); isShort && !isTimeout(b.err) {
		_ = b.conn.Close()
	}
}

// brokenSource returns the error of the request's Stream if that has ended the body.
func (b *bodyWriter) brokenSource() error {
	if b == nil {
		return nil
	}
	select {
	case <-b.done:
		return b.sourceErr
	default:
		return nil
	}
}

// Read reads from the request's Stream.
func (b *bodyWriter) Read(buffer []byte) (int, error) {
	count, err := b.request.Stream.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		b.sourceErr = err
	}
	// The error is not wrapped: io.Copy compares it with io.EOF.
	return count, err
}

// wait waits until the body is sent, or cannot be.
func (b *bodyWriter) wait() error {
	<-b.done
	return b.err
}

func (b *bodyWriter) copyBody() error {
	if b.request.Length >= 0 {
		copied, err := io.Copy(b.conn, io.Reader(b))
		if err == nil && copied < b.request.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return fmt.Errorf("send body: %w", err)
		}
		return nil
	}
	return b.copyChunks()
}

// copyChunks sends a body of unknown length in chunks.
func (b *bodyWriter) copyChunks() error {
	buffer := make([]byte, 16<<10)
	for {
		count, err := b.Read(buffer)
		if count > 0 {
			chunk := strconv.FormatInt(int64(count), 16) + "\r\n" + string(buffer[:count]) + "\r\n"
			if _, writeErr := io.WriteString(b.conn, chunk); writeErr != nil {
				return fmt.Errorf("send chunk: %w", writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
	}
	if _, err := io.WriteString(b.conn, "0\r\n\r\n"); err != nil {
		return fmt.Errorf("send last chunk: %w", err)
	}
	return nil
}
