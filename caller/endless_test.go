package caller_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against a host that keeps the endless head of a caller's request.
func TestEndlessHeadEndsConnection(t *testing.T) {
	h := newHarness(t, model.Read)
	conn, err := h.network.Dial(t.Context(), "tcp", "h1:1")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(4*time.Second)))
	go func() {
		_, _ = io.WriteString(conn, "GET /v1/entries HTTP/1.1\r\nHost: a.example\r\nX: ")
		_, _ = conn.Write(bytes.Repeat([]byte("x"), 128<<10))
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
