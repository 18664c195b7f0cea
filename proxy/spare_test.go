package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against requests to an endpoint that asked to be spared, against a request
// that fails although another endpoint can serve it, and against an endpoint that stays
// unused after it started again.
func TestSparedEndpointGetsNoFurtherRequest(t *testing.T) {
	ts := startTestServer(t, 2)
	spared := ts.endpoints[0]
	spared.SetBehaviour(fake.Shed)
	spared.SetRetryAfter("60")
	for i := 0; spared.RequestCount() == 0 && i < 20; i++ {
		status, _, _ := ts.send(http.MethodPost, "/submit/1", fmt.Sprint("first", i), "")
		assert.Equal(t, status, http.StatusOK)
		ts.endpoints[1].SetLatency(50 * time.Millisecond)
	}
	ts.endpoints[1].SetLatency(0)
	assert.Equal(t, spared.RequestCount(), 1)
	spared.SetBehaviour(fake.Serve)
	assert.Equal(t, ts.sendAll("second", 10), 10)
	ts.core.RemoveEntry("i-0", time.Time{})
	ts.sendAll("third", 1)
	ts.applyEntry(2, 1)
	assert.Equal(t, ts.sendAll("fourth", 10), 10)
	assert.Equal(t, spared.RequestCount(), 1)
	ts.applyEntry(1, 2)
	ts.core.RemoveEntry("i-1", time.Time{})
	assert.Equal(t, ts.sendAll("fifth", 3), 3)
}

// Guards against a request that waits, or is told to return too early, although every
// endpoint asked to be spared: also the one that heard it, which has no attempt left, and
// one for which the retry budget is used up.
func TestRequestIsRejectedAtOnceIfEveryEndpointIsSpared(t *testing.T) {
	for name, hasBudget := range map[string]bool{"retries allowed": true, "no retry budget": false} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, 2)
			for !hasBudget && ts.core.budgets["s"].CanSpend() {
				ts.core.budgets["s"].Spend()
			}
			ts.setBehaviour(fake.Shed)
			for _, endpoint := range ts.endpoints {
				endpoint.SetRetryAfter("60")
			}
			hasRetryAfter := false
			for i := range 4 {
				startedAt := time.Now()
				status, _, header := ts.send(http.MethodPost, "/submit/1", fmt.Sprint("a", i), "")
				assert.Equal(t, status, http.StatusServiceUnavailable)
				assert.Assert(t, time.Since(startedAt) < 200*time.Millisecond)
				retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				isEverySpared := ts.endpoints[0].RequestCount() == 1 && ts.endpoints[1].RequestCount() == 1
				hasRetryAfter = hasRetryAfter || isEverySpared
				assert.Assert(t, !isEverySpared || retryAfter >= 59 && retryAfter < 62, "%s", header.Get("Retry-After"))
			}
			assert.Assert(t, hasRetryAfter)
			assert.Equal(t, ts.endpoints[0].RequestCount(), 1)
			assert.Equal(t, ts.endpoints[1].RequestCount(), 1)
		})
	}
}

// Guards against an endpoint that is taken out of use by a value that is no time.
func TestInvalidRetryAfterIsAPlainRefusal(t *testing.T) {
	for _, value := range []string{"-5", "NaN", "soon", "0", "Fri, 04 Dec 2099 20:00:00 GMT", "1e3"} {
		ts := startTestServer(t, 1)
		ts.setBehaviour(fake.Shed)
		ts.endpoints[0].SetRetryAfter(value)
		ts.send(http.MethodPost, "/submit/1", "a1", "")
		ts.setBehaviour(fake.Serve)
		status, _, _ := ts.send(http.MethodPost, "/submit/1", "a2", "")
		assert.Equal(t, status, http.StatusOK, "%q", value)
	}
}
