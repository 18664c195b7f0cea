package place

import (
	"time"

	"filberthold/config"
	"filberthold/model"
)

// baselineAttempts limits a request in a baseline mode to one retry.
const baselineAttempts = 2

// sendBaseline sends a request in a baseline mode (round robin or random): to
// the next or a random endpoint that is neither leaving nor spared, without shares, scores and
// hedges. The first attempt of an idempotent request times out after half of the
// remaining time, so a retry still fits.
func (c *Core) sendBaseline(open *openRequest, now time.Time) []Decision {
	endpoint, found := c.chooseBaseline(open.request.Service, now)
	if !found || open.attempts >= baselineAttempts {
		return c.refuse(open, "no endpoint took the request")
	}
	deadline := open.request.Deadline
	if open.class.Idempotent() && open.attempts == 0 {
		deadline = now.Add(deadline.Sub(now) / 2)
	}
	attempt := c.newAttempt(open, endpoint, deadline, now)
	return []Decision{Send{
		Request:  open.request.ID,
		Attempt:  attempt.id,
		Endpoint: endpoint.Name(),
		Address:  endpoint.Address(),
		Number:   open.attempts,
		Deadline: deadline,
		Reason:   string(c.mode),
	}}
}

// chooseBaseline returns the next or a random endpoint that is neither
// leaving nor spared. It
// reports false if there is none.
func (c *Core) chooseBaseline(service model.ServiceName, now time.Time) (model.Endpoint, bool) {
	endpoints := c.deployment.EndpointsOf(service)
	state := c.services[service]
	if c.mode == config.Random && len(endpoints) > 0 {
		state.nextIndex = c.random.IntN(len(endpoints))
	}
	for range endpoints {
		endpoint := endpoints[state.nextIndex%len(endpoints)]
		state.nextIndex++
		if c.accepts(endpoint.Name(), now) {
			return endpoint, true
		}
	}
	return model.Endpoint{}, false
}

// baselineTimeout returns when an attempt times out in a baseline mode, or the
// zero time if it does not. A submit has no timeout, because it must not be sent
// again.
func (c *Core) baselineTimeout(attempt *attemptState) time.Time {
	if c.mode == config.Steered || attempt.isCancelled || !c.classOf(attempt.request).Idempotent() {
		return time.Time{}
	}
	return attempt.deadline
}

// timeOutBaseline cancels and retries the attempts that have timed out in a
// baseline mode.
func (c *Core) timeOutBaseline(now time.Time) []Decision {
	var decisions []Decision
	for _, attempt := range c.sortedAttempts() {
		timeout := c.baselineTimeout(attempt)
		if timeout.IsZero() || now.Before(timeout) {
			continue
		}
		attempt.isCancelled = true
		decisions = append(decisions, Cancel{Request: attempt.request, Attempt: attempt.id, Reason: "attempt timed out"})
		open := c.requests[attempt.request]
		open.inFlight--
		open.mayHaveRun = true
		decisions = append(decisions, c.retry(open, "attempt timed out", false, now)...)
	}
	return decisions
}
