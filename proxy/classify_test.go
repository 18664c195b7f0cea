package proxy

import (
	"net/http"
	"testing"

	"filberthold/conns"
	"filberthold/platform"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against an endpoint that counts as silent for two minutes, and a retry that counts
// as one that may still arrive, because the caller left just after the whole answer came.
func TestAnswerIsNotAbandonedByCallerThatLeftAfterIt(t *testing.T) {
	outcome := classify(&conns.Response{Status: http.StatusOK}, platform.ResponseHeader{IsSigned: true}, nil, true)
	assert.Equal(t, outcome.result, steer.Answered)
	assert.Assert(t, !attemptEnd{result: outcome.result, isRetry: true, isSent: outcome.isSent()}.mayArrive())
}
