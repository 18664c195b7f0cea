package place

import (
	"fmt"
	"slices"
	"time"

	"filberthold/config"
	"filberthold/model"
	"filberthold/score"
)

// candidates returns the endpoints that a request can be sent to now. Those
// that got it before are left out while there are others, and so are failing
// ones; a hedge is never sent to an endpoint that got the request.
func (c *Core) candidates(waiting *pending, now time.Time) []model.Endpoint {
	if !now.Before(waiting.request.Deadline) {
		return nil
	}
	free := c.free(waiting, now)
	untried := slices.DeleteFunc(slices.Clone(free), func(endpoint model.Endpoint) bool {
		return slices.Contains(waiting.tried, endpoint.Name())
	})
	if len(untried) > 0 || waiting.inFlight > 0 {
		return c.avoidStragglers(waiting, c.preferHealthy(untried, now), now)
	}
	return c.avoidStragglers(waiting, c.preferHealthy(free, now), now)
}

func (c *Core) free(waiting *pending, now time.Time) []model.Endpoint {
	return slices.DeleteFunc(slices.Clone(c.inRegion(waiting)), func(endpoint model.Endpoint) bool {
		return c.leaving.has(endpoint.Name()) || c.ledger.Free(endpoint.Name(), waiting.request.Deadline, now) == 0
	})
}

func (c *Core) preferHealthy(endpoints []model.Endpoint, now time.Time) []model.Endpoint {
	healthy := slices.DeleteFunc(slices.Clone(endpoints), func(endpoint model.Endpoint) bool {
		return c.board.IsFailing(endpoint.Name(), now)
	})
	if len(healthy) > 0 {
		return healthy
	}
	return endpoints
}

// send sends a request to the best of its candidates, of which there must be
// at least one. They are found before the request leaves the queue, because
// the length of the queue decides whether stragglers are used.
func (c *Core) send(waiting *pending, candidates []model.Endpoint, now time.Time) []Decision {
	names := make([]model.EndpointName, 0, len(candidates))
	for _, endpoint := range candidates {
		names = append(names, endpoint.Name())
	}
	choice := c.board.Choose(score.FullScan, names, c.random, now)
	ticket, taken := c.ledger.Take(names[choice], waiting.request.Deadline, now)
	if !taken {
		return c.refuse(waiting, "slot was taken")
	}
	sent := c.newAttempt(waiting, candidates[choice], waiting.request.Deadline, now)
	sent.ticket = ticket
	if delay, known := c.board.HedgeDelay(waiting.request.Service); known && waiting.class == model.Read && waiting.attempts == 1 {
		waiting.hedgeAt = now.Add(delay)
	}
	return []Decision{Send{
		Request:      waiting.request.ID,
		Attempt:      sent.id,
		Endpoint:     sent.endpoint,
		Address:      candidates[choice].Address(),
		Number:       waiting.attempts,
		Hedge:        waiting.inFlight > 1,
		Deadline:     sent.deadline,
		Reason:       fmt.Sprintf("%s, least cost of %d", waiting.route, len(names)),
		Alternatives: slices.Delete(names, choice, choice+1),
	}}
}

// newAttempt records that a request is sent to an endpoint.
func (c *Core) newAttempt(waiting *pending, endpoint model.Endpoint, deadline, now time.Time) *attempt {
	c.nextAttempt++
	sent := &attempt{id: c.nextAttempt, request: waiting.request.ID, endpoint: endpoint.Name(), deadline: deadline}
	c.attempts[sent.id] = sent
	waiting.attempts++
	waiting.inFlight++
	waiting.tried = append(waiting.tried, endpoint.Name())
	c.board.RecordSent(sent.endpoint, uint64(sent.id), now)
	return sent
}

// retry sends a request again after an attempt has ended, if the budget, the
// deadline and the number of attempts allow it. An export that made progress is
// bounded by its deadline only: the next attempt repeats no work, so it is not
// an extra load that the budget has to limit.
func (c *Core) retry(waiting *pending, detail string, isResumed bool, now time.Time) []Decision {
	limit := maxAttempts
	if waiting.class == model.Export {
		limit = maxExportAttempts
	}
	switch {
	case !now.Before(waiting.request.Deadline):
		return c.refuse(waiting, "deadline passed after an attempt: "+detail)
	case c.mode != config.Steered:
		return c.sendBaseline(waiting, now)
	case waiting.attempts-waiting.progressed >= limit:
		return c.refuse(waiting, "all attempts used: "+detail)
	case !isResumed && !c.services[waiting.request.Service].retries.Spend():
		return c.refuse(waiting, "retry budget used: "+detail)
	}
	waiting.hedgeAt = time.Time{}
	c.routeFailover(waiting, now)
	position := c.services[waiting.request.Service].queue.Requeue(waiting.item())
	return c.sendOrWait(waiting, position, now)
}

// refuse ends a request without a response. NotRun is claimed only for a
// submit of which no attempt was made or all proved not to have started; the
// register has no rows for other classes, so for them it is NotSent.
func (c *Core) refuse(waiting *pending, reason string) []Decision {
	delete(c.requests, waiting.request.ID)
	outcome := model.NotSent
	switch {
	case waiting.isUncertain || waiting.inFlight > 0:
		outcome = model.Unknown
	case waiting.class == model.Submit:
		outcome = model.NotRun
	}
	return []Decision{Refuse{Request: waiting.request.ID, Outcome: outcome, Reason: reason}}
}
