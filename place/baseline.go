package place

import (
	"time"

	"filberthold/config"
	"filberthold/model"
)

// baselineAttempts is the first attempt and one retry.
const baselineAttempts = 2

// sendBaseline sends a request as the baselines do: to the next or a random
// endpoint that is not leaving, without shares, scores and hedges. An attempt
// of an idempotent request gets half of the time that is left for it.
func (c *Core) sendBaseline(waiting *pending, now time.Time) []Decision {
	endpoint, found := c.chooseBaseline(waiting.request.Service)
	if !found || waiting.attempts >= baselineAttempts {
		return c.refuse(waiting, "no endpoint took the request")
	}
	deadline := waiting.request.Deadline
	if waiting.class.Idempotent() && waiting.attempts == 0 {
		deadline = now.Add(deadline.Sub(now) / 2)
	}
	sent := c.newAttempt(waiting, endpoint, deadline, now)
	return []Decision{Send{
		Request:  waiting.request.ID,
		Attempt:  sent.id,
		Endpoint: endpoint.Name(),
		Address:  endpoint.Address(),
		Number:   waiting.attempts,
		Deadline: deadline,
		Reason:   string(c.mode),
	}}
}

func (c *Core) chooseBaseline(service model.ServiceName) (model.Endpoint, bool) {
	endpoints := c.deployment.EndpointsOf(service)
	state := c.services[service]
	if c.mode == config.Random && len(endpoints) > 0 {
		state.nextIndex = c.random.IntN(len(endpoints))
	}
	for range endpoints {
		endpoint := endpoints[state.nextIndex%len(endpoints)]
		state.nextIndex++
		if !c.leaving.has(endpoint.Name()) {
			return endpoint, true
		}
	}
	return model.Endpoint{}, false
}

// baselineTimeout returns when the baselines give an attempt up, or zero. A
// submit is not given up, because it must not be sent again.
func (c *Core) baselineTimeout(sent *attempt) time.Time {
	if c.mode == config.Steered || sent.isCancelled || !c.classOf(sent.request).Idempotent() {
		return time.Time{}
	}
	return sent.deadline
}

func (c *Core) timeOutBaseline(now time.Time) []Decision {
	var decisions []Decision
	for _, sent := range c.sortedAttempts() {
		timeout := c.baselineTimeout(sent)
		if timeout.IsZero() || now.Before(timeout) {
			continue
		}
		sent.isCancelled = true
		decisions = append(decisions, Cancel{Request: sent.request, Attempt: sent.id, Reason: "attempt timed out"})
		waiting := c.requests[sent.request]
		waiting.inFlight--
		waiting.isUncertain = true
		decisions = append(decisions, c.retry(waiting, "attempt timed out", false, now)...)
	}
	return decisions
}
