package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// sendOnce writes a submit to one socket and returns the status of its response. With
// expects, the body follows only an interim response.
func (s *testServer) sendOnce(attempt string, bodyBytes int, expects bool) int {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(s.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	field := ""
	if expects {
		field = "Expect: 100-continue\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST /submit/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n%s\r\n", attempt, bodyBytes, field)
	assert.NilError(s.t, err)
	body := strings.Repeat("x", bodyBytes)
	if !expects {
		// A host that refuses the request may close the connection before it has the body.
		_, _ = io.WriteString(conn, body)
	}
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(s.t, err)
		assert.NilError(s.t, response.Body.Close())
		if response.StatusCode != http.StatusContinue {
			return response.StatusCode
		}
		_, _ = io.WriteString(conn, body)
	}
}

// Guards against a refusal of a request that an endpoint runs, before the refusal or after
// it: with a body that is buffered or streamed, that is sent at once or when the host asks for
// it, and that the endpoint has read or not when it refuses.
func TestRefusedRequestIsNotRun(t *testing.T) {
	refuse := func(early bool) func(*testServer) {
		return func(ts *testServer) {
			for _, endpoint := range ts.endpoints {
				endpoint.SetRefusal(fake.Refusal{Status: "503 Service Unavailable"})
				endpoint.SetBehaviour(fake.Refuse)
				endpoint.SetEarly(early)
			}
		}
	}
	for name, prepare := range map[string]func(*testServer){
		"the host refuses":             func(ts *testServer) { ts.server.Refuse() },
		"the host stops too soon":      func(ts *testServer) { ts.server.Leave(time.Now().Add(time.Second)) },
		"endpoints are gone":           func(ts *testServer) { closeAll(ts) },
		"endpoints refuse":             refuse(false),
		"endpoints refuse before body": refuse(true),
		"the host stops between attempts": func(ts *testServer) {
			refuse(false)(ts)
			for _, endpoint := range ts.endpoints {
				endpoint.SetLatency(100 * time.Millisecond)
			}
			time.AfterFunc(50*time.Millisecond, func() { ts.server.Leave(time.Now().Add(time.Second)) })
		},
	} {
		for _, bodyBytes := range []int{0, 24 << 10, 300 << 10} {
			for _, expects := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %d %t", name, bodyBytes, expects), func(t *testing.T) {
					ts := startTestServer(t, 2)
					prepare(ts)
					status := ts.sendOnce("a1", bodyBytes, expects && bodyBytes > 0)
					assert.Equal(t, status, http.StatusServiceUnavailable)
					// What was sent on may still arrive.
					ts.setBehaviour(fake.Serve)
					ts.waitForQuiet()
					assert.Equal(t, ts.runs("a1"), 0)
				})
			}
		}
	}
}

func closeAll(ts *testServer) {
	for _, endpoint := range ts.endpoints {
		assert.NilError(ts.t, endpoint.Close())
	}
}

// waitForQuiet waits until the endpoints have received no request for a while.
func (s *testServer) waitForQuiet() {
	count := func() (total int) {
		for _, endpoint := range s.endpoints {
			total += endpoint.RequestCount()
		}
		return total
	}
	const quiet = 30 * time.Millisecond
	for last, since := count(), time.Now(); time.Since(since) < quiet; {
		if now := count(); now != last {
			last, since = now, time.Now()
		}
		time.Sleep(time.Millisecond)
	}
}
