// Package admit queues requests that wait for a slot: first in, first out
// within a customer, round robin between customers, bounded for each service.
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
	// Deadline is when the request is dropped from the queue.
	Deadline time.Time
}

// Queue holds the waiting requests of one service. It is not safe for
// concurrent use.
type Queue[ID comparable] struct {
	limit int
	size  int
	// turns holds the customers with waiting requests; the first is served
	// next. No customer is in it twice, and none has an empty line.
	turns []model.CustomerName
	lines map[model.CustomerName][]Item[ID]
}

// NewQueue returns a queue for up to limit requests.
func NewQueue[ID comparable](limit int) *Queue[ID] {
	return &Queue[ID]{limit: limit, lines: make(map[model.CustomerName][]Item[ID])}
}

// SetLimit changes the limit. Requests above a lower limit stay.
func (q *Queue[ID]) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiting requests.
func (q *Queue[ID]) Len() int { return q.size }

// Push adds a request and returns how many requests will have been served
// when it is, if none arrives or leaves in between. It reports false if the
// queue is full. A customer that has no request waiting gets the last turn.
func (q *Queue[ID]) Push(item Item[ID]) (int, bool) {
	if q.size >= q.limit {
		return 0, false
	}
	if len(q.lines[item.Customer]) == 0 {
		q.turns = append(q.turns, item.Customer)
	}
	q.lines[item.Customer] = append(q.lines[item.Customer], item)
	q.size++
	return q.position(item.Customer, len(q.lines[item.Customer])), true
}

// Requeue adds a request that has been served and has to be served again. It
// takes the first place of its customer, as it is older than the others, and
// the limit does not apply: a request that was admitted is not refused because
// later ones have filled the queue.
// It returns the position, as Push does.
func (q *Queue[ID]) Requeue(item Item[ID]) int {
	if len(q.lines[item.Customer]) == 0 {
		q.turns = append(q.turns, item.Customer)
	}
	q.lines[item.Customer] = slices.Insert(q.lines[item.Customer], 0, item)
	q.size++
	return q.position(item.Customer, 1)
}

// position returns the position of a request that is served in the given round
// of its customer. Each other customer is served once in each round, as far as
// its line goes; customers behind it have no turn in the last one.
func (q *Queue[ID]) position(customer model.CustomerName, rounds int) int {
	position, before := rounds, true
	for _, other := range q.turns {
		if other == customer {
			before = false
			continue
		}
		turns := rounds
		if !before {
			turns--
		}
		position += min(turns, len(q.lines[other]))
	}
	return position
}

// Pop removes and returns the next request for which canServe holds. Requests
// for which it does not hold keep their place; so does the turn of a customer
// of which none can be served. A later request of a customer never overtakes
// an earlier one unless the earlier one cannot be served.
func (q *Queue[ID]) Pop(canServe func(ID) bool) (Item[ID], bool) {
	for turn, customer := range q.turns {
		for place, item := range q.lines[customer] {
			if canServe(item.ID) {
				q.removeAt(turn, place)
				return item, true
			}
		}
	}
	return Item[ID]{}, false
}

// removeAt removes a request; its customer gets the last turn.
func (q *Queue[ID]) removeAt(turn, place int) {
	customer := q.turns[turn]
	q.turns = slices.Delete(q.turns, turn, turn+1)
	q.lines[customer] = slices.Delete(q.lines[customer], place, place+1)
	q.size--
	if len(q.lines[customer]) > 0 {
		q.turns = append(q.turns, customer)
		return
	}
	delete(q.lines, customer)
}

// Remove removes a request without using a turn, and reports whether it was
// queued.
func (q *Queue[ID]) Remove(id ID) bool {
	return len(q.drop(func(item Item[ID]) bool { return item.ID == id })) > 0
}

// Expire removes and returns the requests whose deadline has come, in the
// order of turns.
func (q *Queue[ID]) Expire(now time.Time) []Item[ID] {
	return q.drop(func(item Item[ID]) bool { return !now.Before(item.Deadline) })
}

func (q *Queue[ID]) drop(matches func(Item[ID]) bool) []Item[ID] {
	var dropped []Item[ID]
	for _, customer := range q.turns {
		q.lines[customer] = slices.DeleteFunc(q.lines[customer], func(item Item[ID]) bool {
			if !matches(item) {
				return false
			}
			dropped = append(dropped, item)
			return true
		})
	}
	q.turns = slices.DeleteFunc(q.turns, func(customer model.CustomerName) bool {
		if len(q.lines[customer]) > 0 {
			return false
		}
		delete(q.lines, customer)
		return true
	})
	q.size -= len(dropped)
	return dropped
}

// NextDeadline returns the earliest deadline, or the zero time.
func (q *Queue[ID]) NextDeadline() time.Time {
	var next time.Time
	for _, line := range q.lines {
		for _, item := range line {
			if next.IsZero() || item.Deadline.Before(next) {
				next = item.Deadline
			}
		}
	}
	return next
}
