package admit_test

import (
	"maps"
	"testing"
	"time"

	"filberthold/admit"
	"filberthold/model"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a customer whose requests are served out of order, or twice
// while another customer waits, against a queue over its limit, and against a
// request that is lost, duplicated or still queued after its deadline.
func TestCustomersAreServedRoundRobinInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		queue := admit.NewQueue[int](limit)
		waiting := make(map[int]model.CustomerName)
		// servedSince counts, for each customer that waits, how often each other
		// customer was served since its own last turn.
		servedSince := make(map[model.CustomerName]map[model.CustomerName]int)
		next, now := 0, time.Unix(0, 0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if queue.Len() != len(waiting) || len(waiting) > limit {
					t.Fatalf("queue has %d requests, want %d of %d", queue.Len(), len(waiting), limit)
				}
			},
			"push": func(t *rapid.T) {
				customer := rapid.SampledFrom([]model.CustomerName{"a", "b", "c"}).Draw(t, "customer")
				deadline := now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "timeout")) * time.Second)
				_, ok := queue.Push(admit.Item[int]{ID: next, Customer: customer, Deadline: deadline})
				if ok != (len(waiting) < limit) {
					t.Fatalf("push accepted: %v with %d waiting", ok, len(waiting))
				}
				if ok {
					waiting[next] = customer
					next++
				}
			},
			"pop": func(t *rapid.T) {
				item, ok := queue.Pop(func(int) bool { return true })
				if ok != (len(waiting) > 0) {
					t.Fatalf("pop returned %v with %d waiting", ok, len(waiting))
				}
				if !ok {
					return
				}
				served := waiting[item.ID]
				delete(waiting, item.ID)
				delete(servedSince, served)
				for id, customer := range waiting {
					if customer == served && id < item.ID {
						t.Fatalf("request %d of %s overtook %d", item.ID, served, id)
					}
					if customer != served && servedSince[customer] == nil {
						servedSince[customer] = make(map[model.CustomerName]int)
					}
				}
				for customer, counts := range servedSince {
					if counts[served]++; counts[served] > 1 {
						t.Fatalf("%s was served twice while %s waited", served, customer)
					}
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "time")) * time.Second)
				for _, item := range queue.Expire(now) {
					delete(waiting, item.ID)
				}
				if next := queue.NextDeadline(); !next.IsZero() && !next.After(now) {
					t.Fatalf("request with deadline %v is queued at %v", next, now)
				}
				stillWaits := make(map[model.CustomerName]bool)
				for _, customer := range waiting {
					stillWaits[customer] = true
				}
				maps.DeleteFunc(servedSince, func(customer model.CustomerName, _ map[model.CustomerName]int) bool {
					return !stillWaits[customer]
				})
			},
		})
	})
}

// Guards against a position that differs from the order of service, and against
// a request that cannot be served and blocks all others.
func TestPositionIsOrderOfService(t *testing.T) {
	queue := admit.NewQueue[int](8)
	positions := make(map[int]int)
	for id, customer := range []model.CustomerName{"a", "a", "b", "a", "c", "b"} {
		positions[id], _ = queue.Push(admit.Item[int]{ID: id, Customer: customer})
	}
	assert.DeepEqual(t, positions, map[int]int{0: 1, 1: 2, 2: 2, 3: 4, 4: 3, 5: 5})
	var order []int
	isServable := func(id int) bool { return id != 0 }
	for range 6 {
		if item, ok := queue.Pop(isServable); ok {
			order = append(order, item.ID)
		}
	}
	assert.DeepEqual(t, order, []int{1, 2, 4, 3, 5})
	assert.Equal(t, queue.Len(), 1)
	assert.Assert(t, queue.Remove(0) && !queue.Remove(0))
}
