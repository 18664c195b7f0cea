package soak

import (
	"errors"
	"math/rand/v2"
	"time"

	"filberthold/platform/fake"
)

const (
	// leftNoticeTime is the time within which a host must end a request whose caller has left.
	leftNoticeTime = 500 * time.Millisecond
	// maxArrivalsAfterLeft is the number of requests of a soak that may arrive at endpoints
	// later than that.
	maxArrivalsAfterLeft = 3
	// maxWorkAfterLeft is the share of idempotent requests on which endpoints may still be at
	// work then.
	maxWorkAfterLeft = 0.25
	// minSlowLatency and maxSlowLatency bound the time that a slow endpoint takes. It outlasts
	// the callers that leave after maxImpatience by more than leftNoticeTime.
	minSlowLatency = maxImpatience + leftNoticeTime + 50*time.Millisecond
	maxSlowLatency = minSlowLatency + 300*time.Millisecond
	// minSlowTime and maxSlowTime bound how long an endpoint is slow: as long as some requests.
	minSlowTime, maxSlowTime = 2 * time.Second, 4 * time.Second
)

// workSlowly lets an endpoint take so long for each request that impatient callers leave. It
// serves the requests, or refuses them as not run.
func (b *testbed) workSlowly(random *rand.Rand, targetIndex int, _ time.Duration) {
	index := targetIndex % len(b.endpoints)
	behaviour := []fake.Behaviour{fake.Serve, fake.Serve, fake.Shed}[random.IntN(3)]
	b.setEndpoint(index, func(endpoint *fake.Endpoint) {
		endpoint.SetBehaviour(behaviour)
		endpoint.SetLatency(randomBetween(random, minSlowLatency, maxSlowLatency))
	})
	b.sleep(randomBetween(random, minSlowTime, maxSlowTime))
	b.setEndpoint(index, func(endpoint *fake.Endpoint) {
		endpoint.SetBehaviour(fake.Serve)
		endpoint.SetLatency(endpointLatency)
	})
}

// isGivenUp reports whether the caller closed the connection without a response.
func (r callResult) isGivenUp() bool { return errors.Is(r.err, errLeft) || isTimeout(r.err) }

// abandonedCounts counts requests whose callers have left.
type abandonedCounts struct {
	// late is the number of arrivals after leftNoticeTime.
	late int
	// lasting is the number of idempotent requests that would have lasted beyond
	// leftNoticeTime, and working that of those on which an endpoint was still at work.
	lasting, working int
}

// checkAbandoned checks that requests ended with their callers.
func (c *callers) checkAbandoned() {
	var counts abandonedCounts
	arrivals := c.arrivals()
	for _, request := range c.ended {
		for _, arrived := range arrivals[request.attempt] {
			if request.hasLeft && !c.testbed.isLeavingExcused(request, arrived) {
				counts.add(request, arrived.Exchange)
			}
		}
	}
	c.testbed.mu.Lock()
	c.testbed.report.Checked["requests of callers that left"] = counts.lasting
	c.testbed.mu.Unlock()
	if counts.late > maxArrivalsAfterLeft {
		c.testbed.recordViolation("%d requests arrived more than %s after their callers had left (%d allowed)", counts.late, leftNoticeTime, maxArrivalsAfterLeft)
	}
	if float64(counts.working) > maxWorkAfterLeft*float64(counts.lasting) {
		c.testbed.recordViolation("endpoints were at work on %d of %d requests more than %s after their callers had left", counts.working, counts.lasting, leftNoticeTime)
	}
}

// add counts an arrival of a request whose caller has left.
func (l *abandonedCounts) add(request endedRequest, exchange fake.Exchange) {
	bound := request.endedAt.Add(leftNoticeTime)
	switch {
	case exchange.ArrivedAt.After(bound):
		l.late++
	case request.isSubmit || exchange.AnsweredAt.IsZero() || !exchange.ArrivedAt.Add(exchange.Latency).After(bound):
	case exchange.AnsweredAt.After(bound):
		l.lasting++
		l.working++
	default:
		l.lasting++
	}
}

// isLeavingExcused reports whether a host may not have known that a caller left, or a link or
// an endpoint was late.
func (b *testbed) isLeavingExcused(request endedRequest, arrived arrival) bool {
	until := request.endedAt.Add(leftNoticeTime)
	if arrived.ArrivedAt.After(until) {
		until = arrived.ArrivedAt
	}
	return request.host.wasStopped(request.sentAt, until) || arrived.proxy.hadFault(request.sentAt, until)
}
