package steer

import (
	"math"
	"net/http"
	"time"

	"filberthold/costs"
	"filberthold/hashes"
	"filberthold/model"
)

const (
	// speedDecay is the time constant with which the learned slowness of an endpoint is
	// forgotten. A host sends an endpoint few requests a second, so it exceeds
	// slownessDecay.
	speedDecay = 30 * time.Second
	// speedWeight is the weight of the latest request in that slowness.
	speedWeight = 0.3
	// maxSpeedRatio bounds the logarithm of the ratio that a request teaches.
	maxSpeedRatio = 2.1
	// minSlowness is the slowness from which it is kept apart from the work of requests. A
	// smaller one may be an error of what requests are expected to need.
	minSlowness = 1.5
	// leastLeft is the work that is left of a request that takes longer than expected,
	// relative to the time that it has taken.
	leastLeft = 0.25
	// peerLeft is the part that is left of other hosts' requests.
	peerLeft = 0.5
	// avoidedSlowness is the slowness from which objects use the endpoints after it in their
	// ranking as well, as if it were not available.
	avoidedSlowness = 2.5
	// moveFactor multiplies the work at an endpoint that an object does not prefer: it takes
	// the room of other objects in the cache there. Without it, objects spread under load.
	moveFactor = 2
	// meanRatioWeight is the weight of the latest request in the mean by which all endpoints
	// seem slower than expected. In an overload, it is not a property of any of them.
	meanRatioWeight = 1.0 / 64
)

// Work is what was expected of a request when it was sent. Its outcome carries it, so that
// the host learns from it. It is the zero value for services whose costs are not learned.
type Work struct {
	request costs.Request
	warmth  costs.Warmth
	// number identifies the request among those of the host.
	number uint64
	sentAt time.Time
	// work is at an endpoint of usual speed. expected is at the chosen one. wait is the
	// time until it begins there.
	work, expected, wait time.Duration
}

// Expected is the time that the request is expected to take at its endpoint, without and with
// the time until it begins.
func (w Work) Expected() (execution, total time.Duration) { return w.expected, w.expected + w.wait }

// UseCosts sets of which services the work of requests is learned and decides their endpoints.
// It takes effect with the next Update.
func (s *Selector) UseCosts(isUsed func(model.ServiceName) bool) { s.usesCosts = isUsed }

func (s *Selector) updateCosts(name model.ServiceName, state *serviceState) {
	isUsed := s.usesCosts != nil && s.usesCosts(name)
	switch {
	case !isUsed && state.costs != nil:
		state.costs = nil
		for _, target := range state.endpoints {
			target.speedLog = 0
		}
	case isUsed && state.costs == nil:
		state.costs = costs.New()
	}
}

// request returns what the costs of a query are learned by.
func (s *Selector) request(query Query, object uint64) costs.Request {
	request := costs.Request{Kind: hashes.Sum(query.Route.Domain, query.Route.Prefix, knownMethod(query.Method)) + uint64(query.SizeClass)}
	if query.hasObject() {
		request.Object = object
	}
	return request
}

// knownMethod returns the method, or nothing for one that is not usual, so that callers cannot
// make up kinds.
func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return method
	}
	return ""
}

// estimate sets what a query is expected to need, before its endpoint is chosen.
func (s *Selector) estimate(state *serviceState, query Query, object uint64) {
	if state.costs == nil {
		return
	}
	s.currentRequest = s.request(query, object)
	s.estimates = state.costs.Estimate(s.currentRequest)
}

// workAt returns what the query is expected to need at an endpoint.
func (s *Selector) workAt(state *serviceState, candidate *endpoint, rank int, now time.Time) Work {
	warmth := state.costs.WarmthAt(s.currentRequest, candidate.cacheKey(), rank == 0, now)
	work := Work{request: s.currentRequest, warmth: warmth, sentAt: now, work: s.estimates[warmth]}
	slowness := candidate.speed(now)
	work.expected = time.Duration(float64(work.work) * slowness)
	load := candidate.load(now)
	if load+1 <= float64(candidate.slots) {
		return work
	}
	left := time.Duration((load-float64(candidate.inFlight))*float64(state.costs.MeanWork())*slowness*peerLeft) + candidate.workLeft(now)
	work.wait = time.Duration(float64(left) / float64(candidate.slots))
	return work
}

