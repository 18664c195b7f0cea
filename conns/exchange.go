package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	// maxWhole bounds a response that is read whole before any of it is passed
	// on. Longer ones are passed on while they arrive.
	maxWhole = 1 << 20
	// defaultLifetime is how long an idle connection is used if the endpoint
	// does not say when it closes it.
	defaultLifetime = 8 * time.Second
	// lifetimeMargin is kept from the lifetime that an endpoint states, for the
	// time that a request is on its way.
	lifetimeMargin = time.Second
	// maxForeign is the number of responses to other requests that are skipped
	// before a connection is given up.
	maxForeign = 2
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Domain string
	Header http.Header
	Body   []byte
	// Stream is the body if it is not in Body; Length is its length, or -1.
	Stream io.Reader
	Length int64
	// Deadline is when the response must be complete.
	Deadline time.Time
	// MaxIdle bounds the idle time of the connection that is used.
	MaxIdle time.Duration
	// MatchesResponse reports whether the headers belong to the response to this request.
	MatchesResponse func(status int, header http.Header) bool
}

// Response is the response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is not nil.
	Body []byte
	// Rest is the rest of a long body. It ends with io.EOF only if it is whole.
	Rest io.ReadCloser
	// Length is the length of a body with a Rest, or -1.
	Length int64
	// WillClose is true if the endpoint closes the connection after the response.
	WillClose bool
}

// NotSentError reports that no byte of a request was written.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// IncompleteError reports that a request was sent and no whole response came.
type IncompleteError struct {
	cause error
	// isReused is true if the connection had carried a request before.
	isReused bool
	// isSilent is true if not a byte of a response came before the deadline.
	isSilent bool
}

// Error implements error.
func (e *IncompleteError) Error() string { return fmt.Sprintf("no whole response: %v", e.cause) }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.cause }

// IsReused reports whether the connection had carried a request before.
func (e *IncompleteError) IsReused() bool { return e.isReused }

// IsTimeout reports whether the endpoint sent nothing before the deadline.
func (e *IncompleteError) IsTimeout() bool { return e.isSilent }

// Exchange sends a request and reads its response. A NotSentError proves that
// nothing was sent; after an IncompleteError the request may have run. Ending ctx
// closes the connection.
func (p *Pool) Exchange(ctx context.Context, address netip.AddrPort, request Request) (*Response, error) {
	if !time.Now().Before(request.Deadline) {
		return nil, &NotSentError{cause: errors.New("deadline has passed")}
	}
	used, err := p.get(ctx, address, request.MaxIdle)
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = used.Close() })
	reply, err := exchangeOn(used, request)
	if err != nil || reply.Rest == nil {
		isOurs := stop()
		if err != nil || !isOurs {
			_ = used.Close()
		}
		if err == nil && isOurs {
			p.settle(used, address, request, reply)
		}
	}
	if err != nil && ctx.Err() != nil {
		var broken *IncompleteError
		if errors.As(err, &broken) {
			broken.cause = context.Cause(ctx)
			broken.isSilent = false
		}
	}
	return reply, err
}

// settle keeps or closes the connection after a whole response.
func (p *Pool) settle(used *connection, address netip.AddrPort, request Request, reply *Response) {
	if reply.WillClose || request.Stream != nil || used.reader.Buffered() > 0 {
		_ = used.Close()
		return
	}
	p.put(address, used, lifetimeOf(reply.Header))
}

func exchangeOn(used *connection, request Request) (*Response, error) {
	// A process that was paused must not begin to send after the deadline.
	if !time.Now().Before(request.Deadline) {
		return nil, &NotSentError{cause: errors.New("deadline has passed")}
	}
	if err := used.SetDeadline(request.Deadline); err != nil {
		return nil, &NotSentError{cause: fmt.Errorf("set deadline: %w", err)}
	}
	head := encodeHead(request)
	written, err := used.Write(append(head, request.Body...))
	if err != nil {
		if written == 0 {
			return nil, &NotSentError{cause: fmt.Errorf("write request: %w", err)}
		}
		return nil, &IncompleteError{cause: fmt.Errorf("write request: %w", err), isReused: used.isReused}
	}
	if request.Stream != nil {
		go (&bodyWriter{conn: used, request: request}).run()
	}
	reply, err := readReply(used, request)
	if err != nil {
		return nil, &IncompleteError{cause: err, isReused: used.isReused, isSilent: isTimeout(err)}
	}
	return reply, nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// encodeHead writes the request line and headers as the caller sent them.
func encodeHead(request Request) []byte {
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Domain + "\r\n")
	switch {
	case request.Stream != nil && request.Length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case request.Stream != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(request.Length, 10) + "\r\n")
	case len(request.Body) > 0 || hasBody(request.Method):
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	// A bytes.Buffer does not fail.
	_ = request.Header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readReply reads the response to a request. Responses to other requests,
// which faulty endpoints send late, are skipped.
func readReply(used *connection, request Request) (*Response, error) {
	for range maxForeign + 1 {
		response, err := readHead(used, request.Method) //nolint:bodyclose // the body is read to its end or becomes part of the reply
		if err != nil {
			return nil, err
		}
		if !request.MatchesResponse(response.StatusCode, response.Header) {
			if response.ContentLength < 0 {
				return nil, errors.New("response belongs to another request")
			}
			if _, err := io.CopyN(io.Discard, response.Body, response.ContentLength); err != nil {
				return nil, fmt.Errorf("skip foreign response: %w", err)
			}
			used.isReused = true
			continue
		}
		return readBody(used, response)
	}
	return nil, errors.New("only responses to other requests came")
}

func readHead(used *connection, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(used.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read response head: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func readBody(used *connection, response *http.Response) (*Response, error) {
	reply := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, WillClose: response.Close}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhole+1))
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	reply.Body = body
	if len(body) > maxWhole {
		reply.Rest = &rest{Reader: response.Body, conn: used}
		reply.WillClose = true
	}
	return reply, nil
}

// rest is the rest of a long body; its connection is not used again.
type rest struct {
	io.Reader
	conn *connection
}

// Close implements io.Closer.
func (r *rest) Close() error {
	if err := r.conn.Close(); err != nil {
		return fmt.Errorf("close connection of long response: %w", err)
	}
	return nil
}

// lifetimeOf returns how long the endpoint keeps the idle connection.
func lifetimeOf(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - lifetimeMargin
		}
	}
	return defaultLifetime
}

// bodyWriter sends a long body while the response is awaited, because an
// endpoint may answer before it has read the body.
type bodyWriter struct {
	conn    *connection
	request Request
}

// run sends the body. A failure closes the connection, so that the endpoint
// does not take a part for the whole and the reader learns of it.
func (b *bodyWriter) run() {
	if err := b.copyBody(); err != nil {
		_ = b.conn.Close()
	}
}

func (b *bodyWriter) copyBody() error {
	if b.request.Length >= 0 {
		copied, err := io.Copy(b.conn, b.request.Stream)
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
		count, err := b.request.Stream.Read(buffer)
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
