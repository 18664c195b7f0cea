package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"

	"gotest.tools/v3/assert"
)

// sparedNotice is the notice of the first incarnation of a test's endpoint.
func sparedNotice(name model.EndpointName, retryAfter time.Duration) Notice {
	return Notice{Endpoint: name, Incarnation: 1, RetryAfter: retryAfter}
}

// newSpareTest returns a selector with the endpoints a and b.
func newSpareTest() (*Selector, *fixture) {
	endpoints := newFixture(0)
	endpoints.add("a", "za", 0)
	endpoints.add("b", "za", 0)
	return endpoints.selector("h"), endpoints
}

// Guards against requests to an endpoint that asked to be spared, whatever happens to
// its entry, and against one that gets none after the time, or after it started again.
func TestSparedEndpointGetsNoRequests(t *testing.T) {
	const asked = 3 * time.Second
	tests := map[string]struct {
		change func(selector *Selector, endpoints *fixture)
		after  time.Duration
		isUsed bool
	}{
		"at once":                 {func(*Selector, *fixture) {}, 0, false},
		"until the time has gone": {func(*Selector, *fixture) {}, asked - time.Millisecond, false},
		"after the time":          {func(*Selector, *fixture) {}, asked + maxResumeTime, true},
		"a shorter time follows": {func(s *Selector, _ *fixture) {
			s.Hear(sparedNotice("a", time.Second), start())
		}, asked - time.Millisecond, false},
		"a longer time follows": {func(s *Selector, _ *fixture) {
			s.Hear(sparedNotice("a", 2*asked), start())
		}, 2*asked - time.Millisecond, false},
		"a success follows": {func(s *Selector, _ *fixture) {
			s.Done(Outcome{Endpoint: "a", Result: Answered, Elapsed: time.Millisecond}, start())
		}, time.Second, false},
		"the entry is removed and written again": {func(s *Selector, f *fixture) {
			f.roster.Remove("a", start(), time.Time{})
			update(s, f)
			f.roster.Apply(entry("a", 2, 1), start())
		}, time.Second, false},
		"the endpoint starts again": {func(_ *Selector, f *fixture) { f.roster.Apply(entry("a", 1, 2), start()) }, 0, true},
		"a late notice of an earlier incarnation": {func(s *Selector, f *fixture) {
			f.roster.Apply(entry("a", 1, 2), start())
			update(s, f)
			s.Hear(sparedNotice("a", asked), start())
		}, time.Second, true},
		"an hour is asked for": {func(s *Selector, _ *fixture) { s.Hear(sparedNotice("a", time.Hour), start()) }, maxSpareTime - time.Millisecond, false},
		"the bound of an hour": {func(s *Selector, _ *fixture) { s.Hear(sparedNotice("a", time.Hour), start()) }, maxSpareTime + maxResumeTime, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			selector, endpoints := newSpareTest()
			news := selector.Hear(sparedNotice("a", asked), start())
			assert.Assert(t, news.IsSpared && !news.SparedUntil.Before(start().Add(asked)))
			assert.Assert(t, !selector.Hear(sparedNotice("a", asked), start()).IsSpared)
			test.change(selector, endpoints)
			update(selector, endpoints)
			chosen := chosenEndpoints(selector, start().Add(test.after))
			assert.Equal(t, chosen["a"], test.isUsed)
			assert.Assert(t, chosen["b"])
		})
	}
}

// Guards against a request that waits although all its endpoints asked to be spared,
// and against a Retry-After that is too early or the same for all callers.
func TestQueryIsRejectedIfAllEndpointsAreSpared(t *testing.T) {
	selector, endpoints := newSpareTest()
	endpoints.add("elsewhere", "zb", 0)
	update(selector, endpoints)
	atHome := query("o")
	atHome.Route.ResidencyRegions = []model.RegionName{"north"}
	for range 100 {
		selector.Choose(atHome, start())
	}
	waitlist := NewWaitlist(selector, 8)
	_, isWaiting := waitlist.Push(atHome, start().Add(time.Second))
	assert.Assert(t, isWaiting)
	firstFree := selector.Hear(sparedNotice("a", 2*time.Second), start()).SparedUntil
	assert.Equal(t, len(waitlist.Admit(start())), 0)
	selector.Hear(sparedNotice("b", 9*time.Second), start())
	admitted := waitlist.Admit(start())
	assert.Equal(t, len(admitted), 1)
	assert.Equal(t, admitted[0].Decision.(Reject).Reason, "every endpoint asked to be spared")
	retryAfters := make(map[time.Duration]bool)
	for i := range 100 {
		atHome.AttemptID = fmt.Sprint("a", i)
		reject := selector.Choose(atHome, start()).(Reject)
		assert.Assert(t, !reject.IsFull)
		assert.Assert(t, !start().Add(reject.RetryAfter).Before(firstFree))
		assert.Assert(t, reject.RetryAfter <= firstFree.Sub(start())+retrySpread)
		assert.Equal(t, selector.MinRetryAfter(atHome, start()), reject.RetryAfter)
		retryAfters[reject.RetryAfter.Truncate(50*time.Millisecond)] = true
	}
	assert.Assert(t, len(retryAfters) >= 8, "%d different times", len(retryAfters))
	assert.Equal(t, selector.MinRetryAfter(Query{Service: "s", Route: route.Route{}}, start()), time.Duration(0))
}

