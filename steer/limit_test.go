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

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in each window,
	// a limited endpoint gets at most limitFactor times its limit and limitSlack
	// requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is the time after its first response with a limit from which a host
	// is bound by it.
	toldDelay = 500 * time.Millisecond
	// maxTransit is the longest time from the issue of a permit to the arrival of
	// the request at the endpoint.
	maxTransit = 110 * time.Millisecond
	// reportInterval is the time between the load reports of a host.
	reportInterval = 900 * time.Millisecond
	// limitStep is the time between two steps of limitTest.
	limitStep = 10 * time.Millisecond
)

// limitTest holds the selectors of several hosts that send to one endpoint, in
// simulated time.
type limitTest struct {
	t         *testing.T
	now       time.Time
	random    *rand.Rand
	hosts     []model.HostName
	selectors map[model.HostName]*Selector
	// limit is the limit that the endpoint names now.
	limit RateLimit
	// running holds the requests at the endpoint.
	running []limitedRequest
	// arrivals holds the times at which the endpoint got a request of a host that
	// is bound by the limit. all holds those of all requests.
	arrivals, all []time.Time
	// toldAt holds the time of each host's first response with a limit.
	toldAt map[model.HostName]time.Time
	// isCut is true for hosts that do not reach the other hosts.
	isCut map[model.HostName]bool
	// refused counts the requests that no endpoint could take.
	refused int
}

type limitedRequest struct {
	host  model.HostName
	endAt time.Time
}

// serviceTime is how long the endpoint takes for a request.
const serviceTime = 300 * time.Millisecond

func newLimitTest(t *testing.T, hosts int) *limitTest {
	t.Helper()
	const seed = 17
	t.Logf("seed %d", seed)
	created := &limitTest{t: t, now: start(), random: rand.New(rand.NewPCG(seed, 0)), selectors: make(map[model.HostName]*Selector),
		toldAt: make(map[model.HostName]time.Time), isCut: make(map[model.HostName]bool)}
	endpoints := newFixture(0)
	endpoints.add("limited", "za", 0)
	for i := range hosts {
		name := model.HostName(fmt.Sprint("h", i))
		created.hosts = append(created.hosts, name)
		created.selectors[name] = endpoints.selector(name)
	}
	created.setHosts(created.hosts)
	return created
}

// setHosts sets the hosts that every host knows as alive.
func (lt *limitTest) setHosts(hosts []model.HostName) {
	for _, selector := range lt.selectors {
		selector.SetHosts(map[model.RegionName][]model.HostName{"north": hosts}, lt.now)
	}
}

// run sends requests at random hosts, a number a second on average, for a time.
func (lt *limitTest) run(perSecond float64, length time.Duration) {
	for end := lt.now.Add(length); lt.now.Before(end); lt.now = lt.now.Add(limitStep) {
		lt.running = slices.DeleteFunc(lt.running, lt.endIfDue)
		if lt.now.Sub(start())%reportInterval == 0 {
			lt.report()
		}
		if lt.random.Float64() < perSecond*limitStep.Seconds() {
			lt.send(lt.hosts[lt.random.IntN(len(lt.hosts))])
		}
	}
}

// report sends the limits in the load reports of all hosts.
func (lt *limitTest) report() {
	for _, from := range lt.hosts {
		for _, news := range lt.selectors[from].OwnedLimitNews(lt.now) {
			for _, to := range lt.hosts {
				if to != from && lt.areConnected(from, to) {
					lt.selectors[to].ApplyLimitNews(news, lt.now)
				}
			}
		}
	}
}

// endIfDue ends a request whose time has come.
func (lt *limitTest) endIfDue(request limitedRequest) bool {
	if lt.now.Before(request.endAt) {
		return false
	}
	selector := lt.selectors[request.host]
	hasChanged := selector.Done(Outcome{Endpoint: "limited", Result: Answered, Elapsed: serviceTime, Limit: lt.limit}, lt.now)
	if _, wasTold := lt.toldAt[request.host]; !wasTold && lt.limit.IsSet {
		lt.toldAt[request.host] = lt.now
	}
	owner, news, isNews := selector.NewsForOwner("limited", lt.now)
	if hasChanged && isNews && lt.areConnected(request.host, owner) {
		lt.selectors[owner].ApplyLimitNews(news, lt.now)
	}
	return true
}

