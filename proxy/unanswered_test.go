package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/platform/fake"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together exceed the retry limit when endpoints that were
// stopped continue: the retries that they held arrive together with those that the hosts
// have earned meanwhile.
func TestHeldRetriesShareTheRetryLimit(t *testing.T) {
	for name, settle := range map[string]func(core *Core){
		"the endpoint answers": func(core *Core) {
			core.recordRetries("s", attemptEnd{endpoint: "i-1", result: steer.Answered, sentAt: time.Now()})
		},
		"the time to arrive has passed": func(core *Core) {
			time.Sleep(steer.MaxHoldTime)
			core.recordRetries("s", attemptEnd{endpoint: "i-2", result: steer.Answered, sentAt: time.Now()})
		},
	} {
		t.Run(name, func(t *testing.T) {
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
				setAlive(cores, hosts, time.Minute)
				fillBudgets(cores)
				count := held + retries(cores, busyRequests)
				assert.Assert(t, float64(count) <= limit.Ratio*hosts*busyRequests+limit.Slack, "%d retries arrive, %d of which were held", count, held)
				settle(cores[0])
				fillBudgets(cores[:1])
				assert.Assert(t, retries(cores[:1], 1) == int(limit.Slack)/hosts, "retries that have arrived are counted still")
			})
		})
	}
}

// Guards against a host that takes the retries to an endpoint for arrived because another
// endpoint answers, or because the endpoint answers a request that was sent before them.
func TestHeldRetriesStayCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 2})[0]
		sentAt := time.Now()
		time.Sleep(time.Second)
		core.sendRetry("s")
		core.recordRetries("s", attemptEnd{endpoint: "i-1", result: steer.TimedOut, isRetry: true, isSent: true, sentAt: time.Now()})
		time.Sleep(time.Second)
		core.recordRetries("s", attemptEnd{endpoint: "i-1", result: steer.Answered, sentAt: sentAt})
		core.recordRetries("s", attemptEnd{endpoint: "i-2", result: steer.Answered, sentAt: time.Now()})
		core.recordRetries("s", attemptEnd{endpoint: "i-1", result: steer.Unreachable, sentAt: time.Now()})
		fillBudgets([]*Core{core})
		assert.Equal(t, retries([]*Core{core}, 1), 1)
	})
}

// Guards against a retry that ended at its deadline and is not taken for one that may
// still arrive, and against a first attempt that is.
func TestRetryWithoutAnswerMayStillArrive(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
	for _, endpoint := range ts.endpoints {
		endpoint.SetLatency(2 * time.Second)
	}
	count := func() int {
		ts.core.mu.Lock()
		defer ts.core.mu.Unlock()
		return ts.core.outstandingRetries("s")
	}
	for i, endpoint := range ts.endpoints {
		if first == fmt.Sprint("i-", i) {
			endpoint.SetBehaviour(fake.Shed)
			endpoint.SetLatency(0)
		}
	}
	status, _, _ := ts.send(http.MethodPost, "/submit/1", "a2", "content")
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Equal(t, count(), 1)
	for _, endpoint := range ts.endpoints {
		endpoint.SetBehaviour(fake.Serve)
		endpoint.SetLatency(2 * time.Second)
	}
	status, _, _ = ts.send(http.MethodPost, "/submit/1", "a3", "content")
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Equal(t, count(), 1)
}

// Guards against a retry that arrives beyond the retry limit because its connection broke
// after an endpoint's system had read it: a stopped endpoint runs it when it continues.
func TestRetryOnBrokenConnectionMayStillArrive(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	for i, endpoint := range ts.endpoints {
		endpoint.SetBehaviour(fake.Reset)
		if first == fmt.Sprint("i-", i) {
			endpoint.SetBehaviour(fake.Shed)
		}
	}
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusBadGateway)
	ts.core.mu.Lock()
	defer ts.core.mu.Unlock()
	assert.Equal(t, ts.core.outstandingRetries("s"), 1)
}

// Guards against credit that is lost for two minutes with each endpoint that has ended: a
// retry that could not connect does not arrive.
func TestRetryWithoutConnectionIsNotHeld(t *testing.T) {
	ts := startTestServer(t, 2)
	_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	for i, endpoint := range ts.endpoints {
		if first == fmt.Sprint("i-", i) {
			endpoint.SetBehaviour(fake.Shed)
			continue
		}
		assert.NilError(t, endpoint.Close())
	}
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	ts.core.mu.Lock()
	defer ts.core.mu.Unlock()
	assert.Equal(t, ts.core.retryUse("s").chosen, uint64(1))
	assert.Equal(t, ts.core.outstandingRetries("s"), 0)
}
