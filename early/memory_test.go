package early

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthold/memory"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const longBody = 100 << 10

// startLongResponses starts a server whose responses are longBody bytes long, and returns
// its address.
func startLongResponses(t *testing.T, limit *memory.Limit, release <-chan struct{}) string {
	t.Helper()
	next := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/first" {
			<-release
		}
		_, _ = io.WriteString(writer, strings.Repeat(request.URL.Path[1:2], longBody))
	})
	server := httptest.NewUnstartedServer(NewHandler(next, func(*http.Request) bool { return true }, func() bool { return false }, limit))
	server.Listener = NewListener(server.Listener, limit)
	server.Config.ConnContext = ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func waitForUse(t *testing.T, limit *memory.Limit, holds func(used int64) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds(limit.Used()) {
			return poll.Success()
		}
		return poll.Continue("%d bytes are reserved", limit.Used())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against responses that wait for their turn and fill the memory of the host, and
// against memory that stays reserved for those whose caller leaves.
func TestResponsesThatWaitStayWithinMemory(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		limit := memory.NewLimit(3 * longBody / 2)
		release := make(chan struct{})
		end := sync.OnceFunc(func() { close(release) })
		conn, err := net.Dial("tcp", startLongResponses(t, limit, release))
		assert.NilError(t, err)
		// Otherwise the server cannot close after a failure.
		t.Cleanup(end)
		var requests strings.Builder
		for _, path := range []string{"first", "second", "third"} {
			fmt.Fprintf(&requests, "GET /%s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
		}
		_, err = io.WriteString(conn, requests.String())
		assert.NilError(t, err)
		waitForUse(t, limit, func(int64) bool { return limit.Refused() > 0 })
		if leaves {
			assert.NilError(t, conn.Close())
		}
		end()
		reader := bufio.NewReader(conn)
		for _, letter := range []string{"f", "s", "t"} {
			if leaves {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, string(body), strings.Repeat(letter, longBody))
		}
		waitForUse(t, limit, func(used int64) bool { return used == 0 })
	}
}
