package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"filberthold/platform"

	"gotest.tools/v3/assert"
)

// repeatingEndpoint refuses the first request on each connection. It runs the
// next ones, and writes an earlier refusal before each of their responses.
type repeatingEndpoint struct {
	listener net.Listener
	// refusal is the first response on each connection, and repeated is written
	// before the later ones. The former contains a verb for the request's id.
	refusal, repeated string
	mu                sync.Mutex
	runs              map[string]int
}

func (e *repeatingEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go (&repeatingConn{endpoint: e, conn: conn}).run()
	}
}

func (e *repeatingEndpoint) countRun(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
}

func (e *repeatingEndpoint) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

type repeatingConn struct {
	endpoint *repeatingEndpoint
	conn     net.Conn
}

func (c *repeatingConn) run() {
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	for isFirst := true; ; isFirst = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := platform.ParseRequestHeader(request.Header).AttemptID
		if isFirst {
			_, _ = fmt.Fprintf(c.conn, c.endpoint.refusal, id)
			continue
		}
		c.endpoint.countRun(id)
		_, _ = io.WriteString(c.conn, c.endpoint.repeated)
		_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nran", id)
	}
}

func (s *testServer) addRepeatingEndpoint(refusal, repeated string) *repeatingEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	endpoint := &repeatingEndpoint{listener: listener, refusal: refusal, repeated: repeated, runs: make(map[string]int)}
	s.t.Cleanup(func() { _ = listener.Close() })
	go endpoint.run()
	s.applyReady("i-0", listener.Addr().String())
	return endpoint
}

// Guards against a request that is refused as not run although an endpoint runs
// it, because the endpoint repeats an earlier refusal on the same connection.
func TestRepeatedRefusalIsNoProof(t *testing.T) {
	const withID = "HTTP/1.1 %s\r\nAttempt-Id: %%s\r\n%sContent-Length: 0\r\n\r\n"
	const withoutID = "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n"
	refusals := map[string]struct{ status, field string }{
		"503": {"503 Service Unavailable", "Not-Executed: 1\r\n"},
		"429": {"429 Too Many Requests", "Not-Executed: 1\r\n"},
		"421": {"421 Misdirected Request", ""},
		"400": {"400 Bad Request", "Not-Executed: 1\r\n"},
	}
	for name, refusal := range refusals {
		first := fmt.Sprintf(withID, "503 Service Unavailable", "Not-Executed: 1\r\n")
		repeated := map[string]string{
			"earlier id": fmt.Sprintf(fmt.Sprintf(withID, refusal.status, refusal.field), "a1"),
			"no id":      fmt.Sprintf(withoutID, refusal.status, refusal.field),
		}
		for idName, bytes := range repeated {
			t.Run(name+" with "+idName, func(t *testing.T) {
				ts := startTestServer(t, 0)
				endpoint := ts.addRepeatingEndpoint(first, bytes)
				status, _, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
				assert.Equal(t, status, http.StatusServiceUnavailable)
				status, body, _ := ts.send(http.MethodPost, "/submit/1", "a2", "content")
				assert.Equal(t, endpoint.runsOf("a2"), 1)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, body, "ran")
			})
		}
	}
}

// Guards against a refusal without an id that is not accepted although it is the
// only response on its connection, so that the request waits until its deadline.
func TestFirstRefusalNeedsNoID(t *testing.T) {
	ts := startTestServer(t, 0)
	ts.addRepeatingEndpoint("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: %s\r\nContent-Length: 0\r\n\r\n", "")
	status, _, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// Guards against a response without an id that is delivered to another request:
// one without an id cannot be told apart on a kept connection.
func TestRequestWithoutIDUsesNewConnection(t *testing.T) {
	ts := startTestServer(t, 1)
	for i := range 3 {
		status, _, _ := ts.send(http.MethodPost, "/submit/1", "", "content")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, ts.server.pool.Opened(), uint64(i+1))
	}
}
