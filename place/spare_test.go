package place_test

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/place"

	"gotest.tools/v3/assert"
)

// refuseSent ends all attempts among some decisions as not started, with the wish to be
// spared, until none is sent any more. It returns how often each endpoint got one.
func refuseSent(core *place.Core, decisions []place.Decision, spareFor time.Duration, now time.Time) map[model.EndpointName]int {
	sent := make(map[model.EndpointName]int)
	for len(decisions) > 0 {
		if send, isSend := decisions[0].(place.Send); isSend {
			sent[send.Endpoint]++
			decisions = append(decisions, core.Apply(place.Finished{Attempt: send.Attempt, Result: place.NotStarted, SpareFor: spareFor}, now)...)
		}
		decisions = decisions[1:]
	}
	return sent
}

// newSpareTest returns a core with four endpoints that have earned many retries.
func newSpareTest(t *testing.T, now time.Time) *place.Core {
	core := place.New("host-0")
	core.Apply(place.Adopted{Deployment: deployFleet(t, 1)}, now)
	for i := range 200 {
		for _, decision := range core.Apply(arrival(fmt.Sprint("earn", i), now), now) {
			if send, isSend := decision.(place.Send); isSend {
				core.Apply(place.Finished{Attempt: send.Attempt, Result: place.Succeeded}, now)
			}
		}
	}
	return core
}

// spareAll lets all four endpoints ask to be spared.
func spareAll(t *testing.T, core *place.Core, spareFor time.Duration, now time.Time) {
	t.Helper()
	spared := make(map[model.EndpointName]int)
	for i := 0; len(spared) < 4; i++ {
		assert.Assert(t, i < 20, "%v", spared)
		for name, count := range refuseSent(core, core.Apply(arrival(fmt.Sprint("spare", i), now), now), spareFor, now) {
			spared[name] += count
			assert.Equal(t, spared[name], 1, "%s", name)
		}
	}
}

// Guards against requests to an endpoint that asked to be spared, and against requests
// that wait although none will be free before their deadlines.
func TestSparedEndpointsGetNoRequests(t *testing.T) {
	const asked = 3 * time.Second
	now := time.Unix(1_000_000, 0)
	core := newSpareTest(t, now)
	spareAll(t, core, asked, now)
	// A shorter time later does not end the longer one, and a request with a second is
	// refused at once.
	for elapsed := time.Duration(0); elapsed < asked-time.Second; elapsed += 100 * time.Millisecond {
		decisions := core.Apply(arrival(fmt.Sprint("during", elapsed), now.Add(elapsed)), now.Add(elapsed))
		assert.Equal(t, len(decisions), 1)
		assert.Equal(t, decisions[0].(place.Refuse).Reason, "every endpoint asked to be spared")
		assert.Equal(t, decisions[0].(place.Refuse).Outcome, model.NotSent)
	}
	// One that can still be served waits, and is sent when the time ends.
	late := now.Add(asked - time.Second/2)
	waiting := core.Apply(arrival("waits", late), late)
	assert.Equal(t, waiting[len(waiting)-1].(place.Wait).Reason, "endpoints asked to be spared")
	assert.Equal(t, core.NextTick(), now.Add(asked))
	sent := core.Apply(place.Ticked{}, now.Add(asked))
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].(place.Send).Request, place.RequestID("waits"))
}

// Guards against requests that were queued before and wait for endpoints which asked to be
// spared for longer, until their deadlines pass.
func TestQueuedRequestsAreRefusedIfAllEndpointsAreSpared(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	core := newSpareTest(t, now)
	var sent []place.Send
	for i := range 6 {
		for _, decision := range core.Apply(arrival(fmt.Sprint("r", i), now), now) {
			if send, isSend := decision.(place.Send); isSend {
				sent = append(sent, send)
			}
		}
	}
	assert.Equal(t, len(sent), 4)
	refused := make(map[place.RequestID]bool)
	for _, send := range sent {
		for _, decision := range core.Apply(place.Finished{Attempt: send.Attempt, Result: place.NotStarted, SpareFor: time.Minute}, now) {
			_, isSend := decision.(place.Send)
			assert.Assert(t, !isSend, "%#v", decision)
			if refuse, isRefuse := decision.(place.Refuse); isRefuse {
				refused[refuse.Request] = true
			}
		}
	}
	assert.Equal(t, len(refused), 6, "%v", refused)
}

// Guards against an endpoint that stays out of use long after an error in the time that it
// named, or after it started again.
func TestSpareTimeEnds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		event   place.Event
		elapsed time.Duration
		isUsed  bool
	}{
		"an hour is five minutes": {place.Ticked{}, 5 * time.Minute, true},
		"before five minutes":     {place.Ticked{}, 5*time.Minute - 1, false},
		"it starts again":         {place.Unmarked{Endpoint: "view-0", Incarnation: "2"}, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			core := newSpareTest(t, now)
			spareAll(t, core, time.Hour, now)
			core.Apply(test.event, now.Add(test.elapsed))
			decisions := core.Apply(arrival("after", now.Add(test.elapsed)), now.Add(test.elapsed))
			_, isUsed := decisions[0].(place.Send)
			assert.Equal(t, isUsed, test.isUsed, "%#v", decisions[0])
		})
	}
}
