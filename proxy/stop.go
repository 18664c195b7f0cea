package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthold/route"
	"filberthold/steer"
)

// stopResponseMargin is the time between the latest deadline of a request that
// arrives during a stop and the end of the stop. The response, or a timeout after
// responseMargin, must reach the caller within it.
const stopResponseMargin = responseMargin + 120*time.Millisecond

// Leave starts a graceful stop that ends at a deadline. Every response then closes
// its connection, so that callers connect to other hosts, and a request is sent to
// an endpoint only if it can end before the deadline.
func (s *Server) Leave(deadline time.Time) {
	end := deadline.Add(-stopResponseMargin)
	s.requestsEnd.Store(&end)
}

// isLeaving reports whether Leave was called.
func (s *Server) isLeaving() bool { return s.requestsEnd.Load() != nil }

// Refuse makes the server refuse new requests.
func (s *Server) Refuse() { s.isRefusing.Store(true) }

// Stop accepts the connections that callers have opened, closes the listener, and waits
// until the requests that have arrived are answered, or until ctx ends. Requests that
// were started early come first: net/http does not know them, and closes their
// connection behind the request before.
func (s *Server) Stop(ctx context.Context) error {
	waitErr := errors.Join(s.early.Wait(ctx), s.drain(ctx))
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(waitErr, fmt.Errorf("wait for requests in flight: %w", err))
	}
	return waitErr
}

func (s *Server) drain(ctx context.Context) error {
	listener := s.listener.Load()
	if listener == nil {
		return nil
	}
	if err := listener.Drain(ctx); err != nil {
		return fmt.Errorf("stop accepting requests: %w", err)
	}
	return nil
}

// fitsIntoStop reports whether the request can end before the host stops. A request
// that is not idempotent needs all of its time, because it cannot be repeated if it
// is cut. Another one needs its latency objective, and its deadline is moved to the
// end of the stop.
func (e *exchange) fitsIntoStop(now time.Time) bool {
	deadline, fits := e.server.deadlineWithinStop(e.route, e.deadline, now)
	e.deadline = deadline
	return fits
}

// deadlineWithinStop returns the deadline of a request, which may be moved to the end of a
// stop, and whether the request can end before it.
func (s *Server) deadlineWithinStop(matchedRoute route.Route, deadline, now time.Time) (time.Time, bool) {
	end := s.requestsEnd.Load()
	if end == nil || !deadline.After(*end) {
		return deadline, true
	}
	if !matchedRoute.Class.Idempotent() || end.Sub(now) < matchedRoute.LatencyObjective {
		return deadline, false
	}
	return *end, true
}

// endsAfterStop is the reason of the rejection of a request that cannot end before the host
// stops.
const endsAfterStop = "the host stops before the request can end"

// rejectForStop rejects a request that cannot end before the host stops.
func (e *exchange) rejectForStop() {
	e.handleReject(steer.Reject{Reason: endsAfterStop, RetryAfter: unavailableRetryAfter})
}
