package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together exceed the retry limit because they have been started
// again while endpoints hold retries: those arrive together with the ones earned since.
func TestRestartedHostsShareTheRetryLimitWithHeldRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, busyRequests = 10, 10
		limit := RetryLimit{Ratio: 0.2, Slack: 60}
		cores := newRetryCores(hosts, limit)
		setAlive(cores, hosts, time.Second)
		fillBudgets(cores)
		held := 0
		for _, core := range cores {
			for core.budgets["s"].CanSpend() {
				core.sendRetry("s")
				held++
				core.recordRetries("s", attemptEnd{endpoint: "i-1", result: steer.TimedOut, isRetry: true, isSent: true, sentAt: time.Now()})
			}
		}
		cores = startRetryCores(hosts, limit)
		setAlive(cores, hosts, time.Minute)
		fillBudgets(cores)
		count := held + retries(cores, busyRequests)
		assert.Assert(t, float64(count) <= limit.Ratio*hosts*busyRequests+limit.Slack, "%d retries arrive, %d of which were held", count, held)
		setAlive(cores, hosts, earlierRetryTime)
		fillBudgets(cores)
		assert.Assert(t, retries(cores, busyRequests) >= int(limit.Slack), "the slack is lost for good")
	})
}
