package proxy

import (
	"context"
	"time"

	"filberthold/steer"
)

const (
	// maxWaiting bounds the requests of a host that wait for a slot.
	maxWaiting = 64
	// waitPart is the part of a route's objective for which a request waits.
	// After that an answer would come too late to be worth a slot.
	waitPart = 0.5
)

// chooseOrWait decides where a request goes. If every endpoint is full, it
// waits for a slot until a deadline. A retry does not wait: its place in the
// budget is taken when it is sent.
func (c *Core) chooseOrWait(ctx context.Context, query steer.Query, until time.Time) steer.Decision {
	decision := c.choose(query)
	rejected, isRejected := decision.(steer.Reject)
	if !isRejected || !rejected.IsFull || len(query.Tried) > 0 || !time.Now().Before(until) {
		return decision
	}
	query.HasWaited = true
	ticket, admitted, isWaiting := c.startWaiting(query, until)
	if !isWaiting {
		return decision
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case sent := <-admitted:
		return sent
	case <-timer.C:
	case <-ctx.Done():
	}
	if sent, wasAdmitted := c.stopWaiting(ticket, admitted); wasAdmitted {
		return sent
	}
	return rejected
}

func (c *Core) startWaiting(query steer.Query, until time.Time) (steer.Ticket, chan steer.Send, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, isWaiting := c.waitlist.Push(query, until)
	if !isWaiting {
		return 0, nil, false
	}
	admitted := make(chan steer.Send, 1)
	c.waiters[ticket] = admitted
	return ticket, admitted, true
}

// stopWaiting takes a request off the list. It may have got an endpoint at the
// same moment, which it then has to use.
func (c *Core) stopWaiting(ticket steer.Ticket, admitted chan steer.Send) (steer.Send, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitlist.Remove(ticket) {
		delete(c.waiters, ticket)
		return steer.Send{}, false
	}
	return <-admitted, true
}

// serveWaiting gives free slots to waiting requests.
func (c *Core) serveWaiting(now time.Time) {
	if c.waitlist.Len() == 0 {
		return
	}
	for _, one := range c.waitlist.Admit(now) {
		c.waiters[one.Ticket] <- one.Send
		delete(c.waiters, one.Ticket)
	}
}