// Guards against hosts that all send at once when the time ends for which an endpoint
// asked all of them to be spared, and against one that sends before.
func TestRequestsResumeAtMeasuredRate(t *testing.T) {
	const asked, step = 2 * time.Second, 5 * time.Millisecond
	for _, hosts := range []int{1, 10, 65} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			endpoints := newFixture(0)
			endpoints.add("a", "za", 0)
			var names []model.HostName
			for i := range hosts {
				names = append(names, model.HostName(fmt.Sprint("h", i)))
			}
			var selectors []*Selector
			for _, name := range names {
				selector := endpoints.selector(name)
				selector.SetHosts(map[model.RegionName][]model.HostName{"north": names}, start())
				selector.Hear(sparedNotice("a", asked), start())
				selectors = append(selectors, selector)
			}
			// Every host has a request at each step.
			var arrivals []time.Duration
			for elapsed := time.Duration(0); elapsed < asked+maxResumeTime; elapsed += step {
				for _, selector := range selectors {
					if _, isSend := selector.Choose(query("o"), start().Add(elapsed)).(Send); isSend {
						arrivals = append(arrivals, elapsed)
						selector.Done(Outcome{Endpoint: "a", Result: Abandoned}, start().Add(elapsed))
					}
				}
			}
			assert.Assert(t, len(arrivals) > 0)
			assert.Assert(t, slices.Min(arrivals) >= asked, "%s", slices.Min(arrivals))
			// Each host sends at most one request in an interval.
			interval := selectors[0].resumeInterval(selectors[0].endpoints["a"])
			mostInInterval := 0
			for i, first := range arrivals {
				last, _ := slices.BinarySearch(arrivals, first+interval)
				mostInInterval = max(mostInInterval, last-i)
			}
			assert.Assert(t, mostInInterval <= hosts, "%d in %s", mostInInterval, interval)
			// In a tenth of that time there are few.
			mostAtOnce := 0
			for i, first := range arrivals {
				last, _ := slices.BinarySearch(arrivals, first+interval/10)
				mostAtOnce = max(mostAtOnce, last-i)
			}
			t.Logf("%d hosts: interval %s, %d requests, %d in a tenth of the interval", hosts, interval, len(arrivals), mostAtOnce)
			assert.Assert(t, mostAtOnce <= 2+hosts/4, "%d of %d hosts at once", mostAtOnce, hosts)
		})
	}
}

// Guards against a cold endpoint that gets more than its rate after it was spared, and
// against a permit that is used although the endpoint asked to be spared meanwhile.
func TestOtherLimitsHoldAfterSpareTime(t *testing.T) {
	endpoints := newFixture(0)
	endpoints.add("a", "za", time.Minute)
	selector := endpoints.selector("h")
	sent := requireSend(t, selector.Choose(query("o"), start()))
	selector.Hear(sparedNotice("a", time.Second), start())
	assert.Assert(t, !selector.ApplyPermit(sent, Permit{IsGranted: true}, start()))
	assert.Equal(t, selector.endpoints["a"].inFlight, 0)
	count := 0
	for elapsed := time.Second; elapsed < 6*time.Second; elapsed += 10 * time.Millisecond {
		if _, isSend := selector.Choose(query("o"), start().Add(elapsed)).(Send); isSend {
			count++
		}
	}
	// The cold rate is 2 a second.
	assert.Assert(t, count > 5 && count <= 10, "%d requests in 5 s", count)
}

// Guards against a notice that is lost because the host has not read the entry of the
// endpoint again.
func TestNoticeOfEndpointWithoutEntryIsKept(t *testing.T) {
	selector, endpoints := newSpareTest()
	present := endpoints.roster
	endpoints.roster = roster.New(regions())
	update(selector, endpoints)
	selector.Hear(sparedNotice("a", time.Second), start())
	endpoints.roster = present
	update(selector, endpoints)
	assert.Assert(t, !chosenEndpoints(selector, start().Add(900*time.Millisecond))["a"])
}

// Guards against an endpoint that stays out of use much longer than it asked for.
func TestShortSpareTimeEndsSoon(t *testing.T) {
	const asked = 100 * time.Millisecond
	selector, _ := newSpareTest()
	selector.SetHosts(map[model.RegionName][]model.HostName{"north": {"h", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}}, start())
	selector.Hear(sparedNotice("a", asked), start())
	assert.Assert(t, !chosenEndpoints(selector, start().Add(asked-time.Millisecond))["a"])
	assert.Assert(t, chosenEndpoints(selector, start().Add(2*asked))["a"])
	sent := 0
	for range 10 {
		for i := range 50 {
			if decision, isSend := selector.Choose(query(fmt.Sprint("o", i)), start().Add(3*asked)).(Send); isSend && decision.Endpoint.Name == "a" {
				sent++
			}
		}
	}
	assert.Assert(t, sent >= 3, "%d requests after the time", sent)
}
