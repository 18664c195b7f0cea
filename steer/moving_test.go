package steer

import (
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// notices are what an endpoint may say of itself.
var notices = map[string]Notice{
	"is leaving":        {Incarnation: 1, IsLeaving: true},
	"asks to be spared": {Incarnation: 1, RetryAfter: 20 * time.Second},
}

// hearFrom applies a notice of an endpoint.
func hearFrom(selector *Selector, endpoints *fixture, name model.EndpointName, heard Notice) {
	heard.Endpoint = name
	selector.Hear(heard, start())
	update(selector, endpoints)
}

// Guards against a query that waits for a slot of an endpoint which is leaving or asked to
// be spared, although another endpoint has room.
func TestWaitingQueryMovesToAnotherEndpoint(t *testing.T) {
	for name, heard := range notices {
		t.Run(name, func(t *testing.T) {
			endpoints := newFixture(0)
			for _, added := range []string{"a", "b", "c"} {
				endpoints.add(added, "za", 0)
			}
			selector := endpoints.selector("h")
			first := requireSend(t, selector.Choose(query("o"), start())).Endpoint.Name
			for {
				if _, isReject := selector.Choose(query("o"), start()).(Reject); isReject {
					break
				}
			}
			waitlist := NewWaitlist(selector, 8)
			_, isWaiting := waitlist.Push(query("o"), start().Add(time.Second))
			assert.Assert(t, isWaiting)
			assert.Equal(t, len(waitlist.Admit(start())), 0)
			hearFrom(selector, endpoints, first, heard)
			admitted := waitlist.Admit(start())
			assert.Equal(t, len(admitted), 1)
			assert.Assert(t, requireSend(t, admitted[0].Decision).Endpoint.Name != first)
		})
	}
}

// Guards against an object that returns to its endpoint while that is leaving or spared,
// that spreads over many others, or that does not return afterwards.
func TestPlacedObjectMovesToOneEndpoint(t *testing.T) {
	for name, heard := range notices {
		t.Run(name, func(t *testing.T) {
			endpoints := newFixture(8)
			selector := endpoints.selector("h")
			home := query("o")
			home.Route.ResidencyRegions = []model.RegionName{"north"}
			chosen := make(map[model.EndpointName]int)
			choose := func(now time.Time) model.EndpointName {
				sent := requireSend(t, selector.Choose(home, now))
				selector.Done(Outcome{Endpoint: sent.Endpoint.Name, Result: Answered, Elapsed: 100 * time.Millisecond}, now)
				return sent.Endpoint.Name
			}
			first := choose(start())
			assert.Equal(t, choose(start()), first)
			hearFrom(selector, endpoints, first, heard)
			for elapsed := time.Duration(0); elapsed < 19*time.Second; elapsed += 100 * time.Millisecond {
				chosen[choose(start().Add(elapsed))]++
			}
			assert.Equal(t, chosen[first], 0)
			assert.Equal(t, len(chosen), 1, "%v", chosen)
			last := choose(start().Add(30 * time.Second))
			assert.Equal(t, last == first, !heard.IsLeaving)
		})
	}
}

// Guards against a limited endpoint that gets more than its limit after it was spared.
func TestRateLimitHoldsAfterSpareTime(t *testing.T) {
	const perSecond = 2.0
	endpoints := newFixture(0)
	endpoints.add("a", "za", 0)
	selector := endpoints.selector("h")
	limited := Outcome{Endpoint: "a", Result: Answered, Elapsed: time.Millisecond, Limit: RateLimit{IsSet: true, PerSecond: perSecond}}
	requireSend(t, selector.Choose(query("o"), start()))
	selector.Done(limited, start())
	selector.Hear(sparedNotice("a", 2*time.Second), start())
	count := 0
	for elapsed := time.Duration(0); elapsed < 12*time.Second; elapsed += 10 * time.Millisecond {
		if _, isSend := selector.Choose(query("o"), start().Add(elapsed)).(Send); isSend {
			assert.Assert(t, elapsed >= 2*time.Second)
			selector.Done(limited, start().Add(elapsed))
			count++
		}
	}
	assert.Assert(t, count >= 15 && count <= int(10*perSecond)+permitBurst, "%d requests in 10 s", count)
}
