package steer

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// fullWorld returns a steerer with one endpoint that has no room left, and the
// endpoint's name.
func fullWorld(t *testing.T) (*Selector, model.EndpointName) {
	t.Helper()
	one := newWorld(0)
	one.add("only", "za", 0)
	steerer := one.steerer("h")
	for i := range 3 + queueRoom {
		sent(t, steerer.Choose(query(fmt.Sprintf("o-%d", i)), start()))
	}
	return steerer, "only"
}

func ranked(object string, priority int) Query {
	made := query(object)
	made.Route.Priority = priority
	return made
}

// Who came first must be served first, but for requests of a higher priority.
func TestWaitlistKeepsOrder(t *testing.T) {
	steerer, only := fullWorld(t)
	list := NewWaitlist(steerer, 10)
	until := start().Add(time.Second)
	first, _ := list.Push(ranked("a", 2), until)
	second, _ := list.Push(ranked("b", 2), until)
	urgent, _ := list.Push(ranked("c", 1), until)
	assert.Equal(t, len(list.Admit(start())), 0)
	var order []Ticket
	for range 3 {
		steerer.Done(Outcome{Endpoint: only, Result: Answered, Elapsed: time.Millisecond}, start())
		for _, admitted := range list.Admit(start()) {
			order = append(order, admitted.Ticket)
		}
	}
	assert.DeepEqual(t, order, []Ticket{urgent, first, second})
	assert.Equal(t, list.Len(), 0)
}

func TestWaitlistIsBounded(t *testing.T) {
	steerer, _ := fullWorld(t)
	list := NewWaitlist(steerer, 1)
	_, isIn := list.Push(query("a"), start().Add(time.Second))
	assert.Assert(t, isIn)
	_, isIn = list.Push(query("b"), start().Add(time.Second))
	assert.Assert(t, !isIn)
}

// A query whose time is over must not take a slot that nobody waits for.
func TestWaitlistServesNoExpiredQuery(t *testing.T) {
	steerer, only := fullWorld(t)
	list := NewWaitlist(steerer, 10)
	ticket, _ := list.Push(query("a"), start().Add(time.Second))
	steerer.Done(Outcome{Endpoint: only, Result: Answered, Elapsed: time.Millisecond}, start())
	assert.Equal(t, len(list.Admit(start().Add(time.Second))), 0)
	assert.Assert(t, list.Remove(ticket))
	assert.Assert(t, !list.Remove(ticket))
}

// Replays a short burst: twelve requests at once for three slots, each of 200
// ms. Without the list only as many as fit are served, and the others come back
// too late for their objective.
func TestShortBurstIsServedFromTheList(t *testing.T) {
	one := newWorld(0)
	one.add("only", "za", 0)
	steerer := one.steerer("h")
	list := NewWaitlist(steerer, 64)
	served, until := 0, start().Add(500*time.Millisecond)
	for i := range 12 {
		asked := query(fmt.Sprintf("o-%d", i))
		if _, isSent := steerer.Choose(asked, start()).(Send); isSent {
			served++
			continue
		}
		list.Push(asked, until)
	}
	assert.Equal(t, served, 3+queueRoom)
	for now := start().Add(200 * time.Millisecond); now.Before(until); now = now.Add(200 * time.Millisecond) {
		for range 3 {
			steerer.Done(Outcome{Endpoint: "only", Result: Answered, Elapsed: 200 * time.Millisecond}, now)
		}
		served += len(list.Admit(now))
	}
	assert.Equal(t, served, 11)
}
