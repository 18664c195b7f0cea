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

	"filberthold/memory"
)

const (
	// maxBufferedBody bounds the response body that is buffered completely, in
	// bytes. Longer bodies are streamed.
	maxBufferedBody = 1 << 20
	// defaultLifetime is how long an idle connection stays usable if the
	// endpoint does not send a keep-alive timeout.
	defaultLifetime = 8 * time.Second
	// lifetimeMargin is subtracted from the keep-alive timeout of an endpoint,
	// for the time that a request is in transit.
	lifetimeMargin = time.Second
	// maxMismatches is the number of responses to other requests that are
	// skipped before the connection is closed.
	maxMismatches = 2
	// MaxHeadBytes bounds the head of a response, with the interim responses
	// before it. A faulty peer may send bytes that never become a response.
	MaxHeadBytes = 64 << 10
	// maxSkippedBody bounds the body of a response to another request, in bytes.
	// Reading a longer one costs more than a new connection.
	maxSkippedBody = 1 << 20
)

// NoReuse is the MaxIdle of a request that must not use an idle connection.
const NoReuse = -1 * time.Nanosecond

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query of the request line.
	Target string
	Domain string
	Header http.Header
	Body   []byte
	// Stream is the body if it is not in Body. Length is its length in bytes, or
	// -1 if it is not known.
	Stream io.Reader
	Length int64
	// Deadline is when the response must be complete.
	Deadline time.Time
	// MaxIdle bounds how long the connection may have been idle. If it is
	// NoReuse, the request gets a new connection.
	MaxIdle time.Duration
	// MatchesResponse reports whether a response with the given status and
	// headers belongs to this request. isFirst is true if the connection carried
	// no response before it.
	MatchesResponse func(status int, header http.Header, isFirst bool) bool
	// Trace is filled by the exchange. It may be nil.
	Trace *Trace
}

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its beginning if Rest is not nil. It must not be used
	// after Close.
	Body []byte
	// Rest is the rest of a body that is long, or that the memory for bodies has no room
	// for. It ends with io.EOF only if the body is complete.
	Rest io.Reader
	// Length is the length of the complete body in bytes, or -1 if it is unknown.
	Length int64
	// WillClose is true if the connection is closed after the response.
	WillClose bool
	// kept holds Body.
	kept *memory.Buffer
	// conn is the connection of Rest or of bodyWriter, which is not used again. It is nil
	// without both.
	conn *connection
	// bodyWriter sends the request's body. It is nil if the request had no Stream.
	bodyWriter *bodyWriter
}

// CopyTo writes the body to a writer.
func (r *Response) CopyTo(writer io.Writer) error {
	_, err := writer.Write(r.Body)
	// The rest may take long.
	r.releaseBody()
	if r.Rest != nil && err == nil {
		_, err = io.Copy(writer, r.Rest)
	}
	if err != nil {
		return fmt.Errorf("copy body: %w", err)
	}
	if r.conn != nil && r.bodyWriter == nil {
		setLinger(r.conn.Conn, lingerDeliver)
	}
	return nil
}

// WaitForRequest waits until the request's body is sent: an endpoint may respond before
// it has read all of it. The body ends by the request's deadline, if reading from its
// Stream does.
func (r *Response) WaitForRequest() error {
	if r.bodyWriter == nil {
		return nil
	}
	if err := r.bodyWriter.wait(); err != nil {
		return err
	}
	setLinger(r.conn.Conn, lingerDeliver)
	return nil
}

func (r *Response) releaseBody() {
	r.kept.Release()
	r.Body = nil
}

// Close releases the memory of the body, and closes the connection if there is a Rest or
// the request had a Stream. An endpoint that has not got the whole body notices it.
// The receiver of a response must call it.
func (r *Response) Close() error {
	r.releaseBody()
	if r.conn == nil {
		return nil
	}
	if err := r.conn.Close(); err != nil {
		return fmt.Errorf("close connection of long response: %w", err)
	}
	return nil
}

// NotSentError reports that no byte of a request was written.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request was not sent: %v", e.cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// IncompleteError reports that a request was sent, at least in part, and no
// complete response was received.
type IncompleteError struct {
	cause error
	// isReused is true if the connection had carried a response before.
	isReused bool
	// isTimeout is true if the deadline passed before the response was read.
	isTimeout bool
	// isSourceBroken is true if the Stream of the request broke off.
	isSourceBroken bool
}

// Error implements error.
func (e *IncompleteError) Error() string { return fmt.Sprintf("no whole response: %v", e.cause) }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.cause }

// IsReused reports whether the connection had carried a response before.
func (e *IncompleteError) IsReused() bool { return e.isReused }

// IsTimeout reports whether the deadline passed before the response was read.
func (e *IncompleteError) IsTimeout() bool { return e.isTimeout }

// IsSourceBroken reports whether the Stream of the request broke off, so that it could not
// be sent whole.
func (e *IncompleteError) IsSourceBroken() bool { return e.isSourceBroken }

