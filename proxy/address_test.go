package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that is refused as not run although an endpoint runs it: the
// endpoint started again under another name at the address of a kept connection, and a
// copy of its refusal of the first attempt is read as the response to the second one.
func TestCopyOfRefusalIsNoAnswerToNextAttempt(t *testing.T) {
	const format = "HTTP/1.1 %s\r\nAttempt-Id: %%s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, status := range []string{"421 Misdirected Request", "503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"} {
		t.Run(status, func(t *testing.T) {
			ts := startTestServer(t, 0)
			refusal := fmt.Sprintf(format, status)
			endpoint := ts.addRepeatingEndpoint(refusal, fmt.Sprintf(refusal, "a1"))
			ts.applyReady("i-1", endpoint.listener.Addr().String())
			// The endpoint refuses the first request on each connection, and so both attempts.
			answer, _, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
			assert.Equal(t, answer, http.StatusServiceUnavailable)
			assert.Equal(t, endpoint.runsOf("a1"), 0, "refused and run")
			assert.Equal(t, ts.server.pool.Opened(), uint64(2))
		})
	}
}
