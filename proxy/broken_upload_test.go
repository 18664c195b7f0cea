package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that are refused because the body of another caller broke off:
// its endpoint, which is sound, is taken for unreachable.
func TestBodyThatBreaksOffIsNoFaultOfItsEndpoint(t *testing.T) {
	ts := startTestServer(t, 1)
	conn, err := net.Dial("tcp", ts.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	const bodyBytes = 80 << 10
	_, err = fmt.Fprintf(conn, "POST /submit/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes)
	assert.NilError(t, err)
	// The next chunk has no valid length.
	_, err = io.WriteString(conn, strings.Repeat("x", bodyBytes)+"\r\nno length\r\n")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusOK)
}
