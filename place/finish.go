package place

import (
	"cmp"
	"slices"
	"time"

	"filberthold/model"
	"filberthold/score"
)

func (c *Core) finish(event Finished, now time.Time) []Decision {
	sent, exists := c.attempts[event.Attempt]
	if !exists {
		return nil
	}
	delete(c.attempts, event.Attempt)
	if event.Result == Lost {
		c.ledger.Hold(sent.ticket)
	} else {
		c.ledger.Return(sent.ticket)
	}
	if event.Leaving {
		c.leaving.mark(sent.endpoint, "")
	}
	c.observe(sent, event.Result, now)
	waiting, exists := c.requests[sent.request]
	if !exists || sent.isCancelled {
		return nil
	}
	waiting.inFlight--
	if event.Result == Succeeded {
		delete(c.requests, sent.request)
		decisions := c.cancelAttempts(sent.request, "another attempt was faster", true)
		return append(decisions, Deliver{Request: sent.request, Attempt: event.Attempt})
	}
	if event.Result != NotStarted {
		waiting.isUncertain = true
	}
	isResumed := event.Progress && waiting.class == model.Export
	if isResumed {
		waiting.progressed++
	}
	switch {
	case waiting.inFlight > 0:
		return nil
	case event.Result == NotStarted || waiting.class.Idempotent():
		return c.retry(waiting, event.Detail, isResumed, now)
	}
	return c.refuse(waiting, event.Detail)
}

func (c *Core) observe(sent *attempt, result Result, now time.Time) {
	seen := score.Failed
	switch {
	case result == Succeeded:
		seen = score.Answered
	case sent.isCancelled:
		seen = score.Cancelled
	}
	c.board.RecordResult(sent.endpoint, uint64(sent.id), seen, now)
}

// respond takes note of a response header. A response that has begun is not
// hedged: what is left of it depends on its length.
func (c *Core) respond(id AttemptID, now time.Time) {
	sent, exists := c.attempts[id]
	if !exists {
		return
	}
	c.board.RecordResponse(sent.endpoint, uint64(id), now)
	if waiting, exists := c.requests[sent.request]; exists {
		waiting.hedgeAt = time.Time{}
	}
}

// tick hedges the reads for which it is time, and gives up attempts whose end
// has not been reported although the upstream must have ended them.
func (c *Core) tick(now time.Time) []Decision {
	var decisions []Decision
	for _, sent := range c.sortedAttempts() {
		if !now.Before(sent.reportBy()) {
			decisions = append(decisions, c.finish(Finished{Attempt: sent.id, Result: Lost, Detail: "no report by the deadline"}, now)...)
		}
	}
	// The hold of an attempt that was given up has ended by now.
	c.ledger.Expire(now)
	decisions = append(decisions, c.timeOutBaseline(now)...)
	return append(decisions, c.hedgeDue(now)...)
}

// hedgeRetryInterval is the time after which a hedge is tried again that had no
// slot or no budget. The reads that wait longest then get the next one.
const hedgeRetryInterval = 5 * time.Millisecond

func (a *attempt) reportBy() time.Time { return a.deadline.Add(reportMargin) }

func (c *Core) hedgeDue(now time.Time) []Decision {
	var due []*pending
	for _, waiting := range c.requests {
		if !waiting.hedgeAt.IsZero() && !now.Before(waiting.hedgeAt) {
			due = append(due, waiting)
		}
	}
	slices.SortFunc(due, func(a, b *pending) int {
		return cmp.Or(a.hedgeAt.Compare(b.hedgeAt), cmp.Compare(a.request.ID, b.request.ID))
	})
	var decisions []Decision
	for _, waiting := range due {
		waiting.hedgeAt = time.Time{}
		switch {
		case waiting.inFlight != 1 || waiting.attempts >= maxAttempts:
		case c.canHedge(waiting, now) && c.services[waiting.request.Service].hedges.Spend():
			decisions = append(decisions, c.send(waiting, c.candidates(waiting, now), now)...)
		default:
			waiting.hedgeAt = now.Add(hedgeRetryInterval)
		}
	}
	return decisions
}

// canHedge reports whether a hedge has a slot that no queued request needs. A
// cancelled attempt holds its slot until its end is known, so hedging stops
// while a quarter of the slots is held.
func (c *Core) canHedge(waiting *pending, now time.Time) bool {
	service := waiting.request.Service
	if c.services[service].queue.Len() > 0 {
		return false
	}
	usable, held := 0, 0
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		usable += c.ledger.Usable(endpoint.Name())
		held += c.ledger.Held(endpoint.Name())
	}
	return 4*held < usable && len(c.candidates(waiting, now)) > 0
}

// NextTick returns the time at which the core wants a Ticked event, or the
// zero time if it needs none.
func (c *Core) NextTick() time.Time {
	var next time.Time
	wake := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, waiting := range c.requests {
		wake(waiting.hedgeAt)
	}
	for _, sent := range c.attempts {
		wake(sent.reportBy())
		wake(c.baselineTimeout(sent))
	}
	if idle := c.ledger.EarliestLastUse(); !idle.IsZero() {
		wake(idle.Add(loanLinger))
	}
	isQueued := false
	for _, state := range c.services {
		wake(state.queue.NextDeadline())
		isQueued = isQueued || state.queue.Len() > 0
	}
	if isQueued {
		wake(c.recheckAt)
	}
	if isQueued || c.ledger.HasPendingRelease() {
		wake(c.ledger.NextExpiry())
	}
	return next
}

// classOf returns the class of a request that has not ended.
func (c *Core) classOf(id RequestID) model.Class {
	if waiting, exists := c.requests[id]; exists {
		return waiting.class
	}
	return 0
}
