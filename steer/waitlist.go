package steer

import (
	"cmp"
	"slices"
	"time"
)

// Ticket identifies a waiting query.
type Ticket uint64

// waitingQuery is a query that found every endpoint full.
type waitingQuery struct {
	ticket Ticket
	query  Query
	// until is the time from which the query is no longer admitted.
	until time.Time
}

// Admitted is a waiting query that got an endpoint, or is rejected because waiting is
// of no use any more.
type Admitted struct {
	Ticket   Ticket
	Decision Decision
}

// Waitlist holds queries until an endpoint is no longer full: a slot becomes
// free sooner than a rejected caller retries. Queries are admitted by priority,
// that of the organisation first, then in the order of arrival. It is not safe for concurrent use.
type Waitlist struct {
	selector   *Selector
	limit      int
	lastTicket Ticket
	queries    []waitingQuery
}

// NewWaitlist returns a waitlist for up to limit queries.
func NewWaitlist(selector *Selector, limit int) *Waitlist {
	return &Waitlist{selector: selector, limit: limit}
}

// Push adds a query that can be admitted before the given time. It reports false
// if the list is full.
func (w *Waitlist) Push(query Query, until time.Time) (Ticket, bool) {
	if len(w.queries) >= w.limit {
		return 0, false
	}
	w.lastTicket++
	waiter := waitingQuery{ticket: w.lastTicket, query: query, until: until}
	w.queries = slices.Insert(w.queries, w.index(query), waiter)
	return waiter.ticket, true
}

// index returns the number of queries that are admitted before a new one.
func (w *Waitlist) index(query Query) int {
	index := len(w.queries)
	for index > 0 && query.goesBefore(w.queries[index-1].query) {
		index--
	}
	return index
}

// Look returns how many queries would be before a new one, or false if the list is full.
func (w *Waitlist) Look(query Query) (int, bool) {
	return w.index(query), len(w.queries) < w.limit
}

// goesBefore reports whether the query has a higher priority than another one.
func (q Query) goesBefore(other Query) bool { return q.ComparePriority(other) < 0 }

// ComparePriority returns a number below 0 if the query has a higher priority than another
// one, and above 0 if it has a lower one. The priority of the organisation counts first. A
// query without an organisation has that of its route in its place, so that callers without
// a key do not go before all others.
func (q Query) ComparePriority(other Query) int {
	return cmp.Or(cmp.Compare(q.firstPriority(), other.firstPriority()), cmp.Compare(q.Route.Priority, other.Route.Priority))
}

func (q Query) firstPriority() int {
	if q.Organisation.Name == "" {
		return q.Route.Priority
	}
	return q.Organisation.Priority
}

// Remove removes a query and reports whether it was in the list.
func (w *Waitlist) Remove(ticket Ticket) bool {
	before := len(w.queries)
	w.queries = slices.DeleteFunc(w.queries, func(waiter waitingQuery) bool { return waiter.ticket == ticket })
	return len(w.queries) < before
}

// Admit removes and returns the queries for which an endpoint is available now, and
// those that no endpoint can serve soon. Queries that have waited too long stay until
// Remove.
func (w *Waitlist) Admit(now time.Time) []Admitted {
	var admitted []Admitted
	kept := w.queries[:0]
	for _, waiter := range w.queries {
		if now.Before(waiter.until) {
			decision := w.selector.Choose(waiter.query, now)
			if reject, isReject := decision.(Reject); !isReject || !reject.IsFull {
				admitted = append(admitted, Admitted{Ticket: waiter.ticket, Decision: decision})
				continue
			}
		}
		kept = append(kept, waiter)
	}
	w.queries = kept
	return admitted
}

// Len returns the number of waiting queries.
func (w *Waitlist) Len() int { return len(w.queries) }
