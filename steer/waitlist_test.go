package steer

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// newFullSelector returns a selector with one full endpoint, and the endpoint's
// name.
func newFullSelector(t *testing.T) (*Selector, model.EndpointName) {
	t.Helper()
	single := newFixture(0)
	single.add("only", "za", 0)
	selector := single.selector("h")
	for i := range 3 + maxEndpointQueue {
		requireSend(t, selector.Choose(query(fmt.Sprintf("o-%d", i)), start()))
	}
	return selector, "only"
}

func queryWithPriority(object string, priority int) Query {
	created := query(object)
	created.Route.Priority = priority
	return created
}

// Guards against queries that are admitted out of order: higher priority first,
// then by arrival.
func TestWaitlistAdmitsByPriorityThenArrival(t *testing.T) {
	selector, only := newFullSelector(t)
	list := NewWaitlist(selector, 10)
	until := start().Add(time.Second)
	first, _ := list.Push(queryWithPriority("a", 2), until)
	second, _ := list.Push(queryWithPriority("b", 2), until)
	urgent, _ := list.Push(queryWithPriority("c", 1), until)
	assert.Equal(t, len(list.Admit(start())), 0)
	var order []Ticket
	for range 3 {
		selector.Done(Outcome{Endpoint: only, Result: Answered, Elapsed: time.Millisecond}, start())
		for _, admitted := range list.Admit(start()) {
			order = append(order, admitted.Ticket)
		}
	}
	assert.DeepEqual(t, order, []Ticket{urgent, first, second})
	assert.Equal(t, list.Len(), 0)
}

// Guards against a waitlist that grows beyond its limit.
func TestWaitlistIsBounded(t *testing.T) {
	selector, _ := newFullSelector(t)
	list := NewWaitlist(selector, 1)
	_, isAdded := list.Push(query("a"), start().Add(time.Second))
	assert.Assert(t, isAdded)
	_, isAdded = list.Push(query("b"), start().Add(time.Second))
	assert.Assert(t, !isAdded)
}

// Guards against a slot that is given to an expired query, for which no caller
// waits.
func TestWaitlistAdmitsNoExpiredQuery(t *testing.T) {
	selector, only := newFullSelector(t)
	list := NewWaitlist(selector, 10)
	ticket, _ := list.Push(query("a"), start().Add(time.Second))
	selector.Done(Outcome{Endpoint: only, Result: Answered, Elapsed: time.Millisecond}, start())
	assert.Equal(t, len(list.Admit(start().Add(time.Second))), 0)
	assert.Assert(t, list.Remove(ticket))
	assert.Assert(t, !list.Remove(ticket))
}

// Guards against a short burst that is mostly rejected: twelve requests of 200
// ms each arrive at once for three slots. Without the waitlist only as many as
// fit are served, and the retries of the others miss their latency objective.
func TestWaitlistServesShortBurst(t *testing.T) {
	single := newFixture(0)
	single.add("only", "za", 0)
	selector := single.selector("h")
	list := NewWaitlist(selector, 64)
	served, until := 0, start().Add(500*time.Millisecond)
	for i := range 12 {
		request := query(fmt.Sprintf("o-%d", i))
		if _, isSent := selector.Choose(request, start()).(Send); isSent {
			served++
			continue
		}
		list.Push(request, until)
	}
	assert.Equal(t, served, 3+maxEndpointQueue)
	for now := start().Add(200 * time.Millisecond); now.Before(until); now = now.Add(200 * time.Millisecond) {
		for range 3 {
			selector.Done(Outcome{Endpoint: "only", Result: Answered, Elapsed: 200 * time.Millisecond}, now)
		}
		served += len(list.Admit(now))
	}
	assert.Equal(t, served, 11)
}
