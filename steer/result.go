package steer

import (
	"time"

	"filberthold/model"
)

// Result is how a request at an endpoint ended.
type Result int

const (
	// Answered means that the endpoint sent a complete response.
	Answered Result = iota + 1
	// Failed means that the endpoint responded with an error of its own or with
	// an invalid response.
	Failed
	// Overloaded means that the endpoint was full and did not execute the
	// request.
	Overloaded
	// Unreachable means that the connection could not be made or broke.
	Unreachable
	// TimedOut means that no response arrived before the timeout.
	TimedOut
	// Abandoned means that the request was given up while it was sent or after, because its
	// caller disconnected or its body broke off; it is no evidence about the endpoint.
	Abandoned
	// Undelivered means that the endpoint did not get the request: the caller left before
	// it was sent, or another endpoint answered at the address.
	Undelivered
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
	case TimedOut:
		return "silent"
	case Abandoned:
		return "abandoned"
	case Undelivered:
		return "undelivered"
	}
	return "unknown"
}

// Outcome describes how a request at an endpoint ended.
type Outcome struct {
	Endpoint model.EndpointName
	Result   Result
	// Elapsed is the time from the send to the end.
	Elapsed time.Duration
	// HasLoad is true if the endpoint reported its load and Busy is set.
	HasLoad bool
	// Busy is the number of requests at the endpoint by its own report, without
	// the one that ended.
	Busy int
	// Limit is the limit that the endpoint named in its response.
	Limit RateLimit
	// Work is that of the Send.
	Work Work
}

// RecordAnswer records that the head of a response of an endpoint arrived. Whatever becomes
// of the body, the endpoint ran at that time.
func (s *Selector) RecordAnswer(name model.EndpointName, now time.Time) {
	if target := s.endpoints[name]; target != nil {
		target.recordAnswer(now)
	}
}

// Done records the end of a request that Choose decided to send. It reports whether
// the endpoint's limit changed.
func (s *Selector) Done(outcome Outcome, now time.Time) bool {
	target := s.endpoints[outcome.Endpoint]
	if target == nil {
		return false
	}
	target.inFlight = max(0, target.inFlight-1)
	target.end(outcome.Work)
	state := s.services[target.service]
	if state == nil {
		return false
	}
	if outcome.Result.heldSlot() {
		state.recordHold(outcome.Elapsed)
	}
	switch outcome.Result {
	case Answered, Failed, Overloaded:
		target.recordAnswer(now)
	case TimedOut, Abandoned:
		target.recordSilence(now.Add(-outcome.Elapsed), now)
	case Unreachable, Undelivered:
	}
	s.learn(state, target, outcome, now)
	switch outcome.Result {
	case Answered:
		s.recordResponse(state, target, outcome.Elapsed, now)
	case Failed:
		target.unreachableCount = 0
		target.countResult(true, now)
	case Overloaded:
		target.unreachableCount = 0
		target.countResult(true, now)
		target.reportedOthers = max(target.reportedOthers, float64(target.slots+maxEndpointQueue))
		target.reportedAt = now
	case Unreachable:
		target.countResult(true, now)
		target.markUnreachable(now)
	case TimedOut:
		target.countResult(true, now)
		target.recordTimeRatio(float64(outcome.Elapsed)/float64(state.median()), now)
	case Abandoned, Undelivered:
	}
	if outcome.HasLoad {
		target.applyLoadReport(outcome.Busy, now)
	}
	return target.applyLimit(outcome, now)
}

func (s *Selector) recordResponse(state *serviceState, target *endpoint, elapsed time.Duration, now time.Time) {
	target.unreachableCount = 0
	target.suspectUntil = time.Time{}
	target.countResult(false, now)
	serviceTime := max(time.Millisecond, elapsed-2*s.networkDelay(target))
	state.latencies.Add(serviceTime)
	target.recordTimeRatio(float64(serviceTime)/float64(state.median()), now)
}
