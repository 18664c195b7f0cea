package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"filberthold/platform"

	"gotest.tools/v3/assert"
)

// truncatingEndpoint answers each request with a part of a response and closes the
// connection.
type truncatingEndpoint struct {
	listener net.Listener
	// part follows the id in the head of the response.
	part string
}

func (e *truncatingEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s", platform.ParseRequestHeader(request.Header).AttemptID, e.part)
		}
		_ = conn.Close()
	}
}

// Guards against a caller that gets a success with a complete body from an endpoint
// that stopped within its response.
func TestCutResponseIsNoSuccess(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	parts := map[string]string{
		"within the head":          "Server-Seal: s\r\n",
		"within a field":           "Server-Seal: s\r\nContent-Length: 1",
		"before the body":          "Server-Seal: s\r\nContent-Length: 10\r\n\r\n",
		"within the body":          "Server-Seal: s\r\nContent-Length: 10\r\n\r\npart",
		"within a long body":       fmt.Sprintf("Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long),
		"within a chunk":           "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\npart",
		"within a long chunk":      fmt.Sprintf("Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(long)+1, long),
		"before the last chunk":    "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"within the chunk trailer": "Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX: y\r\n",
	}
	for name, part := range parts {
		for _, path := range []string{"/read/1", "/submit/1", "/export/1"} {
			t.Run(name+path, func(t *testing.T) {
				ts := startTestServer(t, 0)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				t.Cleanup(func() { assert.NilError(t, listener.Close()) })
				go (&truncatingEndpoint{listener: listener, part: part}).run()
				ts.applyReady("i-0", listener.Addr().String())
				status, err := ts.readWhole(path)
				assert.Assert(t, status == http.StatusBadGateway || err != nil, "status %d with a complete body", status)
			})
		}
	}
}

// readWhole sends a request and returns its status, and an error if the body of its
// response is not complete.
func (s *testServer) readWhole(path string) (int, error) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.address+path, http.NoBody)
	assert.NilError(s.t, err)
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", "a1")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
