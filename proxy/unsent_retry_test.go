package proxy

import (
	"errors"
	"fmt"
	"testing"

	"filberthold/conns"
	"filberthold/platform"

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
