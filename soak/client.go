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
	err           error
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
	return c.send(call{method: method, path: path, attempt: attempt, patience: maxPatience})
}

func (c *client) send(request call) callResult {
	startedAt := time.Now()
	result, err := c.exchange(request)
	var timeout net.Error
	if request.isLeaving && errors.As(err, &timeout) && timeout.Timeout() {
		err = errLeft
	}
	if err != nil {
		c.close()
	}
	result.elapsed, result.err = time.Since(startedAt), err
	return result
}

func (c *client) exchange(request call) (callResult, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
		if err != nil {
			return callResult{}, fmt.Errorf("connect: %w", err)
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(request.patience)); err != nil {
		return callResult{}, fmt.Errorf("set deadline: %w", err)
	}
	writeErr := c.write(request)
	// A host may have answered and closed the connection before it read the whole body.
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.method})
	if err != nil {
		return callResult{}, fmt.Errorf("read response: %w", errors.Join(err, writeErr))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	header := platform.ParseResponseHeader(response.StatusCode, response.Header)
	result := callResult{
		status: response.StatusCode, body: string(body), attempt: header.AttemptID, isSigned: header.IsSigned,
		hasRetryAfter: response.Header.Get("Retry-After") != "", hasExtraBytes: c.reader.Buffered() > 0,
	}
	if err != nil {
		return result, fmt.Errorf("read body: %w", err)
	}
	if response.Close || writeErr != nil {
		c.close()
	}
	return result, nil
}

// write writes a request once.
func (c *client) write(request call) error {
	header := make(http.Header)
	fake.SetRequestHeader(header, request.attempt, request.path, callerTimeout)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.method, request.path, fake.Domain)
	_ = header.Write(&text)
	if request.isChunked {
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		// The writer that adds the chunks' frames fails only if the builder does.
		chunks := httputil.NewChunkedWriter(&text)
		for half := range 2 {
			_, _ = io.WriteString(chunks, request.body[half*len(request.body)/2:(half+1)*len(request.body)/2])
		}
		_ = chunks.Close()
		text.WriteString("\r\n")
	} else {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(request.body), request.body)
	}
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