func (lt *limitTest) areConnected(a, b model.HostName) bool { return !lt.isCut[a] && !lt.isCut[b] }

func (lt *limitTest) send(host model.HostName) {
	sent, isSent := lt.selectors[host].Choose(query("o"), lt.now).(Send)
	if !isSent || !lt.obtainPermit(host, sent) {
		lt.refused++
		return
	}
	arrival := lt.now.Add(time.Duration(lt.random.Int64N(int64(maxTransit))))
	lt.all = append(lt.all, arrival)
	if toldAt, wasTold := lt.toldAt[host]; wasTold && arrival.Sub(toldAt) >= toldDelay {
		lt.arrivals = append(lt.arrivals, arrival)
	}
	lt.running = append(lt.running, limitedRequest{host: host, endAt: arrival.Add(serviceTime)})
}

// obtainPermit asks the owner for the permit that a send needs.
func (lt *limitTest) obtainPermit(host model.HostName, sent Send) bool {
	if !sent.Permit.IsNeeded() {
		return true
	}
	permit := sent.Permit.Refusal()
	if lt.areConnected(host, sent.Permit.Owner) {
		permit = lt.selectors[sent.Permit.Owner].IssuePermit(sent.Permit, lt.now)
	}
	lt.selectors[host].ApplyPermit(sent, permit, lt.now)
	return permit.IsGranted
}

// mostInWindow returns the most requests that arrived after a time within one
// limitWindow.
func (lt *limitTest) mostInWindow(after time.Time) int {
	slices.SortFunc(lt.arrivals, time.Time.Compare)
	most := 0
	for first, from := range lt.arrivals {
		count := 0
		for _, at := range lt.arrivals[first:] {
			if at.Sub(from) < limitWindow {
				count++
			}
		}
		if !from.Before(after) {
			most = max(most, count)
		}
	}
	return most
}

// allowedInWindow returns the users' bound for a limit.
func allowedInWindow(limit RateLimit) int {
	return int(limitFactor*limit.PerSecond*limitWindow.Seconds()) + limitSlack
}

// Guards against hosts that each count a limit by themselves: together they send an
// endpoint in need many times what it accepts. Guards also against shares that go
// unused: the endpoint gets what it accepts.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 10, 65, 200} {
		for _, perSecond := range []float64{0, 0.6, 2.2, 9} {
			t.Run(fmt.Sprint(hosts, "hosts", perSecond), func(t *testing.T) {
				lt := newLimitTest(t, hosts)
				lt.limit = RateLimit{IsSet: true, PerSecond: perSecond}
				lt.run(30, 4*time.Second)
				limitedAt, before := lt.now, len(lt.all)
				lt.run(30, 30*time.Second)
				most, allowed := lt.mostInWindow(limitedAt), allowedInWindow(lt.limit)
				assert.Assert(t, most <= allowed, "%d requests in %s, %d are allowed", most, limitWindow, allowed)
				used := float64(len(lt.all)-before) / 30
				assert.Assert(t, used >= perSecond*0.9, "%v requests a second", used)
			})
		}
	}
}

// Guards against two owners that each issue all permits while hosts start and stop,
// and against hosts that send without a permit while they do not reach the owner.
func TestLimitHoldsWhileHostsChange(t *testing.T) {
	lt := newLimitTest(t, 20)
	lt.limit = RateLimit{IsSet: true, PerSecond: 3}
	lt.run(30, 5*time.Second)
	limitedAt := lt.now
	for round := range 20 {
		host := lt.hosts[lt.random.IntN(len(lt.hosts))]
		if round%2 == 0 {
			lt.isCut[host] = true
		}
		// Half of the hosts learn of a change a second after the others.
		alive := slices.DeleteFunc(slices.Clone(lt.hosts), func(other model.HostName) bool { return lt.isCut[other] || other == host })
		for i, name := range lt.hosts {
			if i%2 == 0 {
				lt.selectors[name].SetHosts(map[model.RegionName][]model.HostName{"north": alive}, lt.now)
			}
		}
		lt.run(30, time.Second)
		lt.setHosts(alive)
		lt.run(30, 3*time.Second)
		lt.isCut[host] = false
	}
	most, allowed := lt.mostInWindow(limitedAt), allowedInWindow(lt.limit)
	assert.Assert(t, most <= allowed, "%d requests in %s, %d are allowed", most, limitWindow, allowed)
}

