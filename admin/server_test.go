package admin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a host that keeps the endless head of an operator's request.
func TestEndlessHeadEndsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(func() Status { return Status{} })
	go func() { _ = server.Run(listener) }()
	t.Cleanup(func() { assert.Check(t, server.Shutdown()) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(4*time.Second)))
	_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: a.example\r\nX: ")
	assert.NilError(t, err)
	_, err = conn.Write(bytes.Repeat([]byte("x"), 2*maxHeaderBytes))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
