package conns

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"time"
)

// maxTrailerBytes bounds the fields behind the last chunk of a body.
const maxTrailerBytes = 4 << 10

// openBody returns the body behind a head. It alone decides where a body ends: the body
// returns io.EOF only if it is complete.
func openBody(conn *connection, head *responseHead, upload *bodyWriter, deadline time.Time) io.Reader {
	switch head.bodyLength {
	case 0:
		return http.NoBody
	case chunkedLength:
		return &chunkedBody{source: conn.reader, chunks: httputil.NewChunkedReader(conn.reader)}
	case unframedLength:
		return &unframedBody{source: conn.reader, conn: conn, upload: upload, deadline: deadline}
	}
	return &lengthBody{source: conn.reader, remaining: head.bodyLength}
}

// lengthBody is a body with a length.
type lengthBody struct {
	source io.Reader
	// remaining is the number of bytes that are still to come, at least 0.
	remaining int64
}

// Read implements io.Reader.
func (b *lengthBody) Read(buffer []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	count, err := b.source.Read(buffer[:min(int64(len(buffer)), b.remaining)])
	b.remaining -= int64(count)
	if b.remaining == 0 {
		return count, nil
	}
	return count, noEOF(err)
}

// chunkedBody is a body in chunks, with the fields behind it, which are dropped.
type chunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	// end is the end of the body once it is known, or nil.
	end error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(buffer []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	count, err := b.chunks.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = b.skipTrailer()
	}
	b.end = err
	return count, err
}

// skipTrailer reads the fields behind the last chunk. It returns io.EOF if they end.
func (b *chunkedBody) skipTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := b.source.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("read trailer: %w", noEOF(err))
		}
		size += len(line)
		text, hasEnd := strings.CutSuffix(string(line), "\r\n")
		if hasEnd && text == "" {
			return io.EOF
		}
		name, value, isField := strings.Cut(text, ":")
		if err := checkField(name, value, text); !hasEnd || !isField || err != nil {
			return errors.Join(errors.New("invalid trailer"), err)
		}
	}
	return errTooLong
}

// unframedBody is the body of a response with neither a length nor chunks, which ends with
// its connection. A connection reports a reset once, to its reader or to the writer of the
// request, and the other one gets an error of its own kind or an end. So the end that a
// reader gets proves nothing while the request is written: the body is complete only if
// the whole request was written without an error.
type unframedBody struct {
	source io.Reader
	conn   *connection
	// upload sends the body of the request. It is nil if the request was written before
	// its response was read.
	upload *bodyWriter
	// deadline is that of the request.
	deadline time.Time
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	count, err := b.source.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = b.confirmEnd()
	}
	// The error is not wrapped: readers compare it with io.EOF.
	return count, err
}

// confirmEnd waits for the end of the upload, and returns io.EOF if all of it was sent. An
// endpoint may end its side of the connection and read on.
func (b *unframedBody) confirmEnd() error {
	if b.upload == nil {
		return io.EOF
	}
	timer := time.NewTimer(time.Until(b.deadline))
	defer timer.Stop()
	select {
	case <-b.upload.done:
	case <-b.conn.closed:
		return errors.New("connection was given up before the request was sent")
	case <-timer.C:
		return fmt.Errorf("connection ended while the request was sent: %w", os.ErrDeadlineExceeded)
	}
	if err := b.upload.wait(); err != nil {
		return fmt.Errorf("connection ended and the request was not sent: %w", err)
	}
	return io.EOF
}