// expectedWorkTime is the expected response time of one more request to the endpoint, by
// what requests are expected to need.
func (s *Selector) expectedWorkTime(state *serviceState, candidate *endpoint, rank int, now time.Time) time.Duration {
	work := s.workAt(state, candidate, rank, now)
	if rank > 0 && work.warmth != costs.NoObject {
		work.expected = time.Duration(float64(work.expected) * moveFactor)
	}
	total := float64(work.expected+work.wait) / max(0.05, 1-candidate.failureRate(now))
	return time.Duration(total) + s.networkDelay(candidate)
}

// speed is the current slowness of the endpoint by the work of its requests.
func (e *endpoint) speed(now time.Time) float64 {
	if e.speedLog == 0 {
		return 1
	}
	slowness := math.Exp(e.speedLog * decay(now.Sub(e.speedAt), speedDecay))
	if slowness < minSlowness {
		return 1
	}
	return slowness
}

// workLeft is the work that is left of this host's requests.
func (e *endpoint) workLeft(now time.Time) time.Duration {
	left := time.Duration(0)
	for i := range e.running {
		age := now.Sub(e.running[i].sentAt)
		left += max(e.running[i].expected+e.running[i].wait-age, time.Duration(leastLeft*float64(age)))
	}
	return left
}

// begin records that a request was sent to an endpoint, and returns its work.
func (s *Selector) begin(target *endpoint, work Work) Work {
	s.lastWork++
	work.number = s.lastWork
	target.running = append(target.running, work)
	return work
}

// cacheKey identifies the cache of the endpoint, which an incarnation begins empty.
func (e *endpoint) cacheKey() uint64 { return e.hash ^ hashes.Mix(uint64(e.incarnation)) }

// end forgets a request that was sent.
func (e *endpoint) end(work Work) {
	for i := range e.running {
		if e.running[i].number == work.number {
			last := len(e.running) - 1
			e.running[i] = e.running[last]
			e.running = e.running[:last]
			return
		}
	}
}

// learn records the work of a request that has ended at an endpoint.
func (s *Selector) learn(state *serviceState, target *endpoint, outcome Outcome, now time.Time) {
	work := outcome.Work
	if state.costs == nil || work.sentAt.IsZero() {
		return
	}
	elapsed := max(time.Millisecond, outcome.Elapsed-2*s.networkDelay(target))
	slowness := target.speed(now)
	needed := time.Duration(float64(max(elapsed-work.wait, elapsed/4)) / slowness)
	switch outcome.Result {
	case Answered:
		state.costs.RecordAnswer(work.request, target.cacheKey(), now)
		if work.work > 0 {
			ratio := min(maxSpeedRatio, max(-maxSpeedRatio, math.Log(float64(elapsed)/float64(work.work+time.Duration(float64(work.wait)/slowness)))))
			target.recordSpeed(ratio-max(0, state.meanRatio), now)
			state.meanRatio += (ratio - state.meanRatio) * meanRatioWeight
		}
		state.costs.Learn(work.request, work.warmth, needed)
	case Abandoned, TimedOut, Failed:
		// Without an answer since the send, the endpoint may be what took the time.
		if target.answeredAt.After(work.sentAt) {
			state.costs.LearnAtLeast(work.request, work.warmth, needed)
		}
	case Overloaded, Unreachable, Undelivered:
	}
}

// recordSpeed records the logarithm of the ratio of the time that a request took to what
// was expected of an endpoint of usual speed.
func (e *endpoint) recordSpeed(ratio float64, now time.Time) {
	current := e.speedLog * decay(now.Sub(e.speedAt), speedDecay)
	e.speedLog, e.speedAt = current+(min(maxSpeedRatio, max(-maxSpeedRatio, ratio))-current)*speedWeight, now
}

// SizeClass is the class of a body's length.
type SizeClass uint8

// SizeClassOf returns the class of a length in bytes, which is negative if it is unknown.
func SizeClassOf(length int64) SizeClass {
	if length < 0 {
		return 4
	}
	class := SizeClass(0)
	for _, limit := range [...]int64{0, 4 << 10, 64 << 10} {
		if length > limit {
			class++
		}
	}
	return class
}

// isAvoided reports whether the endpoint is so slow that its objects may use others.
func (e *endpoint) isAvoided(now time.Time) bool { return e.speed(now) >= avoidedSlowness }
