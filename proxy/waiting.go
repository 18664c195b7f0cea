package proxy

import (
	"context"
	"time"

	"filberthold/steer"
)

const (
	// maxWaiting bounds the number of a host's requests that wait for a slot.
	maxWaiting = 64
	// waitFraction is the fraction of a route's latency objective for which a
	// request waits. A response to one that waits longer would come too late to
	// justify the slot.
	waitFraction = 0.5
)

// chooseOrWait selects the endpoint of a request. If every endpoint is full, it
// waits for a slot until a deadline. A retry does not wait, because choose charges
// the retry budget and admitWaiting does not.
func (c *Core) chooseOrWait(ctx context.Context, query steer.Query, deadline time.Time) steer.Decision {
	decision := c.choose(query)
	reject, isReject := decision.(steer.Reject)
	if !isReject || !reject.IsFull || query.IsRepeat() || !time.Now().Before(deadline) {
		return decision
	}
	query.HasWaited = true
	ticket, admitted, isWaiting := c.startWaiting(query, deadline)
	if !isWaiting {
		return decision
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case decision := <-admitted:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	if decision, wasAdmitted := c.stopWaiting(ticket, admitted); wasAdmitted {
		return decision
	}
	return reject
}

func (c *Core) startWaiting(query steer.Query, deadline time.Time) (steer.Ticket, chan steer.Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, isWaiting := c.waitlist.Push(query, deadline)
	if !isWaiting {
		return 0, nil, false
	}
	admitted := make(chan steer.Decision, 1)
	c.waiters[ticket] = admitted
	return ticket, admitted, true
}

// stopWaiting removes a request from the list and returns false. A request that
// was admitted at the same moment must use its endpoint: stopWaiting returns it
// and true.
func (c *Core) stopWaiting(ticket steer.Ticket, admitted chan steer.Decision) (steer.Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitlist.Remove(ticket) {
		delete(c.waiters, ticket)
		return nil, false
	}
	return <-admitted, true
}

// admitWaiting assigns free slots to waiting requests, and rejects those for which
// waiting is of no use any more.
func (c *Core) admitWaiting(now time.Time) {
	if c.waitlist.Len() == 0 {
		return
	}
	for _, admitted := range c.waitlist.Admit(now) {
		c.waiters[admitted.Ticket] <- admitted.Decision
		delete(c.waiters, admitted.Ticket)
	}
}
