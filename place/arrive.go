package place

import (
	"cmp"
	"slices"
	"time"

	"filberthold/admit"
	"filberthold/config"
	"filberthold/model"
)

func (c *Core) arrive(request Request, now time.Time) []Decision {
	if c.deployment == nil {
		return []Decision{Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "no configuration"}}
	}
	service, exists := c.deployment.Service(request.Service)
	if !exists {
		return []Decision{Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "unknown service"}}
	}
	waiting := &pending{request: request, class: service.Class()}
	c.requests[request.ID] = waiting
	if !now.Before(request.Deadline) {
		return c.refuse(waiting, "deadline passed")
	}
	if c.mode != config.Steered {
		return c.sendBaseline(waiting, now)
	}
	state := c.services[request.Service]
	state.hedges.Earn()
	state.retries.Earn()
	decisions, isRouted := c.routeArrival(waiting, now)
	if !isRouted {
		delete(c.requests, request.ID)
		decisions = append(decisions, Refuse{Request: request.ID, Outcome: model.NotSent, Reason: waiting.route})
		return append(decisions, c.askLoan(request, []model.RegionName{request.Home}, now)...)
	}
	decisions = append(decisions, c.pump(request.Service, now)...)
	if candidates := c.candidates(waiting, now); state.queue.Len() == 0 && len(candidates) > 0 {
		return append(decisions, c.send(waiting, candidates, now)...)
	}
	position, isQueued := state.queue.Push(waiting.item())
	if !isQueued {
		delete(c.requests, request.ID)
		return append(decisions, Refuse{Request: request.ID, Outcome: model.NotSent, Reason: "queue of the service is full"})
	}
	return append(decisions, c.sendOrWait(waiting, position, now)...)
}

func (p *pending) item() admit.Item[RequestID] {
	return admit.Item[RequestID]{ID: p.request.ID, Customer: p.request.Customer, Deadline: p.request.Deadline}
}

// sendOrWait sends what can be sent of the queue. If that does not include the
// given request, which must be queued, it waits.
func (c *Core) sendOrWait(waiting *pending, position int, now time.Time) []Decision {
	decisions := c.pump(waiting.request.Service, now)
	if slices.ContainsFunc(decisions, func(d Decision) bool { return d.RequestID() == waiting.request.ID }) {
		return decisions
	}
	decisions = append(decisions, Wait{Request: waiting.request.ID, Position: position, Reason: c.whyWait(waiting, now)})
	return append(decisions, c.askLoan(waiting.request, c.loanRegions(waiting), now)...)
}

// whyWait names what a request waits for.
func (c *Core) whyWait(waiting *pending, now time.Time) string {
	usable, leaving, busy, tooShort := 0, 0, 0, 0
	for _, endpoint := range c.inRegion(waiting) {
		slots := c.ledger.Usable(endpoint.Name())
		usable += slots
		switch {
		case slots == 0:
		case c.leaving.has(endpoint.Name()):
			leaving++
		case c.ledger.Free(endpoint.Name(), waiting.request.Deadline, now) == 0:
			busy++
		default:
			tooShort++
		}
	}
	switch {
	case usable == 0:
		return "host may use no slot of the service in the region"
	case tooShort > 0 && c.services[waiting.request.Service].queue.Len() <= 1:
		return "free endpoints are slow, faster ones are busy"
	case busy > 0:
		return "all slots of the host are taken"
	case tooShort > 0:
		return "earlier requests of the service are served first"
	case leaving > 0:
		return "all endpoints of the host are leaving"
	}
	return "no endpoint takes the request"
}

// pumpAll sends the queued requests of all services that can be sent.
func (c *Core) pumpAll(now time.Time) []Decision {
	var decisions []Decision
	for _, service := range c.serviceNames {
		decisions = append(decisions, c.pump(service, now)...)
	}
	return decisions
}

// pump refuses the queued requests of a service that are past their deadline,
// and sends others while there are free slots.
func (c *Core) pump(service model.ServiceName, now time.Time) []Decision {
	state := c.services[service]
	if state.queue.Len() == 0 {
		return nil
	}
	var decisions []Decision
	for _, item := range state.queue.Expire(now) {
		decisions = append(decisions, c.refuse(c.requests[item.ID], "deadline passed in the queue")...)
	}
	for c.hasAnyFree(service, now) {
		var candidates []model.Endpoint
		item, found := state.queue.Pop(func(id RequestID) bool {
			candidates = c.servable(c.requests[id], now)
			return len(candidates) > 0
		})
		if !found {
			return decisions
		}
		decisions = append(decisions, c.send(c.requests[item.ID], candidates, now)...)
	}
	return decisions
}

// hasAnyFree reports whether a request of a service could be sent at all. It
// saves the scan of a long queue on each event while all slots are taken. The
// earliest deadline is the one that fits most borrowed slots.
func (c *Core) hasAnyFree(service model.ServiceName, now time.Time) bool {
	return slices.ContainsFunc(c.deployment.EndpointsOf(service), func(endpoint model.Endpoint) bool {
		return !c.leaving.has(endpoint.Name()) && c.ledger.Free(endpoint.Name(), now, now) > 0
	})
}

// servable returns the endpoints to which a queued request can be sent. Its
// home region may have stopped serving since it was queued.
func (c *Core) servable(waiting *pending, now time.Time) []model.Endpoint {
	c.routeFailover(waiting, now)
	return c.candidates(waiting, now)
}

// abandon drops a request whose caller gave up. A submit is not cancelled: its
// late response is stored for a repeat with the same key.
func (c *Core) abandon(id RequestID) []Decision {
	waiting, exists := c.requests[id]
	if !exists || waiting.class == model.Submit {
		return nil
	}
	delete(c.requests, id)
	c.services[waiting.request.Service].queue.Remove(id)
	return c.cancelAttempts(id, "caller gave up", false)
}

// cancelAttempts cancels all attempts of a request that are in flight. Their
// slots stay held until their end is reported or their deadline has passed.
func (c *Core) cancelAttempts(id RequestID, reason string, areLosers bool) []Decision {
	var decisions []Decision
	for _, sent := range c.sortedAttempts() {
		if sent.request == id && !sent.isCancelled {
			sent.isCancelled = true
			c.ledger.Hold(sent.ticket)
			decisions = append(decisions, Cancel{Request: id, Attempt: sent.id, Reason: reason, IsLoser: areLosers})
		}
	}
	return decisions
}

// sortedAttempts returns the attempts in order, so that a replay of a session
// gives the same decisions.
func (c *Core) sortedAttempts() []*attempt {
	sorted := make([]*attempt, 0, len(c.attempts))
	for _, sent := range c.attempts {
		sorted = append(sorted, sent)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return sorted
}
