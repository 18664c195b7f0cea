package proxy

import (
	"context"
	"time"

	"filberthold/model"
	"filberthold/queue"
	"filberthold/route"
	"filberthold/steer"
)

const (
	// maxWaiting bounds the number of a host's requests that wait for a slot of services
	// whose requests are not queued by what is measured.
	maxWaiting = 64
	// waitFraction is the fraction of a route's latency objective for which a
	// request waits. A response to one that waits longer would come too late to
	// justify the slot.
	waitFraction = 0.5
)

// waitDeadline returns the time until which a request waits for a slot.
func waitDeadline(matchedRoute route.Route, arrivedAt, deadline time.Time) time.Time {
	maxWait := time.Duration(float64(matchedRoute.LatencyObjective) * waitFraction)
	return arrivedAt.Add(min(maxWait, deadline.Sub(arrivedAt)/4))
}

// waitingKey identifies a waiting request.
type waitingKey struct {
	// isQueued is true if the request is in the queue, and false if it is in the waitlist.
	isQueued bool
	ticket   steer.Ticket
}

// waitingRequests holds the requests that wait for a slot. Those of services whose requests
// are queued by what is measured are in the queue, all others in the waitlist.
type waitingRequests struct {
	selector *steer.Selector
	waitlist *steer.Waitlist
	queue    *queue.List
	// isPressured is true if the requests of all services are queued.
	isPressured bool
	// mixed are the services that routes with different latency objectives use. Their
	// requests are always queued.
	mixed map[model.ServiceName]bool
	// admitted holds the channel on which each waiting request receives its endpoint or
	// its rejection.
	admitted map[waitingKey]chan steer.Decision
	counts   waitCounts
}

func newWaitingRequests(selector *steer.Selector) waitingRequests {
	return waitingRequests{
		selector: selector, waitlist: steer.NewWaitlist(selector, maxWaiting), queue: queue.NewList(selector),
		admitted: make(map[waitingKey]chan steer.Decision),
	}
}

// EnablePressure queues the requests of all services by what is measured. It must be called
// before the first request.
func (c *Core) EnablePressure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting.isPressured = true
}

func (w *waitingRequests) setConfig(config *route.Config) { w.mixed = queue.MixedServices(config) }

func (w *waitingRequests) isQueued(service model.ServiceName) bool {
	return w.isPressured || w.mixed[service]
}

func (w *waitingRequests) choose(query steer.Query, now time.Time) steer.Decision {
	if w.isQueued(query.Service) {
		return w.queue.Choose(query, now)
	}
	return w.selector.Choose(query, now)
}

// push adds a request that found every endpoint full. If it does not wait, push returns its
// rejection and false.
func (w *waitingRequests) push(query steer.Query, full steer.Reject, deadline, now time.Time) (waitingKey, steer.Reject, bool) {
	if !w.isQueued(query.Service) {
		ticket, isWaiting := w.waitlist.Push(query, deadline)
		return waitingKey{ticket: ticket}, full, isWaiting
	}
	ticket, reject, isWaiting := w.queue.Push(query, full, deadline, now)
	if !isWaiting {
		w.counts[rejectedAtOnce]++
	}
	return waitingKey{isQueued: true, ticket: ticket}, reject, isWaiting
}

// underPressure returns a query as choose passes it to the selector.
func (w *waitingRequests) underPressure(query steer.Query, now time.Time) steer.Query {
	if w.isQueued(query.Service) {
		return w.queue.UnderPressure(query, now)
	}
	return query
}

// look returns what push would do: the place of a request that would wait and true, or its
// rejection and false. Of the place in the waitlist only Ahead and MaxWait are known.
func (w *waitingRequests) look(query steer.Query, full steer.Reject, held steer.HeldSlots, deadline, now time.Time) (steer.Backlog, steer.Reject, bool) {
	if w.isQueued(query.Service) {
		return w.queue.Look(query, full, held, deadline, now)
	}
	ahead, isWaiting := w.waitlist.Look(query)
	return steer.Backlog{Ahead: ahead, MaxWait: deadline.Sub(now)}, full, isWaiting
}

// remove removes a request whose time to wait has passed or whose caller has left, and
// returns its rejection. It returns false if the request was admitted before.
func (w *waitingRequests) remove(key waitingKey, full steer.Reject, now time.Time) (steer.Reject, bool) {
	if !key.isQueued {
		if !w.waitlist.Remove(key.ticket) {
			return full, false
		}
		delete(w.admitted, key)
		return full, true
	}
	reject, isRemoved := w.queue.Remove(key.ticket, now)
	if isRemoved {
		w.counts[expired]++
		delete(w.admitted, key)
	}
	return reject, isRemoved
}

// admit assigns free slots to waiting requests, and rejects those for which waiting is of
// no use any more.
func (w *waitingRequests) admit(now time.Time) {
	if w.waitlist.Len() > 0 {
		w.tell(w.waitlist.Admit(now), false)
	}
	if w.queue.Len() > 0 {
		w.tell(w.queue.Admit(now), true)
	}
}

func (w *waitingRequests) tell(admitted []steer.Admitted, isQueued bool) {
	for _, each := range admitted {
		key := waitingKey{isQueued, each.Ticket}
		if isQueued {
			w.counts.add(each.Decision)
		}
		w.admitted[key] <- each.Decision
		delete(w.admitted, key)
	}
}

// chooseOrWait selects the endpoint of a request. If every endpoint is full, it
// waits for a slot until a deadline. A retry does not wait, because choose charges
// the retry budget and waitingRequests.admit does not.
func (c *Core) chooseOrWait(ctx context.Context, query steer.Query, deadline time.Time) steer.Decision {
	decision := c.choose(query)
	reject, isReject := decision.(steer.Reject)
	if !isReject || !reject.IsFull || query.IsRepeat() || !time.Now().Before(deadline) {
		return decision
	}
	query.HasWaited = true
	key, reject, admitted := c.startWaiting(query, reject, deadline)
	if admitted == nil {
		return reject
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case decision := <-admitted:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.stopWaiting(key, reject, admitted)
}

// startWaiting returns the channel on which the request receives its endpoint or its
// rejection, or its rejection and nil if it does not wait.
func (c *Core) startWaiting(query steer.Query, full steer.Reject, deadline time.Time) (waitingKey, steer.Reject, chan steer.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	key, reject, isWaiting := c.waiting.push(query, full, deadline, now)
	if !isWaiting {
		return key, reject, nil
	}
	admitted := make(chan steer.Decision, 1)
	c.waiting.admitted[key] = admitted
	if key.isQueued {
		// The request may leave others no slot in time.
		c.waiting.tell(c.waiting.queue.Overtaken(query.Service, now), true)
	}
	return key, full, admitted
}

// stopWaiting removes a request from the list and returns its rejection. A request that
// was admitted at the same moment must use its endpoint: stopWaiting returns it.
func (c *Core) stopWaiting(key waitingKey, full steer.Reject, admitted chan steer.Decision) steer.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reject, isRemoved := c.waiting.remove(key, full, time.Now()); isRemoved {
		return reject
	}
	return <-admitted
}
