package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against a late retry that counts for less than a window of the limit after it has
// arrived, or for as long as if it might still arrive.
func TestLateRetryCountsForOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 60})[0]
		setAlive([]*Core{core}, 61, time.Second)
		for range 10 {
			core.earnRetry("s")
		}
		core.sendRetry("s")
		held := attemptEnd{endpoint: "i", result: steer.TimedOut, isRetry: true, isSent: true, sentAt: time.Now()}
		core.recordRetries("s", held)
		setAlive([]*Core{core}, 61, time.Minute)
		core.recordRetries("s", attemptEnd{endpoint: "i", result: steer.Answered, isSent: true, sentAt: time.Now()})
		setAlive([]*Core{core}, 61, creditTime-time.Second)
		assert.Equal(t, core.outstandingRetries("s"), 1)
		setAlive([]*Core{core}, 61, 2*time.Second)
		assert.Equal(t, core.outstandingRetries("s"), 0)
	})
}
