package steer

import (
	"slices"
	"time"
)

// Ticket identifies a waiting query.
type Ticket uint64

// waiting is a query that found every endpoint full.
type waiting struct {
	ticket Ticket
	query  Query
	// until is when the query is rejected.
	until time.Time
}

// Admitted is a waiting query that got an endpoint.
type Admitted struct {
	Ticket Ticket
	Send   Send
}

// Waitlist holds queries until an endpoint has room: a caller that is turned
// away comes back later than a slot becomes free. Those of higher priority go
// first, then those that came first. It is not safe for concurrent use.
type Waitlist struct {
	steerer *Selector
	limit   int
	last    Ticket
	queries []waiting
}

// NewWaitlist returns a list for up to limit queries.
func NewWaitlist(steerer *Selector, limit int) *Waitlist {
	return &Waitlist{steerer: steerer, limit: limit}
}

// Push adds a query and reports false if the list is full.
func (w *Waitlist) Push(query Query, until time.Time) (Ticket, bool) {
	if len(w.queries) >= w.limit {
		return 0, false
	}
	w.last++
	added := waiting{ticket: w.last, query: query, until: until}
	place := len(w.queries)
	for place > 0 && w.queries[place-1].query.Route.Priority > query.Route.Priority {
		place--
	}
	w.queries = slices.Insert(w.queries, place, added)
	return added.ticket, true
}

// Remove takes a query out of the list and reports whether it was in it.
func (w *Waitlist) Remove(ticket Ticket) bool {
	before := len(w.queries)
	w.queries = slices.DeleteFunc(w.queries, func(one waiting) bool { return one.ticket == ticket })
	return len(w.queries) < before
}

// Admit returns the queries that get an endpoint now. Those that have waited
// too long stay until Remove.
func (w *Waitlist) Admit(now time.Time) []Admitted {
	var admitted []Admitted
	kept := w.queries[:0]
	for _, one := range w.queries {
		if now.Before(one.until) {
			if sent, isSent := w.steerer.Choose(one.query, now).(Send); isSent {
				admitted = append(admitted, Admitted{Ticket: one.ticket, Send: sent})
				continue
			}
		}
		kept = append(kept, one)
	}
	w.queries = kept
	return admitted
}

// Len returns the number of waiting queries.
func (w *Waitlist) Len() int { return len(w.queries) }
