package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a soak that takes a broken promise for a kept one, or the reverse.
func TestSoakJudgesExecutions(t *testing.T) {
	for _, test := range []struct {
		status, runs     int
		isSubmit, isLost bool
		violation        string
	}{
		{200, 1, true, false, ""},
		{200, 2, true, false, "a submit ran 2 times"},
		{200, 2, false, false, ""},
		{502, 1, true, false, ""},
		{504, 1, true, false, ""},
		{0, 1, true, false, ""},
		{0, 1, true, true, "the answer was lost, though the host was not disturbed"},
		{0, 0, true, true, ""},
		{200, 0, true, false, "success, but no endpoint ran it"},
		{503, 0, true, false, ""},
		{503, 1, true, false, "refused as not run (503), but ran"},
		{408, 1, true, false, "refused as not run (408), but ran"},
		{421, 1, true, false, "refused as not run (421), but ran"},
		{429, 1, true, false, "refused as not run (429), but ran"},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			request := endedRequest{isSubmit: test.isSubmit, status: test.status, isLost: test.isLost}
			assert.Equal(t, request.executionViolation(test.runs), test.violation)
		})
	}
}

// Guards against callers that send a request again by themselves, or alter its body.
func TestCallersWriteRequestsOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	bodies := make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				body, _ := io.ReadAll(request.Body)
				bodies <- string(body)
			}
			_ = conn.Close()
		}
	}()
	for _, isChunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", isChunked), func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			c := &client{conn: conn, reader: bufio.NewReader(conn)}
			request := drawCall(rand.New(rand.NewPCG(1, 1)), "submit", "a-1-1")
			request.isChunked, request.patience = isChunked, 5*time.Second
			assert.ErrorContains(t, c.send(request).err, "read response")
			assert.Equal(t, <-bodies, request.body)
			assert.Assert(t, c.conn == nil && len(bodies) == 0)
		})
	}
}
