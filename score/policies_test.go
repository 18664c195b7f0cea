package score_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/score"

	"gotest.tools/v3/assert"
)

const (
	endpointCount = 16
	slotCount     = 3
	requestCount  = 15_000
	serviceTime   = 10 * time.Millisecond
	// interval is the mean time between requests. It keeps 40% of the slots busy
	// while no endpoint is slowed down.
	interval = serviceTime * 10 / (endpointCount * slotCount * 4)
)

// simulation sends requests to endpoints. A quarter of them is ten times slower
// for 300 ms of each second.
type simulation struct {
	random        *rand.Rand
	tracker       *score.Tracker
	policy        score.Policy
	hedgeBudget   *score.Budget
	now           time.Time
	events        []event
	names         []model.EndpointName
	busy          []int
	slow          []bool
	waiting       []int
	arrivedAt     []time.Time
	responseTimes []time.Duration
	// inFlight holds the endpoint of each attempt in flight, by request.
	inFlight map[int][]attemptInFlight
	sent     uint64
}

type attemptInFlight struct {
	attempt  uint64
	endpoint int
}

type event struct {
	at     time.Time
	action func()
}

func (s *simulation) schedule(d time.Duration, action func()) {
	at := s.now.Add(d)
	index, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int { return e.at.Compare(at) })
	s.events = slices.Insert(s.events, index, event{at: at, action: action})
}

// send sends an attempt of a request to an endpoint that has a free slot and
// does not yet have an attempt of it. It reports false if there is none.
func (s *simulation) send(request int) bool {
	var free []int
	var names []model.EndpointName
	for i, busy := range s.busy {
		isTaken := slices.ContainsFunc(s.inFlight[request], func(f attemptInFlight) bool { return f.endpoint == i })
		if busy < slotCount && !isTaken {
			free, names = append(free, i), append(names, s.names[i])
		}
	}
	if len(free) == 0 {
		return false
	}
	chosen := free[int(s.sent)%len(free)]
	if s.policy != "roundRobin" {
		chosen = free[s.tracker.Choose(s.policy, names, s.random, s.now)]
	}
	s.sent++
	attempt := s.sent
	s.busy[chosen]++
	s.inFlight[request] = append(s.inFlight[request], attemptInFlight{attempt, chosen})
	s.tracker.RecordSent(s.names[chosen], attempt, s.now)
	duration := serviceTime*8/10 + time.Duration(s.random.Int64N(int64(serviceTime*4/10)))
	if s.slow[chosen] {
		duration *= 10
	}
	s.schedule(duration, func() { s.finish(request, attempt) })
	return true
}

func (s *simulation) finish(request int, attempt uint64) {
	attempts := s.inFlight[request]
	if !slices.ContainsFunc(attempts, func(f attemptInFlight) bool { return f.attempt == attempt }) {
		return
	}
	s.responseTimes[request] = s.now.Sub(s.arrivedAt[request])
	for _, f := range attempts {
		result := score.Cancelled
		if f.attempt == attempt {
			result = score.Answered
		}
		s.busy[f.endpoint]--
		s.tracker.RecordResult(s.names[f.endpoint], f.attempt, result, s.now)
	}
	delete(s.inFlight, request)
	for len(s.waiting) > 0 && s.send(s.waiting[0]) {
		s.waiting = s.waiting[1:]
	}
}

func (s *simulation) arrive() {
	request := len(s.arrivedAt)
	s.arrivedAt = append(s.arrivedAt, s.now)
	if request+1 < requestCount {
		s.schedule(time.Duration(s.random.ExpFloat64()*float64(interval)), s.arrive)
	}
	if s.hedgeBudget != nil {
		s.hedgeBudget.Earn()
		if delay, ok := s.tracker.HedgeDelay("view"); ok {
			s.schedule(delay, func() {
				if len(s.inFlight[request]) == 1 && s.hedgeBudget.Spend() {
					s.send(request)
				}
			})
		}
	}
	if len(s.waiting) > 0 || !s.send(request) {
		s.waiting = append(s.waiting, request)
	}
}

