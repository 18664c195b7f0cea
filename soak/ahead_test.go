package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerTo returns a response to an attempt with more header lines.
func answerTo(attempt, lines string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%sContent-Length: 3\r\n\r\ni-0", attempt, lines)
}

// respondOnce accepts a connection, reads a number of requests, writes a text and closes it.
func respondOnce(t *testing.T, requests int, text string) *client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for range requests {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}()
	return &client{address: listener.Addr().String()}
}

// Guards against a soak that does not see a host which closes a connection behind requests
// that endpoints ran, or blames it for a response that broke off before them.
func TestSoakJudgesRequestsSentAhead(t *testing.T) {
	const closing = "Connection: close\r\n"
	broken := answerTo("a-0", "")
	broken = broken[:len(broken)-1]
	for name, test := range map[string]struct {
		text string
		// lost tells for each request whether its response counts as lost.
		lost  []bool
		wrong int
	}{
		"all answered":        {answerTo("a-0", "") + answerTo("a-1", "") + answerTo("a-2", closing), []bool{false, false, false}, 0},
		"closed as announced": {answerTo("a-0", "") + answerTo("a-1", closing), []bool{false, false, true}, 0},
		"closed at the first": {answerTo("a-0", closing), []bool{false, true, true}, 0},
		"closed at once":      {"", []bool{true, true, true}, 0},
		"closed unannounced":  {answerTo("a-0", ""), []bool{false, true, true}, 0},
		"broken off":          {broken, []bool{true, false, false}, 0},
		"in the wrong order":  {answerTo("a-1", "") + answerTo("a-0", "") + answerTo("a-2", ""), []bool{false, false, false}, 2},
		"one too many":        {answerTo("a-0", "") + answerTo("a-1", "") + answerTo("a-2", "") + answerTo("a-3", ""), []bool{false, false, false}, 1},
		"bytes behind an end": {answerTo("a-0", "") + answerTo("a-1", closing) + answerTo("a-2", ""), []bool{false, false, true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var requests []call
			for i := range test.lost {
				requests = append(requests, call{method: http.MethodGet, path: "/read/1", attempt: fmt.Sprint("a-", i), patience: proxyTimeout})
			}
			caller := respondOnce(t, len(requests), test.text)
			defer caller.close()
			b := &testbed{report: Report{Outcomes: make(map[string]int)}}
			c := newCallers(b)
			for i, result := range caller.sendAhead(requests) {
				c.check(&hostProcess{}, requests[i], "ahead", time.Now(), result)
			}
			for i, request := range c.ended {
				assert.Check(t, request.isLost == test.lost[i], request.attempt)
			}
			assert.Equal(t, len(b.report.Violations), test.wrong, "%q", b.report.Violations)
		})
	}
}

// Guards against a soak that counts the wait for earlier responses of a connection as the
// lateness of a later one, or does not see one that is late by itself.
func TestSoakCountsLatenessInTurn(t *testing.T) {
	for behind, violations := range map[time.Duration]int{0: 1, time.Millisecond: 0} {
		b := &testbed{report: Report{Outcomes: make(map[string]int)}}
		elapsed := callerTimeout + maxLateness + time.Millisecond
		result := callResult{status: http.StatusOK, body: "i-0", attempt: "a-1", isSigned: true, elapsed: elapsed, behind: behind}
		newCallers(b).check(&hostProcess{}, call{attempt: "a-1", timeout: callerTimeout}, "ahead", time.Now(), result)
		assert.Equal(t, len(b.report.Violations), violations, "%s: %q", behind, b.report.Violations)
	}
}
