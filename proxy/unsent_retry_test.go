package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"filberthold/conns"
	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a retry that was not sent, because its caller left while the host
// connected, and that is taken for one that may still arrive.
func TestRetryThatWasNotSentIsNotHeld(t *testing.T) {
	outcome := classify(nil, platform.ResponseHeader{}, fmt.Errorf("send: %w", new(conns.NotSentError)), true)
	var notSent *conns.NotSentError
	assert.Assert(t, errors.As(outcome.err, &notSent))
	assert.Assert(t, !attemptEnd{endpoint: "i-1", result: outcome.result, isRetry: true, isSent: outcome.isSent()}.mayArrive())
}

// Guards against credit that is lost with each retry that could not connect: nothing of it
// arrives.
func TestRetryWithoutConnectionGetsItsCreditBack(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	for i, endpoint := range ts.endpoints {
		if first == fmt.Sprint("i-", i) {
			endpoint.SetBehaviour(fake.Shed)
			continue
		}
		assert.NilError(t, endpoint.Close())
	}
	before := ts.core.retryCredit("s")
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, ts.core.retryCredit("s") >= before, "credit %v before, %v after", before, ts.core.retryCredit("s"))
}