// Guards against a limit that binds after the endpoint has stopped naming it, at a
// host that sends none itself too, and against one that binds no host when it is
// named again.
func TestLimitEndsWithResponsesThatNameNone(t *testing.T) {
	lt := newLimitTest(t, 65)
	lt.limit = RateLimit{IsSet: true, PerSecond: 2.2}
	lt.run(30, 20*time.Second)
	lt.limit = RateLimit{}
	lt.run(8, 3*time.Second)
	before, refusedBefore := len(lt.all), lt.refused
	lt.run(8, 20*time.Second)
	assert.Equal(t, lt.refused, refusedBefore)
	assert.Assert(t, len(lt.all)-before > 100)
	lt.limit = RateLimit{IsSet: true, PerSecond: 2.2}
	limitedAt := lt.now
	lt.run(6, 20*time.Second)
	assert.Assert(t, lt.mostInWindow(limitedAt) <= allowedInWindow(lt.limit), "%d requests in %s", lt.mostInWindow(limitedAt), limitWindow)
}

// Guards against an endpoint that stays unused for seconds after it has raised its
// limit, because the next permit was due by the old one.
func TestRaisedLimitAppliesAtOnce(t *testing.T) {
	lt := newLimitTest(t, 10)
	lt.limit = RateLimit{IsSet: true}
	lt.run(30, 20*time.Second)
	lt.limit = RateLimit{IsSet: true, PerSecond: 5}
	for _, selector := range lt.selectors {
		selector.ApplyLimitNews(LimitNews{Endpoint: selector.endpoints["limited"].id(), Limit: lt.limit}, lt.now)
	}
	raisedAt, before := lt.now, len(lt.all)
	lt.run(30, 4*time.Second)
	assert.Assert(t, len(lt.all)-before >= 16, "%d requests in 4 s", len(lt.all)-before)
	assert.Assert(t, lt.mostInWindow(raisedAt) <= allowedInWindow(lt.limit))
}

// Guards against permits beyond the rate of an endpoint that names another limit in
// each response.
func TestVaryingLimitIssuesNoFurtherPermits(t *testing.T) {
	lt := newLimitTest(t, 10)
	lt.limit = RateLimit{IsSet: true, PerSecond: 2}
	lt.run(30, 5*time.Second)
	limitedAt := lt.now
	for range 500 {
		lt.limit.PerSecond = 2 + lt.random.Float64()/10
		lt.run(30, 40*time.Millisecond)
	}
	assert.Assert(t, lt.mostInWindow(limitedAt) <= allowedInWindow(RateLimit{PerSecond: 2}), "%d requests", lt.mostInWindow(limitedAt))
}

// Guards against a Retry-After that is shorter than the time until the next permit.
func TestRetryAfterOfLimitedEndpointIsTrue(t *testing.T) {
	lt := newLimitTest(t, 1)
	lt.limit = RateLimit{IsSet: true, PerSecond: 0.5}
	lt.run(30, 10*time.Second)
	selector := lt.selectors[lt.hosts[0]]
	reject, isReject := selector.Choose(query("o"), lt.now).(Reject)
	assert.Assert(t, isReject)
	assert.Assert(t, reject.RetryAfter >= minRetryAfter && reject.RetryAfter <= 2*time.Second, "Retry-After is %s", reject.RetryAfter)
	requireSend(t, selector.Choose(query("o"), lt.now.Add(reject.RetryAfter)))
}
