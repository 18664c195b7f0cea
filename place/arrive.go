package place

import (
	"cmp"
	"slices"
	"time"

	"filberthold/admit"
	"filberthold/config"
	"filberthold/model"
)

// arrive sends, queues or refuses a new request.
func (c *Core) arrive(request Request, now time.Time) []Decision {
	if c.deployment == nil {
		return []Decision{Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "no configuration"}}
	}
	service, exists := c.deployment.Service(request.Service)
	if !exists {
		return []Decision{Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "unknown service"}}
	}
	open := &openRequest{request: request, class: service.Class()}
	c.requests[request.ID] = open
	if !now.Before(request.Deadline) {
		return c.refuse(open, "deadline passed")
	}
	if c.mode != config.Steered {
		return c.sendBaseline(open, now)
	}
	state := c.services[request.Service]
	state.hedges.Earn()
	state.retries.Earn()
	decisions, isRouted := c.routeArrival(open, now)
	if !isRouted {
		delete(c.requests, request.ID)
		decisions = append(decisions, Refuse{Request: request.ID, Outcome: model.NotSent, Reason: open.routeReason})
		return append(decisions, c.requestLoan(request, []model.RegionName{request.Home}, now)...)
	}
	decisions = append(decisions, c.sendQueued(request.Service, now)...)
	if candidates := c.candidates(open, now); state.queue.Len() == 0 && len(candidates) > 0 {
		return append(decisions, c.send(open, candidates, now)...)
	}
	position, isQueued := state.queue.Push(open.item())
	if !isQueued {
		delete(c.requests, request.ID)
		return append(decisions, Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "queue of the service is full"})
	}
	return append(decisions, c.sendOrWait(open, position, now)...)
}

func (o *openRequest) item() admit.Item[RequestID] {
	return admit.Item[RequestID]{ID: o.request.ID, Customer: o.request.Customer, Deadline: o.request.Deadline}
}

// sendOrWait sends the queued requests of a service that can be sent. If the
// given request, which must be queued, is not among them, it also returns a
// Wait and may request a loan.
func (c *Core) sendOrWait(open *openRequest, position int, now time.Time) []Decision {
	decisions := c.sendQueued(open.request.Service, now)
	if slices.ContainsFunc(decisions, func(d Decision) bool { return d.RequestID() == open.request.ID }) {
		return decisions
	}
	decisions = append(decisions, Wait{Request: open.request.ID, Position: position, Reason: c.waitReason(open, now)})
	return append(decisions, c.requestLoan(open.request, c.loanRegions(open), now)...)
}

// waitReason describes what a queued request waits for.
func (c *Core) waitReason(open *openRequest, now time.Time) string {
	usable, leaving, spared, busy, skipped := 0, 0, 0, 0, 0
	for _, endpoint := range c.inRegion(open) {
		slots := c.ledger.Usable(endpoint.Name())
		usable += slots
		switch {
		case slots == 0:
		case c.leaving.has(endpoint.Name()):
			leaving++
		case c.spare.has(endpoint.Name(), now):
			spared++
		case c.ledger.Free(endpoint.Name(), open.request.Deadline, now) == 0:
			busy++
		default:
			skipped++
		}
	}
	switch {
	case usable == 0:
		return "host may use no slot of the service in the region"
	case skipped > 0 && c.services[open.request.Service].queue.Len() <= 1:
		return "free endpoints are slow, faster ones are busy"
	case busy > 0:
		return "all slots of the host are taken"
	case skipped > 0:
		return "earlier requests of the service are served first"
	case spared > 0:
		return "endpoints asked to be spared"
	case leaving > 0:
		return "all endpoints of the host are leaving"
	}
	return "no endpoint takes the request"
}

// sendAllQueued sends the queued requests of all services that can be sent.
func (c *Core) sendAllQueued(now time.Time) []Decision {
	var decisions []Decision
	for _, service := range c.serviceNames {
		decisions = append(decisions, c.sendQueued(service, now)...)
	}
	return decisions
}

// sendQueued refuses the queued requests of a service that are past their
// deadline, or will be before an endpoint is free, and sends others while there are free slots.
func (c *Core) sendQueued(service model.ServiceName, now time.Time) []Decision {
	state := c.services[service]
	if state.queue.Len() == 0 {
		return nil
	}
	var decisions []Decision
	for _, item := range state.queue.Expire(now) {
		decisions = append(decisions, c.refuse(c.requests[item.ID], "deadline passed in the queue")...)
	}
	decisions = append(decisions, c.refuseSpared(service, now)...)
	for c.hasFreeSlot(service, now) {
		var candidates []model.Endpoint
		item, found := state.queue.Pop(func(id RequestID) bool {
			candidates = c.queuedCandidates(c.requests[id], now)
			return len(candidates) > 0
		})
		if !found {
			return decisions
		}
		decisions = append(decisions, c.send(c.requests[item.ID], candidates, now)...)
	}
	return decisions
}

// hasFreeSlot reports whether any request of a service could be sent. It avoids
// a scan of a long queue on each event while all slots are taken. It passes now
// as the deadline, because the earliest deadline fits the most borrowed slots.
func (c *Core) hasFreeSlot(service model.ServiceName, now time.Time) bool {
	return slices.ContainsFunc(c.deployment.EndpointsOf(service), func(endpoint model.Endpoint) bool {
		return c.accepts(endpoint.Name(), now) && c.ledger.Free(endpoint.Name(), now, now) > 0
	})
}

// queuedCandidates returns the endpoints to which a queued request can be sent.
// It checks for a failover first, because the region of the request may have
// stopped serving since the request was queued.
func (c *Core) queuedCandidates(open *openRequest, now time.Time) []model.Endpoint {
	c.routeFailover(open, now)
	return c.candidates(open, now)
}

// abandon drops a request whose caller disconnected, and cancels its attempts. A
// submit is not cancelled: its late response is stored for a repeat of the key.
func (c *Core) abandon(id RequestID) []Decision {
	open, exists := c.requests[id]
	if !exists || open.class == model.Submit {
		return nil
	}
	delete(c.requests, id)
	c.refundRetry(open)
	c.services[open.request.Service].queue.Remove(id)
	return c.cancelAttempts(id, "caller gave up", false)
}

// cancelAttempts cancels all attempts of a request that are in flight. Each slot
// stays held until the end of its attempt is reported or the hold expires.
func (c *Core) cancelAttempts(id RequestID, reason string, areLosers bool) []Decision {
	var decisions []Decision
	for _, attempt := range c.sortedAttempts() {
		if attempt.request == id && !attempt.isCancelled {
			attempt.isCancelled = true
			c.ledger.Hold(attempt.ticket)
			decisions = append(decisions, Cancel{Request: id, Attempt: attempt.id, Reason: reason, IsLoser: areLosers})
		}
	}
	return decisions
}

// sortedAttempts returns the attempts in the order of their IDs, so a replay of
// a session gives the same decisions.
func (c *Core) sortedAttempts() []*attemptState {
	sorted := make([]*attemptState, 0, len(c.attempts))
	for _, attempt := range c.attempts {
		sorted = append(sorted, attempt)
	}
	slices.SortFunc(sorted, func(a, b *attemptState) int { return cmp.Compare(a.id, b.id) })
	return sorted
}
