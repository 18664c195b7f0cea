package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together exceed the retry limit when many endpoints that were
// stopped for a minute continue: each of them held no more retries than the hosts send
// before it counts as silent, but all of them together those earned in that minute.
func TestRetriesHeldByManyEndpointsShareTheRetryLimit(t *testing.T) {
	for _, test := range []struct{ hosts, rate int }{{1, 1}, {1, 50}, {10, 1}, {10, 3}, {10, 7}, {10, 20}, {59, 5}, {195, 5}, {680, 10}} {
		t.Run(fmt.Sprintf("%d hosts, %d a second", test.hosts, test.rate), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const window, holdTime = 10, 60
				const timeout = 3 * time.Second
				hosts, rate := test.hosts, test.rate
				limit := RetryLimit{Ratio: 0.2, Slack: 60}
				cores := newRetryCores(hosts, limit)
				setAlive(cores, hosts, time.Second)
				fillBudgets(cores)
				held := 0
				for range holdTime {
					for _, core := range cores {
						for range rate {
							if core.request() {
								held++
								go core.endHeldRetry(held, timeout)
							}
						}
					}
					setAlive(cores, hosts, time.Second)
				}
				count := held
				for range window {
					for _, core := range cores {
						for range rate {
							if core.request() {
								count++
								core.recordRetries("s", attemptEnd{endpoint: "i", result: steer.Failed, isRetry: true, isSent: true, sentAt: time.Now()})
							}
						}
					}
					setAlive(cores, hosts, time.Second)
				}
				synctest.Wait()
				allowed := limit.Ratio*float64(hosts*rate)*window + limit.Slack
				assert.Assert(t, float64(count) <= allowed, "%d retries arrive, %d of which were held, %.0f are allowed", count, held, allowed)
			})
		})
	}
}

// request plays a request to the service s that fails, and reports whether a retry was sent.
func (c *Core) request() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earnRetry("s")
	if _, isAllowed := c.canRetry(steer.Query{Service: "s", Tried: []model.EndpointName{"i"}}); !isAllowed {
		return false
	}
	c.sendRetry("s")
	return true
}

// endHeldRetry ends a retry at its deadline. Each one is held by an endpoint of its own.
func (c *Core) endHeldRetry(number int, timeout time.Duration) {
	sentAt := time.Now()
	time.Sleep(timeout)
	c.recordRetries("s", attemptEnd{endpoint: model.EndpointName(fmt.Sprint("i-", number)), result: steer.TimedOut, isRetry: true, isSent: true, sentAt: sentAt})
}
