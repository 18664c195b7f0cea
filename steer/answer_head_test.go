package steer

import (
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against requests that are not retried although an endpoint runs: it sent the head
// of a response, and the body took longer than the deadline.
func TestEndpointWithHeadOfAnswerIsNotSilent(t *testing.T) {
	for _, result := range []Result{TimedOut, Abandoned} {
		t.Run(result.String(), func(t *testing.T) {
			f := newFixture(0)
			f.add("e-0", "za", 0)
			selector := f.selector("h")
			sent := requireSend(t, selector.Choose(query("1"), start()))
			selector.RecordAnswer(sent.Endpoint.Name, start().Add(20*time.Millisecond))
			end := start().Add(2 * time.Second)
			selector.Done(Outcome{Endpoint: sent.Endpoint.Name, Result: result, Elapsed: 2 * time.Second}, end)
			assert.Assert(t, mayRetry(selector, end), "no retry at an endpoint that answered")
		})
	}
}

// Guards against retries at an endpoint that stopped after it had sent the head of an
// earlier response: the end of that response is no answer.
func TestEarlierHeadOfAnswerEndsNoSilence(t *testing.T) {
	f := newFixture(0)
	f.add("e-0", "za", 0)
	selector := f.selector("h")
	sent := requireSend(t, selector.Choose(query("1"), start()))
	requireSend(t, selector.Choose(query("1"), start().Add(time.Second)))
	selector.RecordAnswer(sent.Endpoint.Name, start().Add(20*time.Millisecond))
	silentAt := start().Add(3 * time.Second)
	selector.Done(Outcome{Endpoint: sent.Endpoint.Name, Result: TimedOut, Elapsed: 2 * time.Second}, silentAt)
	end := start().Add(10 * time.Second)
	selector.Done(Outcome{Endpoint: sent.Endpoint.Name, Result: TimedOut, Elapsed: 10 * time.Second}, end)
	assert.Assert(t, !mayRetry(selector, end), "a retry at an endpoint that is silent")
}

// mayRetry reports whether a request that another endpoint has had may be sent.
func mayRetry(selector *Selector, now time.Time) bool {
	retry := query("1")
	retry.Tried = []model.EndpointName{"another"}
	_, isSend := selector.Choose(retry, now).(Send)
	return isSend
}
