package queue

import (
	"time"

	"filberthold/steer"
)

// Look returns what Push would do, without a change of the list: the place of the request and
// true if it would wait, or its rejection and false. held are the slots of the query's service,
// because the selector may lack changes that are applied before a request is added.
func (l *List) Look(query steer.Query, full steer.Reject, held steer.HeldSlots, until, now time.Time) (steer.Backlog, steer.Reject, bool) {
	line := l.copyLine(query)
	line.measure(held, now)
	added := &waiter{ticket: l.lastTicket + 1, query: query, since: now, until: until, full: full}
	index, isWaiting := line.insert(added, now)
	if !isWaiting {
		reject := line.reject(full, index, until.Sub(now), now)
		return reject.Backlog, reject, false
	}
	return line.backlog(index, until.Sub(now)), steer.Reject{}, true
}

// UnderPressure returns a query as Choose passes it to the selector, without a change of the
// list.
func (l *List) UnderPressure(query steer.Query, now time.Time) steer.Query {
	line := l.copyLine(query)
	line.rate.advance(len(line.waiters) > 0, now)
	return line.underPressure(query, now)
}

// copyLine returns a copy of the line of a query's service. It shares the served requests,
// which Push does not change.
func (l *List) copyLine(query steer.Query) *serviceLine {
	original := l.lines[query.Service]
	if original == nil {
		return &serviceLine{name: query.Service}
	}
	copied := *original
	copied.waiters = make([]*waiter, len(original.waiters))
	for i, each := range original.waiters {
		other := *each
		copied.waiters[i] = &other
	}
	return &copied
}
