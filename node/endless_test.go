package node

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

// Guards against a host that keeps the endless head of a request for a lookup, for
// readiness or of another host: many of them would fill its memory.
func TestEndlessHeadEndsConnection(t *testing.T) {
	c := startCluster(t)
	c.start(71)
	settings := c.hosts[0].node.settings
	for _, address := range []string{settings.DirectoryAddress, settings.ReadyAddress, settings.ControlAddress} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\nX: ")
		assert.NilError(t, err)
		_, err = conn.Write(bytes.Repeat([]byte("x"), 2*maxHeadBytes))
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "%s waits for the rest of the head", address)
		assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, conn.Close())
	}
}
