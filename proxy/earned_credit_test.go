package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against hosts that lose the retries that they have earned, where they outnumber
// the slack, each time that a retry ends without an answer or its endpoint answers again.
func TestRetryWithoutAnswerLeavesEarnedCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 680
		core := newRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 60})[0]
		setAlive([]*Core{core}, hosts, time.Second)
		sentAt := time.Now()
		core.sendRetry("s")
		core.recordRetries("s", attemptEnd{endpoint: "i-1", result: steer.Abandoned, isRetry: true, isSent: true, sentAt: sentAt})
		fillBudgets([]*Core{core})
		assert.Assert(t, core.budgets["s"].CanSpend())
		time.Sleep(time.Millisecond)
		core.recordRetries("s", attemptEnd{endpoint: "i-1", result: steer.Answered, sentAt: time.Now()})
		assert.Assert(t, core.budgets["s"].CanSpend(), "the earned retry is lost because an earlier one has arrived")
	})
}
