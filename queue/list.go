// Package queue decides which requests wait while every endpoint of their service is full, in
// which order they get slots, which are rejected at once and when rejected callers should
// return. The package is pure: it has no clock, goroutines or I/O.
package queue

import (
	"slices"
	"time"

	"filberthold/model"
	"filberthold/steer"
)

// Reason is the reason of a rejection by this package.
const Reason = "no slot in time"

// maxServed bounds the organisations of a service whose served requests are remembered. Those
// that were served long ago are forgotten first.
const maxServed = 512

// maxTries bounds the waiting requests for which an endpoint is sought each time. With more, the
// cost of a choice for each of them would delay all requests of the host.
const maxTries = 64

// List holds the waiting requests of a host. It is not safe for concurrent use.
type List struct {
	selector   *steer.Selector
	lines      map[model.ServiceName]*serviceLine
	lastTicket steer.Ticket
	// services holds the service of each waiting request.
	services map[steer.Ticket]model.ServiceName
}

// serviceLine holds the waiting requests of one service.
type serviceLine struct {
	name    model.ServiceName
	waiters []*waiter
	rate    slotRate
	// perSecond is the rate at which waiting requests get slots. It is set before each use.
	perSecond float64
	returns   returnTimes
	served    map[model.OrganisationName]*servedCount
}

// NewList returns a list without waiting requests.
func NewList(selector *steer.Selector) *List {
	return &List{selector: selector, lines: make(map[model.ServiceName]*serviceLine), services: make(map[steer.Ticket]model.ServiceName)}
}

func (l *List) line(name model.ServiceName) *serviceLine {
	line := l.lines[name]
	if line == nil {
		line = &serviceLine{name: name, served: make(map[model.OrganisationName]*servedCount)}
		l.lines[name] = line
	}
	return line
}

// measure sets the rate of a line.
func (l *List) measure(line *serviceLine, now time.Time) {
	line.measure(l.selector.HeldSlots(line.name), now)
}

func (s *serviceLine) measure(held steer.HeldSlots, now time.Time) {
	s.rate.advance(len(s.waiters) > 0, now)
	s.perSecond = s.rate.perSecond(held)
}

// Len returns the number of waiting requests.
func (l *List) Len() int { return len(l.services) }

// Choose chooses the endpoint of a request that is not in the list. A rejection because every
// endpoint is full states when the caller should return.
func (l *List) Choose(query steer.Query, now time.Time) steer.Decision {
	line := l.line(query.Service)
	line.rate.advance(len(line.waiters) > 0, now)
	decision := l.selector.Choose(line.underPressure(query, now), now)
	switch decision := decision.(type) {
	case steer.Send:
		line.recordSent(query, now)
	case steer.Reject:
		if decision.IsFull && query.IsRepeat() {
			l.measure(line, now)
			return line.reject(decision, len(line.waiters), 0, now)
		}
	}
	return decision
}

// Push adds a request that found every endpoint full and can be admitted before a time. If it
// cannot be expected to get a slot before then, Push returns its rejection and false.
func (l *List) Push(query steer.Query, full steer.Reject, until, now time.Time) (steer.Ticket, steer.Reject, bool) {
	line := l.line(query.Service)
	l.measure(line, now)
	line.rate.recordFull()
	added := &waiter{ticket: l.lastTicket + 1, query: query, since: now, until: until, full: full}
	index, isWaiting := line.insert(added, now)
	if !isWaiting {
		return 0, line.reject(full, index, until.Sub(now), now), false
	}
	l.lastTicket++
	l.services[added.ticket] = query.Service
	return added.ticket, steer.Reject{}, true
}

// insert adds a request to the line if it can be expected to get a slot in time. It returns its
// index among the others.
func (s *serviceLine) insert(added *waiter, now time.Time) (int, bool) {
	s.waiters = append(s.waiters, added)
	s.sort(now)
	index := slices.Index(s.waiters, added)
	if now.Add(max(s.expectedWait(index), added.full.MinRetryAfter)).After(added.until) {
		s.waiters = slices.Delete(s.waiters, index, index+1)
		return index, false
	}
	return index, true
}

// Remove removes a request that is not to wait any longer and returns its rejection. It returns
// false if the request is not in the list.
func (l *List) Remove(ticket steer.Ticket, now time.Time) (steer.Reject, bool) {
	name, exists := l.services[ticket]
	if !exists {
		return steer.Reject{}, false
	}
	delete(l.services, ticket)
	line := l.lines[name]
	l.measure(line, now)
	index := slices.IndexFunc(line.waiters, func(w *waiter) bool { return w.ticket == ticket })
	removed := line.waiters[index]
	line.waiters = slices.Delete(line.waiters, index, index+1)
	return line.reject(removed.full, index, removed.until.Sub(removed.since), now), true
}

