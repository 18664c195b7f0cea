package place

import (
	"cmp"
	"slices"
	"time"

	"filberthold/model"
	"filberthold/score"
)

// finish handles the end of an attempt: it returns or holds the slot, and then
// delivers, retries or refuses the request.
func (c *Core) finish(event Finished, now time.Time) []Decision {
	attempt, exists := c.attempts[event.Attempt]
	if !exists {
		return nil
	}
	delete(c.attempts, event.Attempt)
	if event.Result == Lost {
		c.ledger.Hold(attempt.ticket)
	} else {
		c.ledger.Return(attempt.ticket)
	}
	if event.Leaving {
		c.leaving.mark(attempt.endpoint, "")
	}
	c.spare.add(attempt.endpoint, event.SpareFor, now)
	c.recordResult(attempt, event.Result, now)
	open, exists := c.requests[attempt.request]
	if !exists || attempt.isCancelled {
		return nil
	}
	open.inFlight--
	if event.Result == Succeeded {
		delete(c.requests, attempt.request)
		decisions := c.cancelAttempts(attempt.request, "another attempt was faster", true)
		return append(decisions, Deliver{Request: attempt.request, Attempt: event.Attempt})
	}
	if event.Result != NotStarted {
		open.mayHaveRun = true
	}
	isResumed := event.Progress && open.class == model.Export
	if isResumed {
		open.progressed++
	}
	switch {
	case open.inFlight > 0:
		return nil
	case event.Result == NotStarted || open.class.Idempotent():
		return c.retry(open, event.Detail, isResumed, now)
	}
	return c.refuse(open, event.Detail)
}

// recordResult reports the result of an attempt to the tracker.
func (c *Core) recordResult(attempt *attemptState, result Result, now time.Time) {
	recorded := score.Failed
	switch {
	case result == Succeeded:
		recorded = score.Answered
	case attempt.isCancelled:
		recorded = score.Cancelled
	}
	c.tracker.RecordResult(attempt.endpoint, uint64(attempt.id), recorded, now)
}

// recordResponse records the response header of an attempt. A request whose
// response has begun is not hedged: the remaining time depends on the length of
// the response.
func (c *Core) recordResponse(event Responded, now time.Time) {
	attempt, exists := c.attempts[event.Attempt]
	if !exists {
		return
	}
	if event.Leaving {
		c.leaving.mark(attempt.endpoint, "")
	}
	c.tracker.RecordResponse(attempt.endpoint, uint64(event.Attempt), now)
	if open, exists := c.requests[attempt.request]; exists {
		open.hedgeAt = time.Time{}
	}
}

// tick handles the attempts and hedges that are due. It ends an attempt as Lost if
// its end has not been reported although the upstream must have ended it.
func (c *Core) tick(now time.Time) []Decision {
	var decisions []Decision
	for _, attempt := range c.sortedAttempts() {
		if !now.Before(attempt.reportDeadline()) {
			decisions = append(decisions, c.finish(Finished{Attempt: attempt.id, Result: Lost, Detail: "no report by the deadline"}, now)...)
		}
	}
	// The hold of an attempt that was ended as Lost has expired by now.
	c.ledger.Expire(now)
	decisions = append(decisions, c.timeOutBaseline(now)...)
	return append(decisions, c.sendHedges(now)...)
}

// hedgeRetryInterval is the time after which a hedge that had no slot or no budget
// is tried again. Hedges with the same hedgeAt are tried in the order of the
// request IDs, which are ULIDs, so the oldest read goes first.
const hedgeRetryInterval = 5 * time.Millisecond

// reportDeadline returns when the core stops waiting for the end of an attempt.
func (a *attemptState) reportDeadline() time.Time { return a.deadline.Add(reportMargin) }

// sendHedges sends the hedges that are due, in the order of hedgeAt and request ID.
func (c *Core) sendHedges(now time.Time) []Decision {
	var due []*openRequest
	for _, open := range c.requests {
		if !open.hedgeAt.IsZero() && !now.Before(open.hedgeAt) {
			due = append(due, open)
		}
	}
	slices.SortFunc(due, func(a, b *openRequest) int {
		return cmp.Or(a.hedgeAt.Compare(b.hedgeAt), cmp.Compare(a.request.ID, b.request.ID))
	})
	var decisions []Decision
	for _, open := range due {
		open.hedgeAt = time.Time{}
		switch {
		case open.inFlight != 1 || open.attempts >= maxAttempts:
		case c.canHedge(open, now) && c.services[open.request.Service].hedges.Spend():
			decisions = append(decisions, c.send(open, c.candidates(open, now), now)...)
		default:
			open.hedgeAt = now.Add(hedgeRetryInterval)
		}
	}
	return decisions
}

// canHedge reports whether there is a slot for a hedge that no queued request
// needs. A cancelled attempt holds its slot until its end is known, so hedging
// stops while a quarter of the slots is held.
func (c *Core) canHedge(open *openRequest, now time.Time) bool {
	service := open.request.Service
	if c.services[service].queue.Len() > 0 {
		return false
	}
	usable, held := 0, 0
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		usable += c.ledger.Usable(endpoint.Name())
		held += c.ledger.Held(endpoint.Name())
	}
	return 4*held < usable && len(c.candidates(open, now)) > 0
}

// NextTick returns the time at which the caller must apply the next Ticked event,
// or the zero time if none is needed.
func (c *Core) NextTick() time.Time {
	var next time.Time
	include := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, open := range c.requests {
		include(open.hedgeAt)
	}
	for _, attempt := range c.attempts {
		include(attempt.reportDeadline())
		include(c.baselineTimeout(attempt))
	}
	if lastUse := c.ledger.EarliestLastUse(); !lastUse.IsZero() {
		include(lastUse.Add(loanIdleTimeout))
	}
	isQueued := false
	for _, state := range c.services {
		include(state.queue.NextDeadline())
		isQueued = isQueued || state.queue.Len() > 0
	}
	if isQueued {
		for _, until := range c.spare {
			include(until)
		}
		include(c.recheckAt)
	}
	if isQueued || c.ledger.HasPendingRelease() {
		include(c.ledger.NextExpiry())
	}
	return next
}

// classOf returns the class of a request that has not ended.
func (c *Core) classOf(id RequestID) model.Class {
	if open, exists := c.requests[id]; exists {
		return open.class
	}
	return 0
}
