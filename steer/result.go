package steer

import (
	"time"

	"filberthold/model"
)

// Result is how a request at an endpoint ended.
type Result int

const (
	// Answered means that the endpoint gave a whole answer.
	Answered Result = iota + 1
	// Failed means that the endpoint answered with a failure of its own, or
	// with something that is no answer.
	Failed
	// Overloaded means that the endpoint had no room and did not run it.
	Overloaded
	// Unreachable means that no connection was made or it broke.
	Unreachable
	// Silent means that no answer came in time.
	Silent
	// Abandoned means that the caller left; it says nothing of the endpoint.
	Abandoned
)

// String returns the text form for logs and metrics.
func (r Result) String() string {
	switch r {
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case Overloaded:
		return "overloaded"
	case Unreachable:
		return "unreachable"
	case Silent:
		return "silent"
	case Abandoned:
		return "abandoned"
	}
	return "unknown"
}

// Outcome is the end of a request at an endpoint.
type Outcome struct {
	Endpoint model.EndpointName
	Result   Result
	// Elapsed is the time from sending to the end.
	Elapsed time.Duration
	// HasLoad is true if Busy is known.
	HasLoad bool
	// Busy is the number of requests at the endpoint by its own report, the
	// ended one not counted.
	Busy int
}

// Done takes in the end of a request that Choose sent.
func (s *Selector) Done(outcome Outcome, now time.Time) {
	seen := s.endpoints[outcome.Endpoint]
	if seen == nil {
		return
	}
	seen.inFlight = max(0, seen.inFlight-1)
	state := s.services[seen.service]
	if state == nil {
		return
	}
	switch outcome.Result {
	case Answered:
		s.answered(state, seen, outcome.Elapsed, now)
	case Failed:
		seen.streak = 0
		seen.count(true, now)
	case Overloaded:
		seen.streak = 0
		seen.count(true, now)
		seen.others = max(seen.others, float64(seen.slots+queueRoom))
		seen.reportedAt = now
	case Unreachable:
		seen.count(true, now)
		seen.noteUnreachable(now)
	case Silent:
		seen.count(true, now)
		seen.observeTime(float64(outcome.Elapsed)/float64(state.median()), now)
	case Abandoned:
	}
	if outcome.HasLoad {
		seen.report(outcome.Busy, now)
	}
}

func (s *Selector) answered(state *service, seen *endpoint, elapsed time.Duration, now time.Time) {
	seen.streak = 0
	seen.suspectUntil = time.Time{}
	seen.count(false, now)
	net := max(time.Millisecond, elapsed-2*s.distance(seen))
	state.times.Add(net)
	seen.observeTime(float64(net)/float64(state.median()), now)
}