// Exchange sends a request and reads its response. A NotSentError proves that
// nothing was sent. After an IncompleteError the request may have run. The
// connection is closed if ctx ends. The connection of a request without a complete response
// is reset, which drops the bytes that have not left this host. The response must be closed.
func (p *Pool) Exchange(ctx context.Context, address netip.AddrPort, request Request) (*Response, error) {
	startedAt := time.Now()
	if !startedAt.Before(request.Deadline) {
		return nil, &NotSentError{cause: errors.New("deadline has passed")}
	}
	conn, err := p.get(ctx, address, request.MaxIdle)
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	request.Trace.start(conn, startedAt, time.Now())
	response, err := exchangeOn(conn, request, memory.NewBuffer(p.limit))
	request.Trace.end(conn, err)
	if err != nil || response.conn == nil {
		isOpen := stop()
		if err != nil || !isOpen {
			_ = conn.Close()
		}
		if err == nil && isOpen {
			p.keepOrClose(conn, address, response)
		}
	}
	if err != nil && ctx.Err() != nil {
		var incomplete *IncompleteError
		if errors.As(err, &incomplete) {
			incomplete.cause = context.Cause(ctx)
			incomplete.isTimeout = false
		}
	}
	return response, err
}

// keepOrClose returns the connection to the pool or closes it after a complete
// response.
func (p *Pool) keepOrClose(conn *connection, address netip.AddrPort, response *Response) {
	if response.WillClose || conn.reader.Buffered() > 0 {
		_ = conn.closeDelivered()
		return
	}
	// The check for unread bytes before the next use fails after the deadline.
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.closeDelivered()
		return
	}
	p.put(address, conn, idleLifetime(response.Header))
}

// exchangeOn sends a request on a connection and reads its response, with the body in
// kept.
func exchangeOn(conn *connection, request Request, kept *memory.Buffer) (*Response, error) {
	// The process may have been paused since the first check. It must not start
	// to send after the deadline.
	if !time.Now().Before(request.Deadline) {
		return nil, &NotSentError{cause: errors.New("deadline has passed")}
	}
	if err := conn.SetDeadline(request.Deadline); err != nil {
		return nil, &NotSentError{cause: fmt.Errorf("set deadline: %w", err)}
	}
	head := encodeHead(request)
	startedAt := time.Now()
	written, err := conn.Write(append(head, request.Body...))
	request.Trace.recordWrite(encodedSize(len(head), request), time.Since(startedAt))
	if err != nil {
		if written == 0 {
			return nil, &NotSentError{cause: fmt.Errorf("write request: %w", err)}
		}
		return nil, &IncompleteError{cause: fmt.Errorf("write request: %w", err), isReused: conn.isReused}
	}
	var bodyWriter *bodyWriter
	if request.Stream != nil {
		bodyWriter = newBodyWriter(conn, request)
		go bodyWriter.run()
	}
	response, err := readResponse(conn, request, bodyWriter, kept)
	if err != nil {
		kept.Release()
		sourceErr := bodyWriter.brokenSource()
		return nil, &IncompleteError{
			cause: errors.Join(err, sourceErr), isReused: conn.isReused, isTimeout: isTimeout(err), isSourceBroken: sourceErr != nil,
		}
	}
	if bodyWriter != nil {
		response.bodyWriter, response.conn = bodyWriter, conn
	}
	return response, nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// encodeHead returns the encoded request line and headers.
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
	// Writing to a bytes.Buffer returns no error.
	_ = request.Header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readResponse reads the response to a request. It skips responses to other
// requests, which faulty endpoints send late or repeat. upload sends the body of the request
// meanwhile, or is nil.
func readResponse(conn *connection, request Request, upload *bodyWriter, kept *memory.Buffer) (*Response, error) {
	for skipped := range maxMismatches + 1 {
		head, err := readHead(conn, request.Method)
		if err != nil {
			return nil, withSkipped(err, skipped)
		}
		body := openBody(conn, head, upload, request.Deadline)
		if !request.MatchesResponse(head.status, head.header, !conn.isReused) {
			request.Trace.countForeign()
			if head.bodyLength < 0 || head.bodyLength > maxSkippedBody {
				return nil, errors.New("response belongs to another request")
			}
			if _, err := io.Copy(io.Discard, body); err != nil {
				return nil, fmt.Errorf("skip foreign response: %w", err)
			}
			conn.isReused = true
			continue
		}
		request.Trace.recordHead(!conn.isReused)
		return readBody(conn, head, body, kept)
	}
	return nil, errors.New("only responses to other requests came")
}

// withSkipped adds the number of skipped responses to an error. A request that
// waits in vain after such a response has a faulty endpoint, not a slow one.
func withSkipped(err error, skipped int) error {
	if skipped == 0 {
		return err
	}
	return fmt.Errorf("after %d responses to other requests: %w", skipped, err)
}

// readHead reads the head of a response and skips interim responses.
func readHead(conn *connection, method string) (*responseHead, error) {
	conn.limit.set(MaxHeadBytes)
	defer conn.limit.lift()
	for {
		text, err := readHeadText(conn.reader)
		if err != nil {
			return nil, err
		}
		head, err := parseHead(text, method)
		if err != nil {
			return nil, err
		}
		if head.isFinal() {
			return head, nil
		}
	}
}

func readBody(conn *connection, head *responseHead, body io.Reader, kept *memory.Buffer) (*Response, error) {
	response := &Response{Status: head.status, Header: head.header, Length: max(head.bodyLength, -1), WillClose: head.willClose, kept: kept}
	isComplete, err := kept.Fill(body, maxBufferedBody, response.Length)
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	response.Body = kept.Bytes()
	if !isComplete {
		response.Rest, response.conn = body, conn
		response.WillClose = true
	}
	return response, nil
}

// idleLifetime returns how long an idle connection stays usable, from the
// Keep-Alive header of the endpoint's last response.
func idleLifetime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - lifetimeMargin
		}
	}
	return defaultLifetime
}
