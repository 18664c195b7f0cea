package steer

import (
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against requests that are not retried although an endpoint is sound: a caller left
// while it worked, long ago, and the objects of this host prefer another endpoint since.
func TestEndpointThatACallerLeftIsNotSilentForEver(t *testing.T) {
	f := newFixture(0)
	f.add("e-0", "za", 0)
	f.add("e-1", "za", 0)
	selector := f.selector("h")
	request := query("1")
	preferred := requireSend(t, selector.Choose(request, start()))
	selector.Done(Outcome{Endpoint: preferred.Endpoint.Name, Result: Answered, Elapsed: 20 * time.Millisecond}, start())
	request.Tried = []model.EndpointName{preferred.Endpoint.Name}
	other := requireSend(t, selector.Choose(request, start()))
	assert.Assert(t, other.Endpoint.Name != preferred.Endpoint.Name)
	selector.Done(Outcome{Endpoint: other.Endpoint.Name, Result: Abandoned, Elapsed: 20 * time.Millisecond}, start())
	later := start()
	for range 3600 {
		later = later.Add(time.Second)
		first := requireSend(t, selector.Choose(query("1"), later))
		selector.Done(Outcome{Endpoint: first.Endpoint.Name, Result: Answered, Elapsed: 20 * time.Millisecond}, later)
	}
	_, isSend := selector.Choose(request, later).(Send)
	assert.Assert(t, isSend, "no retry an hour after a caller left")
}
