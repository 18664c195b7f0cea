package place

import (
	"fmt"
	"slices"
	"time"

	"filberthold/config"
	"filberthold/model"
	"filberthold/score"
)

// candidates returns the endpoints to which a request can be sent now. It leaves
// out endpoints that the request was sent to before, and failing ones, while there
// are others. A hedge is never sent to an endpoint that has had the request.
func (c *Core) candidates(open *openRequest, now time.Time) []model.Endpoint {
	if !now.Before(open.request.Deadline) {
		return nil
	}
	free := c.withFreeSlot(open, now)
	untried := slices.DeleteFunc(slices.Clone(free), func(endpoint model.Endpoint) bool {
		return slices.Contains(open.tried, endpoint.Name())
	})
	if len(untried) > 0 || open.inFlight > 0 {
		return c.avoidStragglers(open, c.preferHealthy(untried, now), now)
	}
	return c.avoidStragglers(open, c.preferHealthy(free, now), now)
}

// withFreeSlot returns the endpoints in the region of a request that are neither
// leaving nor spared, and have a slot that the request can take.
func (c *Core) withFreeSlot(open *openRequest, now time.Time) []model.Endpoint {
	return slices.DeleteFunc(slices.Clone(c.inRegion(open)), func(endpoint model.Endpoint) bool {
		return !c.accepts(endpoint.Name(), now) || c.ledger.Free(endpoint.Name(), open.request.Deadline, now) == 0
	})
}

// preferHealthy returns the endpoints that are not failing, or all if all fail.
func (c *Core) preferHealthy(endpoints []model.Endpoint, now time.Time) []model.Endpoint {
	healthy := slices.DeleteFunc(slices.Clone(endpoints), func(endpoint model.Endpoint) bool {
		return c.tracker.IsFailing(endpoint.Name(), now)
	})
	if len(healthy) > 0 {
		return healthy
	}
	return endpoints
}

// send sends a request to the best of its candidates, of which there must be at
// least one. The caller selects the candidates before it removes the request from
// the queue, because stragglers are candidates only if the queue is long.
func (c *Core) send(open *openRequest, candidates []model.Endpoint, now time.Time) []Decision {
	names := make([]model.EndpointName, 0, len(candidates))
	for _, endpoint := range candidates {
		names = append(names, endpoint.Name())
	}
	choice := c.tracker.Choose(score.FullScan, names, c.random, now)
	ticket, taken := c.ledger.Take(names[choice], open.request.Deadline, now)
	if !taken {
		return c.refuse(open, "slot was taken")
	}
	attempt := c.newAttempt(open, candidates[choice], open.request.Deadline, now)
	attempt.ticket = ticket
	if delay, ok := c.tracker.HedgeDelay(open.request.Service); ok && open.class == model.Read && open.attempts == 1 {
		open.hedgeAt = now.Add(delay)
	}
	return []Decision{Send{
		Request:      open.request.ID,
		Attempt:      attempt.id,
		Endpoint:     attempt.endpoint,
		Address:      candidates[choice].Address(),
		Number:       open.attempts,
		Hedge:        open.inFlight > 1,
		Deadline:     attempt.deadline,
		Reason:       fmt.Sprintf("%s, least cost of %d", open.routeReason, len(names)),
		Alternatives: slices.Delete(names, choice, choice+1),
	}}
}

// newAttempt records an attempt of a request at an endpoint.
func (c *Core) newAttempt(open *openRequest, endpoint model.Endpoint, deadline, now time.Time) *attemptState {
	c.lastAttempt++
	attempt := &attemptState{id: c.lastAttempt, request: open.request.ID, endpoint: endpoint.Name(), deadline: deadline}
	c.attempts[attempt.id] = attempt
	open.attempts++
	open.inFlight++
	open.isRetryPaid = false
	open.tried = append(open.tried, endpoint.Name())
	c.tracker.RecordSent(attempt.endpoint, uint64(attempt.id), now)
	return attempt
}

// retry sends a request again after an attempt has ended, if the budget, the
// deadline and the number of attempts allow it. An export that made progress is
// bounded only by its deadline: the next attempt repeats no work, and
// MinExportProgress bounds the number of attempts by the size of the export.
func (c *Core) retry(open *openRequest, detail string, isResumed bool, now time.Time) []Decision {
	limit := maxAttempts
	if open.class == model.Export {
		limit = maxExportAttempts
	}
	switch {
	case !now.Before(open.request.Deadline):
		return c.refuse(open, "deadline passed after an attempt: "+detail)
	case c.mode != config.Steered:
		return c.sendBaseline(open, now)
	case open.attempts-open.progressed >= limit:
		return c.refuse(open, "all attempts used: "+detail)
	case !isResumed && !c.payRetry(open):
		return c.refuse(open, "retry budget used: "+detail)
	}
	open.hedgeAt = time.Time{}
	c.routeFailover(open, now)
	position := c.services[open.request.Service].queue.Requeue(open.item())
	return c.sendOrWait(open, position, now)
}

// payRetry spends the budget for a retry of a request. It reports false if there is not
// enough. The budget is spent before the wait for a slot, so that the retries that wait
// do not exceed it together.
func (c *Core) payRetry(open *openRequest) bool {
	open.isRetryPaid = c.services[open.request.Service].retries.Spend()
	return open.isRetryPaid
}

// refundRetry gives back what was spent for a retry that has not been sent.
func (c *Core) refundRetry(open *openRequest) {
	if open.isRetryPaid {
		open.isRetryPaid = false
		c.services[open.request.Service].retries.Refund()
	}
}

// refuse ends a request without a response. The outcome is NotRun only for a
// submit that was never sent or whose attempts all provably did not start.
// Other classes have no rows in the register, so their outcome is then NotSent.
// It is Unknown for each class if an attempt may have run.
func (c *Core) refuse(open *openRequest, reason string) []Decision {
	delete(c.requests, open.request.ID)
	c.refundRetry(open)
	outcome := model.NotSent
	switch {
	case open.mayHaveRun || open.inFlight > 0:
		outcome = model.Unknown
	case open.class == model.Submit:
		outcome = model.NotRun
	}
	return []Decision{Refuse{Request: open.request.ID, Outcome: outcome, Reason: reason}}
}