func (s *simulation) slowDown() {
	clear(s.slow)
	for _, i := range s.random.Perm(endpointCount)[:endpointCount/4] {
		s.slow[i] = true
	}
	s.schedule(300*time.Millisecond, func() { clear(s.slow) })
	if len(s.arrivedAt) < requestCount {
		s.schedule(time.Second, s.slowDown)
	}
}

// runSimulation runs a simulation and returns the p50 and p99 of the response
// time and the extra load in percent.
func runSimulation(seed uint64, policy score.Policy, isHedged bool) (p50, p99 time.Duration, extraLoad float64) {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), tracker: score.NewTracker(), policy: policy, now: time.Unix(0, 0),
		busy: make([]int, endpointCount), slow: make([]bool, endpointCount),
		responseTimes: make([]time.Duration, requestCount), inFlight: make(map[int][]attemptInFlight),
	}
	if isHedged {
		s.hedgeBudget = score.NewBudget(score.HedgePercent, 0)
	}
	for i := range endpointCount {
		s.names = append(s.names, model.EndpointName(fmt.Sprint("view-", i)))
		s.tracker.Add(s.names[i], "view", 0)
	}
	s.schedule(0, s.slowDown)
	s.schedule(0, s.arrive)
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.action()
	}
	slices.Sort(s.responseTimes)
	return s.responseTimes[requestCount/2], s.responseTimes[requestCount*99/100], 100 * float64(s.sent-requestCount) / requestCount
}

// Guards against a default policy that does not avoid stragglers, and against
// hedging beyond its budget. With hedging, the p99 of the default policy must be
// at most a fifth of that of round robin without. It logs the figures.
func TestDefaultPolicyAvoidsStragglers(t *testing.T) {
	for seed := range uint64(3) {
		p99s := make(map[string]time.Duration)
		for _, policy := range []score.Policy{"roundRobin", score.WeightedLeastRequest, score.TwoChoices, score.FullScan} {
			for _, isHedged := range []bool{false, true} {
				p50, p99, extraLoad := runSimulation(seed, policy, isHedged)
				t.Logf("seed %d %-21s hedged %-5v p50 %-12v p99 %-12v extra load %.1f%%", seed, policy, isHedged, p50, p99, extraLoad)
				assert.Assert(t, extraLoad <= score.HedgePercent, "seed %d: %s", seed, policy)
				p99s[fmt.Sprint(policy, isHedged)] = p99
			}
		}
		assert.Assert(t, 5*p99s["fullScantrue"] <= p99s["roundRobinfalse"], "seed %d: %v", seed, p99s)
	}
}

// Guards against a new endpoint that gets its full share of the requests while
// its caches are cold, and against one that never gets it.
func TestNewEndpointStartsSlowly(t *testing.T) {
	tracker := score.NewTracker()
	names := []model.EndpointName{"old", "new"}
	tracker.Add("old", "view", 0)
	tracker.Add("new", "view", 10*time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	var chosen [30]int
	for millisecond := range 30_000 {
		now := time.Unix(0, 0).Add(time.Duration(millisecond) * time.Millisecond)
		index := tracker.Choose(score.WeightedLeastRequest, names, random, now)
		chosen[millisecond/1000] += index
		tracker.RecordSent(names[index], uint64(millisecond), now)
		tracker.RecordResult(names[index], uint64(millisecond), score.Answered, now)
	}
	assert.Assert(t, chosen[0] > 0 && chosen[0] < 200, "%d of 1000", chosen[0])
	assert.Assert(t, chosen[29] > 400, "%d of 1000", chosen[29])
}

// An endpoint with a slow request in flight is avoided before it responds.
func ExampleTracker() {
	tracker := score.NewTracker()
	names := []model.EndpointName{"specbook-01", "specbook-02"}
	now := time.Unix(0, 0)
	for _, name := range names {
		tracker.Add(name, "specbook", 0)
	}
	tracker.RecordSent("specbook-01", 1, now)
	tracker.RecordSent("specbook-02", 2, now.Add(90*time.Millisecond))
	fmt.Println(names[tracker.Choose(score.FullScan, names, nil, now.Add(100*time.Millisecond))])
	// Output: specbook-02
}
