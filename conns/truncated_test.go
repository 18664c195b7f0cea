package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// truncatedConn is a connection of an endpoint that sends a part of a response.
type truncatedConn struct {
	net.Conn
	part io.Reader
	// end is the error after the part. A connection reports a reset once, and then
	// io.EOF.
	end error
}

func (c *truncatedConn) Read(buffer []byte) (int, error) {
	count, err := c.part.Read(buffer)
	if errors.Is(err, io.EOF) {
		err, c.end = c.end, io.EOF
	}
	return count, err
}

func (c *truncatedConn) Write(data []byte) (int, error) { return len(data), nil }

// exchangePart reads the response of an endpoint that sends a part of it. The
// connection then ends with an error.
func exchangePart(t *testing.T, method, part string, end error) (*Response, error) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { assert.NilError(t, errors.Join(near.Close(), far.Close())) })
	pool := NewPool(nil)
	pool.dial = func(context.Context, string, string) (net.Conn, error) {
		return &truncatedConn{Conn: near, part: strings.NewReader(part), end: end}, nil
	}
	return pool.Exchange(t.Context(), netip.AddrPort{}, Request{
		Method: method, Target: "/x", Domain: "a.example", Deadline: time.Now().Add(time.Minute), MaxIdle: time.Minute,
		MatchesResponse: func(_ int, header http.Header, _ bool) bool { return header.Get("Attempt-Id") == "a" },
	})
}

// Guards against a response that is delivered as complete although its endpoint
// stopped within the head, the body or the trailer. Each one is cut after every
// byte, by a closed and by a reset connection.
func TestResponseCutAtAnyByteIsIncomplete(t *testing.T) {
	const fields = "Attempt-Id: a\r\nServer-Seal: s\r\n"
	const chunked = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\non\r\n1;x=y\r\ne\r\n0\r\n"
	tests := map[string]struct{ method, response string }{
		"length":                   {http.MethodGet, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 10\r\n\r\n0123456789"},
		"length before the id":     {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + fields + "\r\n0123456789"},
		"length of 0":              {http.MethodGet, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n"},
		"lines end with LF":        {http.MethodGet, "HTTP/1.1 200 OK\nAttempt-Id: a\nContent-Length: 2\n\nxy"},
		"chunks":                   {http.MethodGet, chunked + "\r\n"},
		"chunks with a trailer":    {http.MethodGet, chunked + "X: y\r\nZ: y\r\n\r\n"},
		"after interim responses":  {http.MethodGet, "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1\r\n\r\nx"},
		"after a foreign response": {http.MethodGet, "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 1\r\n\r\nx"},
		"older version":            {http.MethodGet, "HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 1\r\n\r\nx"},
		"folded field":             {http.MethodGet, "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n" + fields + "Content-Length: 1\r\n\r\nx"},
		"no content":               {http.MethodGet, "HTTP/1.1 204 No Content\r\n" + fields + "\r\n"},
		"not modified":             {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 9\r\n\r\n"},
		"response to HEAD":         {http.MethodHead, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 9\r\n\r\n"},
		"refusal":                  {http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\n" + fields + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, err := exchangePart(t, test.method, test.response, io.EOF)
				assert.NilError(t, err, "the whole response")
				for _, end := range []error{io.EOF, syscall.ECONNRESET} {
					for length := range len(test.response) {
						part := test.response[:length]
						_, err := exchangePart(t, test.method, part, end)
						var incomplete *IncompleteError
						assert.Assert(t, errors.As(err, &incomplete), "%v after %q: error %v", end, part, err)
					}
				}
			})
		})
	}
}

// Guards against a response without a length that is complete although its
// connection ended within the head, or was reset within the body.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n"
	const response = head + "body"
	synctest.Test(t, func(t *testing.T) {
		for length := range len(response) + 1 {
			part := response[:length]
			var incomplete *IncompleteError
			_, err := exchangePart(t, http.MethodGet, part, syscall.ECONNRESET)
			assert.Assert(t, errors.As(err, &incomplete), "reset after %q: error %v", part, err)
			whole, err := exchangePart(t, http.MethodGet, part, io.EOF)
			if length < len(head) {
				assert.Assert(t, errors.As(err, &incomplete), "closed after %q: error %v", part, err)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, string(whole.Body), part[len(head):])
			assert.Assert(t, whole.WillClose)
		}
	})
}

// Guards against a long response whose rest ends like a complete one although its
// connection ended earlier.
func TestRestOfLongResponseReportsItsCut(t *testing.T) {
	const fields = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
	content := strings.Repeat("x", maxBufferedBody+10)
	withLength := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(content), content)
	chunked := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(content), content)
	tests := map[string]struct {
		part       string
		end        error
		isComplete bool
	}{
		"length, whole":           {withLength, io.EOF, true},
		"length, closed":          {withLength[:len(withLength)-1], io.EOF, false},
		"length, reset":           {withLength[:len(withLength)-1], syscall.ECONNRESET, false},
		"chunks, whole":           {chunked, io.EOF, true},
		"chunks, without the end": {chunked[:len(chunked)-2], io.EOF, false},
		"chunks, closed":          {chunked[:len(chunked)-8], io.EOF, false},
		"no length, closed":       {fields + "\r\n" + content, io.EOF, true},
		"no length, reset":        {fields + "\r\n" + content, syscall.ECONNRESET, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response, err := exchangePart(t, http.MethodGet, test.part, test.end)
			assert.NilError(t, err)
			rest, err := io.ReadAll(response.Rest)
			assert.Equal(t, err == nil, test.isComplete, "error %v", err)
			if test.isComplete {
				assert.Equal(t, len(response.Body)+len(rest), len(content))
			}
		})
	}
}
