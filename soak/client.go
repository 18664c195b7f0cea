package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// connectTimeout bounds the time of a connection attempt to a host.
const connectTimeout = time.Second

// errLeft is the error of a request whose caller closed its connection on purpose.
var errLeft = errors.New("the caller left")

// call is a request of a caller.
type call struct {
	method, path string
	// attempt is the ID that the caller gives the request.
	attempt string
	body    string
	// isChunked is true if the body is sent in chunks, and not with a length.
	isChunked bool
	// isPaced is true if the caller sends the body in pieces with pauses between them.
	isPaced bool
	// version is the version of the configuration that alone has the route, or 0.
	version int
	// key is the key of the caller's organisation, or empty.
	key string
	// timeout is the timeout that the caller sends.
	timeout time.Duration
	// patience is how long the caller waits for a response until it closes its connection.
	patience time.Duration
	// isLeaving is true if the caller leaves on purpose when its patience ends.
	isLeaving bool
}

// digest returns the digest that an endpoint finds if it gets the request unchanged.
func (c call) digest() string {
	// Reading the body of a string does not fail.
	digest, _ := fake.Digest(c.method, c.path, strings.NewReader(c.body))
	return digest
}

// callResult is the response to a request or the error instead of one.
type callResult struct {
	status        int
	body          string
	attempt       string
	hasRetryAfter bool
	// isSigned is true if the response has an endpoint's signature.
	isSigned bool
	// hasExtraBytes is true if more bytes than the response arrived.
	hasExtraBytes bool
	elapsed       time.Duration
	// behind is the part of elapsed until the response to the request before, if both were
	// sent at once.
	behind time.Duration
	// isBehindBroken is true if an earlier response of the same group broke off.
	isBehindBroken bool
	err            error
}

// client sends requests to an address over a connection that it keeps open. It writes each
// request to one socket at most: the transport of net/http would send some again by itself.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends a request without a body over a new connection and reads its response. The
// attempt is the ID that the caller gives the request. send waits for at most callerTimeout
// and twice maxLateness.
func send(ctx context.Context, host *hostProcess, method, path, attempt string) callResult {
	if ctx.Err() != nil {
		return callResult{err: ctx.Err()}
	}
	c := &client{address: host.settings.CallerAddress()}
	defer c.close()
	return c.send(call{method: method, path: path, attempt: attempt, timeout: callerTimeout, patience: maxPatience})
}

func (c *client) send(request call) callResult {
	result, err := c.exchange(request)
	if request.isLeaving && isTimeout(err) {
		err = errLeft
	}
	if err != nil {
		c.close()
	}
	result.err = err
	return result
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// connect opens a connection if there is none, and sets its deadline.
func (c *client) connect(patience time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
		if err != nil {
			return fmt.Errorf("connect: %w", err)
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// exchange sends a request and reads its response meanwhile. The time of the result is that
// of the response, and not that of the body's end.
func (c *client) exchange(request call) (callResult, error) {
	startedAt := time.Now()
	if err := c.connect(request.patience); err != nil {
		return callResult{elapsed: time.Since(startedAt)}, err
	}
	written := make(chan error, 1)
	go func(conn net.Conn) { written <- request.write(conn) }(c.conn)
	result, mustClose, err := c.read(request)
	result.elapsed = time.Since(startedAt)
	if err != nil {
		c.close()
	}
	// A host may have answered and closed the connection before it read the whole body.
	writeErr := <-written
	if err != nil {
		return result, errors.Join(err, writeErr)
	}
	if mustClose || writeErr != nil {
		c.close()
	}
	return result, nil
}

// read reads a response. It reports whether the connection must be closed.
func (c *client) read(request call) (result callResult, mustClose bool, err error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.method})
	if err != nil {
		return callResult{}, true, fmt.Errorf("read response: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	header := platform.ParseResponseHeader(response.StatusCode, response.Header)
	result = callResult{
		status: response.StatusCode, body: string(body), attempt: header.AttemptID, isSigned: header.IsSigned,
		hasRetryAfter: response.Header.Get("Retry-After") != "", hasExtraBytes: c.reader.Buffered() > 0,
	}
	if err != nil {
		return result, true, fmt.Errorf("read body: %w", err)
	}
	return result, response.Close, nil
}

// write writes a request once: its head and each piece of its body by itself.
func (c call) write(to io.Writer) error {
	header := make(http.Header)
	fake.SetRequestHeader(header, c.attempt, c.path, c.timeout)
	if c.key != "" {
		fake.SetKey(header, c.key, forgedName)
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.path, fake.Domain)
	_ = header.Write(&head)
	var body io.WriteCloser = bodyWriter{to}
	if c.isChunked {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		body = chunkedWriter{httputil.NewChunkedWriter(to), to}
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(c.body))
	}
	if _, err := io.WriteString(to, head.String()); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	for i, piece := range c.pieces() {
		if i > 0 {
			time.Sleep(pieceInterval)
		}
		if _, err := io.WriteString(body, piece); err != nil {
			return fmt.Errorf("write body: %w", err)
		}
	}
	if err := body.Close(); err != nil {
		return fmt.Errorf("end body: %w", err)
	}
	return nil
}

// bodyWriter writes a body that has a length.
type bodyWriter struct{ io.Writer }

// Close implements io.Closer.
func (bodyWriter) Close() error { return nil }

// chunkedWriter writes a body in chunks.
type chunkedWriter struct {
	io.WriteCloser
	to io.Writer
}

// Close writes the last chunk and the end of the trailer.
func (w chunkedWriter) Close() error {
	if err := w.WriteCloser.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w.to, "\r\n")
	return err
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
