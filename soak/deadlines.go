package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"filberthold/platform/fake"
)

// deadlineMargin is how much more time than its caller gives a request may be handed to an
// endpoint, and how much later the deadline of a late repeat may be.
const deadlineMargin = 500 * time.Millisecond

// minFailureLatency and maxFailureLatency bound the time after which an endpoint fails slowly.
// A repeat is then late, and its caller has time left.
const (
	minFailureLatency = deadlineMargin + 50*time.Millisecond
	maxFailureLatency = 900 * time.Millisecond
)

// failSlowly lets an endpoint fail all requests after a while, for a time.
func (b *testbed) failSlowly(random *rand.Rand, targetIndex int, duration time.Duration) {
	index := targetIndex % len(b.endpoints)
	kinds := []fake.Behaviour{fake.Fail, fake.Reset, fake.Shed}
	next := misbehaviour{behaviours: []fake.Behaviour{kinds[random.IntN(len(kinds))]}}
	b.setEndpoint(index, func(endpoint *fake.Endpoint) {
		next.apply(endpoint)
		endpoint.SetLatency(randomBetween(random, minFailureLatency, maxFailureLatency))
	})
	b.sleep(duration)
	b.setEndpoint(index, func(endpoint *fake.Endpoint) {
		misbehaviour{behaviours: []fake.Behaviour{fake.Serve}}.apply(endpoint)
		endpoint.SetLatency(endpointLatency)
	})
}

// checkDeadlines checks that no endpoint was given more time for a request than was left,
// unless its host was interrupted or a link was at fault.
func (c *callers) checkDeadlines() {
	arrivals := c.arrivals()
	for _, request := range c.ended {
		for _, arrived := range arrivals[request.attempt] {
			violation := request.deadlineViolation(arrivals[request.attempt][0], arrived)
			if violation == "" || request.host.wasInterrupted(request.sentAt.Add(-maxLateness), arrived.ArrivedAt) ||
				arrived.proxy.hadFault(request.sentAt, arrived.ArrivedAt) {
				continue
			}
			c.testbed.recordViolation("%s: %s at %s, host %s, sent %s", request.attempt, violation, arrived.ID,
				request.host.settings.Name, request.sentAt.Format(logTime))
		}
	}
}

// deadlineViolation returns what is wrong with the time that an arrival of the request
// gave its endpoint, or nothing. first is the first arrival.
func (r endedRequest) deadlineViolation(first, arrived arrival) string {
	end, firstEnd := arrived.ArrivedAt.Add(arrived.Timeout), first.ArrivedAt.Add(first.Timeout)
	isLate := arrived.ArrivedAt.After(first.ArrivedAt.Add(deadlineMargin))
	switch {
	case arrived.Timeout <= 0:
		return "arrived without a deadline"
	case arrived.Timeout > r.timeout+deadlineMargin:
		return fmt.Sprintf("arrived with a deadline of %s", arrived.Timeout)
	case isLate && end.After(firstEnd.Add(deadlineMargin)) && end.After(r.sentAt.Add(r.timeout+deadlineMargin)):
		return fmt.Sprintf("arrived again after %s with a deadline that is %s later", arrived.ArrivedAt.Sub(first.ArrivedAt), end.Sub(firstEnd))
	}
	return ""
}