// Admit removes and returns the requests for which an endpoint is available now, and those that
// cannot be expected to get one in time.
func (l *List) Admit(now time.Time) []steer.Admitted {
	var admitted []steer.Admitted
	for _, name := range l.names() {
		admitted = append(admitted, l.admit(l.lines[name], maxTries, now)...)
	}
	l.forget(admitted)
	return admitted
}

// Overtaken removes and returns the requests for a service that cannot be expected to get an
// endpoint in time any more, because one was added. It seeks no endpoints: none has become free.
func (l *List) Overtaken(service model.ServiceName, now time.Time) []steer.Admitted {
	overtaken := l.admit(l.line(service), 0, now)
	l.forget(overtaken)
	return overtaken
}

func (l *List) forget(admitted []steer.Admitted) {
	for _, each := range admitted {
		delete(l.services, each.Ticket)
	}
}

// names returns the services with waiting requests in alphabetical order.
func (l *List) names() []model.ServiceName {
	var names []model.ServiceName
	for name, line := range l.lines {
		if len(line.waiters) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// admit seeks endpoints for up to tries requests.
func (l *List) admit(line *serviceLine, tries int, now time.Time) []steer.Admitted {
	l.measure(line, now)
	line.sort(now)
	var admitted []steer.Admitted
	kept := make([]*waiter, 0, len(line.waiters))
	for _, each := range line.waiters {
		if !now.Before(each.until) {
			admitted = append(admitted, steer.Admitted{Ticket: each.ticket, Decision: line.reject(each.full, len(kept), each.until.Sub(each.since), now)})
			continue
		}
		decision := steer.Decision(each.full)
		isChosen := len(kept) < tries
		if isChosen {
			decision = l.selector.Choose(line.underPressure(each.query, now), now)
		}
		if reject, isReject := decision.(steer.Reject); isReject && reject.IsFull {
			wait := line.expectedWait(len(kept))
			if isChosen {
				// An earlier rejection states the time from then on.
				wait = max(wait, reject.MinRetryAfter)
			}
			if now.Add(wait).After(each.until) {
				admitted = append(admitted, steer.Admitted{Ticket: each.ticket, Decision: line.reject(reject, len(kept), each.until.Sub(each.since), now)})
				continue
			}
			each.full = reject
			kept = append(kept, each)
			continue
		}
		if _, isSend := decision.(steer.Send); isSend {
			line.recordSent(each.query, now)
			line.rate.recordAdmitted()
		}
		admitted = append(admitted, steer.Admitted{Ticket: each.ticket, Decision: decision})
	}
	line.waiters = kept
	return admitted
}

func (s *serviceLine) recordSent(query steer.Query, now time.Time) {
	name := query.Organisation.Name
	if name == "" {
		return
	}
	if s.served[name] == nil {
		s.forgetServed(now)
		s.served[name] = new(servedCount)
	}
	s.served[name].add(now)
	s.served[name].weight = weight(query)
}

// forgetServed makes room for an organisation.
func (s *serviceLine) forgetServed(now time.Time) {
	if len(s.served) < maxServed {
		return
	}
	for name, count := range s.served {
		if count.at(now) < 0.5 {
			delete(s.served, name)
		}
	}
	if len(s.served) >= maxServed {
		clear(s.served)
	}
}

func (s *serviceLine) sort(now time.Time) { sortWaiters(s.waiters, s.served, now) }

// expectedWait is the time until the requests ahead have got their slots. It is the answer to
// bursts and impatient callers: a request that would wait in vain is rejected at once.
func (s *serviceLine) expectedWait(ahead int) time.Duration {
	return time.Duration(float64(ahead) / s.perSecond * float64(time.Second))
}

// reject returns the rejection of a request with a number of requests ahead of it, and what
// decided it.
func (s *serviceLine) reject(full steer.Reject, ahead int, maxWait time.Duration, now time.Time) steer.Reject {
	retryAfter := s.returns.next(s.expectedWait(len(s.waiters)), s.rate.returnsPerSecond(s.perSecond), now)
	return steer.Reject{
		Reason: Reason, RetryAfter: max(retryAfter, full.MinRetryAfter), IsFull: true, MinRetryAfter: full.MinRetryAfter,
		Backlog: s.backlog(ahead, maxWait),
	}
}

func (s *serviceLine) backlog(ahead int, maxWait time.Duration) steer.Backlog {
	return steer.Backlog{IsKnown: true, Waiting: len(s.waiters), Ahead: ahead, SlotsPerSecond: s.perSecond, ExpectedWait: s.expectedWait(ahead), MaxWait: maxWait}
}
