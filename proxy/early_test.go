package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// dialRaw opens a connection and sends bytes on it.
func (s *testServer) dialRaw(content string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte(content))
	assert.NilError(s.t, err)
	return conn
}

// readStatus returns the status of the next response on a connection.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against a read that waits at the host for the response to the read before it on
// the same connection, and against a submit that is sent before its turn.
func TestReadsOfOneConnectionRunTogether(t *testing.T) {
	ts := startTestServer(t, 2)
	for _, endpoint := range ts.endpoints {
		endpoint.SetLatency(500 * time.Millisecond)
	}
	var requests strings.Builder
	for _, request := range []string{"GET /read/1", "GET /read/2", "POST /submit/3"} {
		fmt.Fprintf(&requests, "%s HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\nAttempt-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", request, request[len(request)-1:])
	}
	conn := ts.dialRaw(requests.String())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ts.runs("1") == 1 && ts.runs("2") == 1 {
			return poll.Success()
		}
		return poll.Continue("both reads: not yet")
	}, poll.WithTimeout(400*time.Millisecond), poll.WithDelay(time.Millisecond))
	assert.Equal(t, ts.runs("3"), 0)
	reader := bufio.NewReader(conn)
	for _, attempt := range []string{"1", "2", "3"} {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.Header.Get("Attempt-Id"), attempt)
	}
	assert.Equal(t, ts.server.StartedEarly(), uint64(1))
}

// Guards against a host that closes a connection, as it stops, behind the second of
// several reads that it has sent to endpoints. The time to refuse new requests and to
// close the listener has come before the first one is answered.
func TestStoppingServerAnswersReadsThatStartedEarly(t *testing.T) {
	ts := startTestServer(t, 2)
	for _, endpoint := range ts.endpoints {
		endpoint.SetLatency(300 * time.Millisecond)
	}
	attempts := []string{"1", "2", "3", "4"}
	var requests strings.Builder
	for _, attempt := range attempts {
		fmt.Fprintf(&requests, "GET /read/%s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", attempt, attempt)
	}
	conn := ts.dialRaw(requests.String())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, attempt := range attempts {
			if ts.runs(attempt) == 0 {
				return poll.Continue("read %s does not run yet", attempt)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	ts.server.Leave(time.Now().Add(time.Minute))
	ts.server.Refuse()
	stopped := make(chan error, 1)
	go func() { stopped <- ts.server.Stop(t.Context()) }()
	reader := bufio.NewReader(conn)
	for _, attempt := range attempts {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err, "response to read %s", attempt)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.Header.Get("Attempt-Id"), attempt)
		assert.Equal(t, response.Close, attempt == "4")
	}
	assert.NilError(t, <-stopped)
}

// Guards against a submit that starts early because its path, once decoded, is that of a
// read: it could run although its connection closes before its turn, and be sent again.
func TestRouteOfEarlyRequestIsThatOfItsTarget(t *testing.T) {
	ts := startTestServer(t, 1)
	for target, canStart := range map[string]bool{"/read/1?q=2": true, "/%72ead/1": false, "/submit/1": false} {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
		assert.NilError(t, err)
		assert.Equal(t, ts.server.canStartEarly(request), canStart, target)
	}
}
