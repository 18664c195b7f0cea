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
	// interval loads the slots to 40% while no endpoint is slowed.
	interval = serviceTime * 10 / (endpointCount * slotCount * 4)
)

// simulation sends requests to endpoints of which a quarter is slowed ten
// times for 300 ms of each second.
type simulation struct {
	random  *rand.Rand
	board   *score.Tracker
	policy  score.Policy
	hedges  *score.Budget
	now     time.Time
	events  []event
	names   []model.EndpointName
	busy    []int
	slow    []bool
	waiting []int
	arrived []time.Time
	done    []time.Duration
	// attempts holds the endpoint of each attempt in flight, by request.
	attempts map[int][]flight
	sent     uint64
}

type flight struct {
	attempt  uint64
	endpoint int
}

type event struct {
	at  time.Time
	act func()
}

func (s *simulation) after(d time.Duration, act func()) {
	at := s.now.Add(d)
	place, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int { return e.at.Compare(at) })
	s.events = slices.Insert(s.events, place, event{at: at, act: act})
}

// send puts a request on a free endpoint, which must not be one that it is
// already on.
func (s *simulation) send(request int) bool {
	var free []int
	var names []model.EndpointName
	for i, busy := range s.busy {
		isTaken := slices.ContainsFunc(s.attempts[request], func(f flight) bool { return f.endpoint == i })
		if busy < slotCount && !isTaken {
			free, names = append(free, i), append(names, s.names[i])
		}
	}
	if len(free) == 0 {
		return false
	}
	choice := free[int(s.sent)%len(free)]
	if s.policy != "roundRobin" {
		choice = free[s.board.Choose(s.policy, names, s.random, s.now)]
	}
	s.sent++
	attempt := s.sent
	s.busy[choice]++
	s.attempts[request] = append(s.attempts[request], flight{attempt, choice})
	s.board.RecordSent(s.names[choice], attempt, s.now)
	duration := serviceTime*8/10 + time.Duration(s.random.Int64N(int64(serviceTime*4/10)))
	if s.slow[choice] {
		duration *= 10
	}
	s.after(duration, func() { s.finish(request, attempt) })
	return true
}

func (s *simulation) finish(request int, attempt uint64) {
	flights := s.attempts[request]
	if !slices.ContainsFunc(flights, func(f flight) bool { return f.attempt == attempt }) {
		return
	}
	s.done[request] = s.now.Sub(s.arrived[request])
	for _, f := range flights {
		result := score.Cancelled
		if f.attempt == attempt {
			result = score.Answered
		}
		s.busy[f.endpoint]--
		s.board.RecordResult(s.names[f.endpoint], f.attempt, result, s.now)
	}
	delete(s.attempts, request)
	for len(s.waiting) > 0 && s.send(s.waiting[0]) {
		s.waiting = s.waiting[1:]
	}
}

func (s *simulation) arrive() {
	request := len(s.arrived)
	s.arrived = append(s.arrived, s.now)
	if request+1 < requestCount {
		s.after(time.Duration(s.random.ExpFloat64()*float64(interval)), s.arrive)
	}
	if s.hedges != nil {
		s.hedges.Earn()
		if delay, known := s.board.HedgeDelay("view"); known {
			s.after(delay, func() {
				if len(s.attempts[request]) == 1 && s.hedges.Spend() {
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
	s.after(300*time.Millisecond, func() { clear(s.slow) })
	if len(s.arrived) < requestCount {
		s.after(time.Second, s.slowDown)
	}
}

// run returns the p50, p99 and the extra load in percent.
func run(seed uint64, policy score.Policy, isHedged bool) (p50, p99 time.Duration, extra float64) {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), board: score.NewTracker(), policy: policy, now: time.Unix(0, 0),
		busy: make([]int, endpointCount), slow: make([]bool, endpointCount),
		done: make([]time.Duration, requestCount), attempts: make(map[int][]flight),
	}
	if isHedged {
		s.hedges = score.NewBudget(score.HedgePercent, 0)
	}
	for i := range endpointCount {
		s.names = append(s.names, model.EndpointName(fmt.Sprint("view-", i)))
		s.board.Add(s.names[i], "view", 0)
	}
	s.after(0, s.slowDown)
	s.after(0, s.arrive)
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.act()
	}
	slices.Sort(s.done)
	return s.done[requestCount/2], s.done[requestCount*99/100], 100 * float64(s.sent-requestCount) / requestCount
}

// Guards against a default policy that does not avoid stragglers better than
// round robin, and against hedging beyond its budget. Prints the figures.
func TestPoliciesWithStragglers(t *testing.T) {
	for seed := range uint64(3) {
		p99s := make(map[string]time.Duration)
		for _, policy := range []score.Policy{"roundRobin", score.WeightedLeastRequest, score.TwoChoices, score.FullScan} {
			for _, isHedged := range []bool{false, true} {
				p50, p99, extra := run(seed, policy, isHedged)
				t.Logf("seed %d %-21s hedged %-5v p50 %-12v p99 %-12v extra load %.1f%%", seed, policy, isHedged, p50, p99, extra)
				assert.Assert(t, extra <= score.HedgePercent, "seed %d: %s", seed, policy)
				p99s[fmt.Sprint(policy, isHedged)] = p99
			}
		}
		assert.Assert(t, 5*p99s["fullScantrue"] <= p99s["roundRobinfalse"], "seed %d: %v", seed, p99s)
	}
}

// Guards against a new endpoint that gets its full part of the work while its
// caches are cold, and against one that never gets it.
func TestNewEndpointStartsSlowly(t *testing.T) {
	board := score.NewTracker()
	names := []model.EndpointName{"old", "new"}
	board.Add("old", "view", 0)
	board.Add("new", "view", 10*time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	var chosen [30]int
	for millisecond := range 30_000 {
		now := time.Unix(0, 0).Add(time.Duration(millisecond) * time.Millisecond)
		choice := board.Choose(score.WeightedLeastRequest, names, random, now)
		chosen[millisecond/1000] += choice
		board.RecordSent(names[choice], uint64(millisecond), now)
		board.RecordResult(names[choice], uint64(millisecond), score.Answered, now)
	}
	assert.Assert(t, chosen[0] > 0 && chosen[0] < 200, "%d of 1000", chosen[0])
	assert.Assert(t, chosen[29] > 400, "%d of 1000", chosen[29])
}

// The endpoint with a slow request in flight is avoided before it answers.
func ExampleTracker() {
	board := score.NewTracker()
	names := []model.EndpointName{"specbook-01", "specbook-02"}
	now := time.Unix(0, 0)
	for _, name := range names {
		board.Add(name, "specbook", 0)
	}
	board.RecordSent("specbook-01", 1, now)
	board.RecordSent("specbook-02", 2, now.Add(90*time.Millisecond))
	fmt.Println(names[board.Choose(score.FullScan, names, nil, now.Add(100*time.Millisecond))])
	// Output: specbook-02
}
