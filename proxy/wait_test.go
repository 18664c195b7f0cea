package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// waitFor waits until a condition holds.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("condition does not hold yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}
