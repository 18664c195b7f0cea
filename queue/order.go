package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"filberthold/model"
	"filberthold/steer"
)

// waiter is a request that waits for a slot.
type waiter struct {
	ticket steer.Ticket
	query  steer.Query
	// since and until bound the time in which the request waits.
	since, until time.Time
	// full is the latest rejection by the selector.
	full steer.Reject
	// turn is the place of the request among those of its organisation, relative to what the
	// organisation may get. It is set when the order is determined.
	turn float64
}

// isOverdue reports whether most of the waiting time has passed. Fairness among organisations
// then counts no longer, so that it starves no request.
func (w *waiter) isOverdue(now time.Time) bool {
	return now.Sub(w.since) > w.until.Sub(now)
}

// sortWaiters orders waiting requests: by the organisation's priority, the route's priority,
// fairness among organisations, and arrival. Among organisations the least served one is first,
// relative to its quota; requests that have waited for half of their time go first, by arrival.
// It is the answer to one organisation at many times its usual rate: the requests of the others
// do not wait behind its own.
func sortWaiters(waiters []*waiter, served map[model.OrganisationName]*servedCount, now time.Time) {
	slices.SortFunc(waiters, func(a, b *waiter) int { return cmp.Compare(a.ticket, b.ticket) })
	ahead := make(map[model.OrganisationName]float64)
	largest := largestWeight(served)
	for _, w := range waiters {
		largest = max(largest, weight(w.query))
	}
	for _, w := range waiters {
		name := w.query.Organisation.Name
		w.turn = 0
		if w.isOverdue(now) || name == "" {
			continue
		}
		w.turn = (max(0, served[name].at(now)-freeTurns) + ahead[name]) / cmp.Or(weight(w.query), largest, 1)
		ahead[name]++
	}
	slices.SortStableFunc(waiters, func(a, b *waiter) int {
		return cmp.Or(a.query.ComparePriority(b.query), cmp.Compare(a.turn, b.turn))
	})
}

// weight is what an organisation may get relative to others: its quota, or 0 where it has
// none. It then gets as much as the largest of those that have one, or as all others.
func weight(query steer.Query) float64 { return max(0, query.Organisation.Quota.PerSecond) }

// largestWeight returns the largest quota of the organisations that were served lately.
func largestWeight(served map[model.OrganisationName]*servedCount) float64 {
	largest := 0.0
	for _, count := range served {
		largest = max(largest, count.weight)
	}
	return largest
}

// freeTurns is the number of recent requests for which an organisation does not stand back: the
// part of a small quota that falls to one host is below one request.
const freeTurns = 1

// servedCount counts the requests of an organisation that got slots, decayed with rateDecay.
type servedCount struct {
	count     float64
	countedAt time.Time
	// weight is what the organisation may get relative to others, or 0.
	weight float64
}

// at returns the count at a time.
func (s *servedCount) at(now time.Time) float64 {
	if s == nil {
		return 0
	}
	return s.count * math.Exp(-float64(now.Sub(s.countedAt))/float64(rateDecay))
}

func (s *servedCount) add(now time.Time) {
	s.count = s.at(now) + 1
	s.countedAt = now
}
