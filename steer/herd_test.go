package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// herdTest plays callers that come back when they are told, at several hosts, to endpoints
// that all asked every host to be spared.
type herdTest struct {
	random    *rand.Rand
	selectors []*Selector
	hosts     []model.HostName
	now       time.Time
	// returns holds the time at which each caller that is not served comes back.
	returns map[int]time.Time
	running map[model.EndpointName][]herdRequest
	// arrivals holds the times at which each endpoint got a request.
	arrivals map[model.EndpointName][]time.Duration
	// shed counts the requests that found an endpoint full.
	shed, served int
}

type herdRequest struct {
	caller int
	host   *Selector
	endAt  time.Time
}

const (
	herdStep = 5 * time.Millisecond
	// herdReports is the time between load reports.
	herdReports = 100 * time.Millisecond
	herdSlots   = 3
)

func newHerdTest(hosts, callers int, spareTimes []time.Duration) *herdTest {
	ht := &herdTest{
		random: rand.New(rand.NewPCG(23, 0)), now: start(), returns: make(map[int]time.Time),
		running: make(map[model.EndpointName][]herdRequest), arrivals: make(map[model.EndpointName][]time.Duration),
	}
	endpoints := newFixture(0)
	for i := range spareTimes {
		endpoints.add(fmt.Sprint("e", i), "za", 0)
	}
	for i := range hosts {
		ht.hosts = append(ht.hosts, model.HostName(fmt.Sprint("h", i)))
	}
	for _, name := range ht.hosts {
		selector := endpoints.selector(name)
		selector.SetHosts(map[model.RegionName][]model.HostName{"north": ht.hosts}, start())
		for i, spareTime := range spareTimes {
			selector.Hear(sparedNotice(model.EndpointName(fmt.Sprint("e", i)), spareTime), start())
		}
		ht.selectors = append(ht.selectors, selector)
	}
	for caller := range callers {
		ht.returns[caller] = start().Add(time.Duration(ht.random.Int64N(int64(200 * time.Millisecond))))
	}
	return ht
}

// run plays until a time after the start.
func (ht *herdTest) run(end time.Duration) {
	for ; ht.now.Before(start().Add(end)); ht.now = ht.now.Add(herdStep) {
		ht.endRequests()
		if ht.now.Sub(start())%herdReports == 0 {
			ht.report()
		}
		for caller := range len(ht.returns) + ht.served {
			if at, isWaiting := ht.returns[caller]; isWaiting && !at.After(ht.now) {
				ht.send(caller)
			}
		}
	}
}

func (ht *herdTest) report() {
	for i, from := range ht.selectors {
		loads := from.Loads(true)
		for j, to := range ht.selectors {
			if i != j {
				to.ApplyLoads(ht.hosts[i], loads, true, ht.now)
			}
		}
	}
}

// endRequests ends the requests whose time has come. Their callers do not come back.
func (ht *herdTest) endRequests() {
	for name, running := range ht.running {
		kept := running[:0]
		for _, request := range running {
			if request.endAt.After(ht.now) {
				kept = append(kept, request)
				continue
			}
			request.host.Done(Outcome{Endpoint: name, Result: Answered, Elapsed: serviceTime}, ht.now)
			ht.served++
		}
		ht.running[name] = kept
	}
}

// send sends a caller's request to a random host.
func (ht *herdTest) send(caller int) {
	selector := ht.selectors[ht.random.IntN(len(ht.selectors))]
	request := query("")
	request.Route.HasAffinity = false
	request.AttemptID = fmt.Sprint("a", caller, ht.now)
	sent, isSend := Send{}, false
	switch decision := selector.Choose(request, ht.now).(type) {
	case Reject:
		ht.returns[caller] = ht.now.Add(decision.RetryAfter)
		return
	case Send:
		sent, isSend = decision, true
	}
	name := sent.Endpoint.Name
	ht.arrivals[name] = append(ht.arrivals[name], ht.now.Sub(start()))
	if !isSend || len(ht.running[name]) >= herdSlots+maxEndpointQueue {
		ht.shed++
		selector.Done(Outcome{Endpoint: name, Result: Overloaded}, ht.now)
		ht.returns[caller] = ht.now.Add(minRetryAfter)
		return
	}
	delete(ht.returns, caller)
	// Requests beyond the slots wait for one.
	waiting := max(0, len(ht.running[name])+1-herdSlots)
	ht.running[name] = append(ht.running[name], herdRequest{caller, selector, ht.now.Add(serviceTime + time.Duration(waiting)*serviceTime/herdSlots)})
}

// mostWithin returns the most arrivals at an endpoint within a length of time, of those
// in the second after a time.
func (ht *herdTest) mostWithin(name model.EndpointName, length, after time.Duration) int {
	var first []time.Duration
	for _, arrival := range ht.arrivals[name] {
		if arrival >= after && arrival < after+time.Second {
			first = append(first, arrival)
		}
	}
	most := 0
	for i, from := range first {
		last, _ := slices.BinarySearch(first, from+length)
		most = max(most, last-i)
	}
	return most
}

// Guards against many callers that were all rejected, come back when the first endpoint is
// free again, and hit it together: in its first second it gets through all hosts half more
// than its slots serve, or one request of each host if that is more.
func TestCallersReturnToFirstFreeEndpointAtMeasuredRate(t *testing.T) {
	for _, hosts := range []int{1, 10, 40} {
		for _, callers := range []int{20, 400} {
			t.Run(fmt.Sprint(hosts, "hosts", callers, "callers"), func(t *testing.T) {
				spareTimes := []time.Duration{2 * time.Second, 3 * time.Second, 3 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second}
				ht := newHerdTest(hosts, callers, spareTimes)
				ht.run(30 * time.Second)
				for i, spareTime := range spareTimes {
					name := model.EndpointName(fmt.Sprint("e", i))
					if arrivals := ht.arrivals[name]; len(arrivals) > 0 {
						assert.Assert(t, arrivals[0] >= spareTime, "%s: %s", name, arrivals[0])
					}
				}
				inSecond, atOnce := ht.mostWithin("e0", time.Second, spareTimes[0]), ht.mostWithin("e0", 100*time.Millisecond, spareTimes[0])
				t.Logf("%d in a second, %d in 0.1 s, %d shed, %d served", inSecond, atOnce, ht.shed, ht.served)
				served := float64(herdSlots) / serviceTime.Seconds()
				assert.Assert(t, float64(inSecond) <= max(1.5*served, float64(hosts)), "%d requests in a second", inSecond)
				// With more hosts, their pacing is bounded by maxResumeTime and exceeds the slots.
				isWithinSlots := time.Duration(hosts)*defaultMedian/herdSlots <= maxResumeTime
				assert.Assert(t, !isWithinSlots || atOnce <= herdSlots+maxEndpointQueue, "%d requests in 0.1 s", atOnce)
				assert.Equal(t, ht.served, callers)
			})
		}
	}
}
