package proxy

import (
	"net/http"
	"testing"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a retry that its endpoint has answered and that is taken for one that may
// still arrive: it takes the place of credit for two minutes, and with it retries of others.
func TestMisdirectedRetryHasArrived(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
	for _, endpoint := range ts.endpoints {
		endpoint.SetRefusal(fake.Refusal{Status: "421 Misdirected Request"})
		endpoint.SetBehaviour(fake.Refuse)
	}
	if first == "i-0" {
		ts.endpoints[0].SetBehaviour(fake.Shed)
	} else {
		ts.endpoints[1].SetBehaviour(fake.Shed)
	}
	status, _, _ := ts.send(http.MethodPost, "/submit/1", "a2", "content")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	ts.core.mu.Lock()
	defer ts.core.mu.Unlock()
	assert.Equal(t, ts.core.outstandingRetries("s"), 0, "an answered retry is taken for one that may still arrive")
}
