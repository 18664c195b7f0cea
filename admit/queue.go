// Package admit queues requests that wait for a slot. The queue of a service is
// bounded; it is first in, first out for the requests of a customer and round
// robin between customers.
package admit

import (
	"slices"
	"time"

	"filberthold/model"
)

// Item is a queued request.
type Item[ID comparable] struct {
	ID       ID
	Customer model.CustomerName
	// Deadline is when the request expires.
	Deadline time.Time
}

// Queue holds the waiting requests of one service. It is not safe for
// concurrent use.
type Queue[ID comparable] struct {
	limit int
	size  int
	// turns holds each customer with waiting requests once, in round-robin
	// order; the first is served next.
	turns []model.CustomerName
	// byCustomer holds the waiting requests of each customer in turns, in order.
	byCustomer map[model.CustomerName][]Item[ID]
}

// NewQueue returns a queue for up to limit requests.
func NewQueue[ID comparable](limit int) *Queue[ID] {
	return &Queue[ID]{limit: limit, byCustomer: make(map[model.CustomerName][]Item[ID])}
}

// SetLimit changes the limit. If it is lowered, requests beyond it stay queued.
func (q *Queue[ID]) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiting requests.
func (q *Queue[ID]) Len() int { return q.size }

// Push adds a request and returns its position in the order of service, counted
// from 1, which holds if no request is added or removed meanwhile. It reports
// false if the queue is full. A customer without waiting requests gets the last
// turn.
func (q *Queue[ID]) Push(item Item[ID]) (int, bool) {
	if q.size >= q.limit {
		return 0, false
	}
	if len(q.byCustomer[item.Customer]) == 0 {
		q.turns = append(q.turns, item.Customer)
	}
	q.byCustomer[item.Customer] = append(q.byCustomer[item.Customer], item)
	q.size++
	return q.position(item.Customer, len(q.byCustomer[item.Customer])), true
}

// Requeue adds a request again that was popped before, and returns its position
// as Push does. It becomes the first of its customer, because it is older than
// the others. The limit does not apply: a request that was admitted is not
// refused because later ones have filled the queue.
func (q *Queue[ID]) Requeue(item Item[ID]) int {
	if len(q.byCustomer[item.Customer]) == 0 {
		q.turns = append(q.turns, item.Customer)
	}
	q.byCustomer[item.Customer] = slices.Insert(q.byCustomer[item.Customer], 0, item)
	q.size++
	return q.position(item.Customer, 1)
}

// position returns the position of the customer's request that is served in the
// last of the given number of rounds. In each round, every other customer with
// requests left is served once, but in the last one only those before this
// customer.
func (q *Queue[ID]) position(customer model.CustomerName, rounds int) int {
	position, isBefore := rounds, true
	for _, other := range q.turns {
		if other == customer {
			isBefore = false
			continue
		}
		servedCount := rounds
		if !isBefore {
			servedCount--
		}
		position += min(servedCount, len(q.byCustomer[other]))
	}
	return position
}

// Pop removes and returns the next request for which canServe returns true.
// Other requests keep their place, and a customer without a servable request
// keeps its turn. A request overtakes an earlier one of its customer only if
// the earlier one cannot be served.
func (q *Queue[ID]) Pop(canServe func(ID) bool) (Item[ID], bool) {
	for turn, customer := range q.turns {
		for index, item := range q.byCustomer[customer] {
			if canServe(item.ID) {
				q.removeAt(turn, index)
				return item, true
			}
		}
	}
	return Item[ID]{}, false
}

// removeAt removes a request. Its customer gets the last turn.
func (q *Queue[ID]) removeAt(turn, index int) {
	customer := q.turns[turn]
	q.turns = slices.Delete(q.turns, turn, turn+1)
	q.byCustomer[customer] = slices.Delete(q.byCustomer[customer], index, index+1)
	q.size--
	if len(q.byCustomer[customer]) > 0 {
		q.turns = append(q.turns, customer)
		return
	}
	delete(q.byCustomer, customer)
}

// Remove removes a request and reports whether it was queued. Its customer keeps
// its turn if it has other requests.
func (q *Queue[ID]) Remove(id ID) bool {
	return len(q.removeMatching(func(item Item[ID]) bool { return item.ID == id })) > 0
}

// Expire removes and returns the requests whose deadline has passed, in the
// order of turns.
func (q *Queue[ID]) Expire(now time.Time) []Item[ID] {
	return q.removeMatching(func(item Item[ID]) bool { return !now.Before(item.Deadline) })
}

// removeMatching removes and returns all matching requests.
func (q *Queue[ID]) removeMatching(matches func(Item[ID]) bool) []Item[ID] {
	var removed []Item[ID]
	for _, customer := range q.turns {
		q.byCustomer[customer] = slices.DeleteFunc(q.byCustomer[customer], func(item Item[ID]) bool {
			if !matches(item) {
				return false
			}
			removed = append(removed, item)
			return true
		})
	}
	q.turns = slices.DeleteFunc(q.turns, func(customer model.CustomerName) bool {
		if len(q.byCustomer[customer]) > 0 {
			return false
		}
		delete(q.byCustomer, customer)
		return true
	})
	q.size -= len(removed)
	return removed
}

// NextDeadline returns the earliest deadline, or the zero time if the queue is
// empty.
func (q *Queue[ID]) NextDeadline() time.Time {
	var earliest time.Time
	for _, items := range q.byCustomer {
		for _, item := range items {
			if earliest.IsZero() || item.Deadline.Before(earliest) {
				earliest = item.Deadline
			}
		}
	}
	return earliest
}
