package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/platform/fake"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against a first attempt that arrives beyond the retry limit long after the retry
// that replaced it: its connection broke, and a stopped endpoint reads it when it continues.
func TestFirstAttemptOnBrokenConnectionMayStillArrive(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	for i, endpoint := range ts.endpoints {
		if first == fmt.Sprint("i-", i) {
			endpoint.SetBehaviour(fake.Reset)
		}
	}
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusOK)
	ts.core.mu.Lock()
	defer ts.core.mu.Unlock()
	assert.Equal(t, ts.core.retryUse("s").chosen, uint64(1))
	assert.Equal(t, ts.core.outstandingRetries("s"), 1)
}

// Guards against hosts that together exceed the retry limit by first attempts on broken
// connections: stopped endpoints hold them for a minute, while other endpoints answer their
// retries at once.
func TestFirstAttemptsHeldShareTheRetryLimit(t *testing.T) {
	for _, test := range []struct{ hosts, rate int }{{1, 20}, {10, 1}, {10, 2}, {10, 7}} {
		t.Run(fmt.Sprintf("%d hosts, %d a second", test.hosts, test.rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := RetryLimit{Ratio: 0.2, Slack: 60}
				cores := newRetryCores(test.hosts, limit)
				setAlive(cores, test.hosts, time.Second)
				fillBudgets(cores)
				late := 0
				for range 60 {
					for _, core := range cores {
						for range test.rate {
							sentAt := time.Now()
							first := &attemptEnd{endpoint: model.EndpointName(fmt.Sprint("i-", late)), result: steer.Unreachable, isSent: true, sentAt: sentAt}
							core.recordRetries("s", *first)
							if core.request() {
								late++ // the first attempt is the extra arrival
								core.recordRetries("s", attemptEnd{endpoint: "sound", result: steer.Answered, isRetry: true, isSent: true, sentAt: sentAt, brokenFirst: first})
							}
						}
					}
					setAlive(cores, test.hosts, time.Second)
				}
				allowed := limit.Ratio*float64(test.hosts*test.rate)*10 + limit.Slack
				assert.Assert(t, float64(late) <= allowed, "%d first attempts arrive as extra ones at once, %.0f are allowed", late, allowed)
			})
		})
	}
}
