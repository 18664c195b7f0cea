package proxy

import (
	"slices"
	"time"

	"filberthold/model"
	"filberthold/steer"
)

// slowRetryTime is the time after which a retry that is answered may have been held.
const slowRetryTime = time.Second

// unansweredRetry is a retry that has ended without an answer, or a first attempt on a broken
// connection whose retry has arrived. It may still arrive, at the same time as others, so it
// takes the place of the credit of one.
type unansweredRetry struct {
	endpoint model.EndpointName
	// incarnation is that of the endpoint.
	incarnation int64
	sentAt      time.Time
	// until is the time from which it can no longer arrive, or no longer counts.
	until time.Time
	// hasArrived is true if it counts although it has arrived, together with retries of
	// later requests.
	hasArrived bool
}

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	endpoint    model.EndpointName
	incarnation int64
	result      steer.Result
	isRetry     bool
	// isEndpointGone is true if the endpoint is known to have ended: another one answered at
	// its address, or nobody accepts connections there.
	isEndpointGone bool
	// isSent is true unless it is known that no part of the request was sent.
	isSent bool
	sentAt time.Time
	// brokenFirst is the first attempt of the request if its connection broke and it is not
	// counted as outstanding, or nil.
	brokenFirst *attemptEnd
}

// isAnswered reports whether the endpoint answered, and so has read what was sent before.
func (a attemptEnd) isAnswered() bool {
	return a.result == steer.Answered || a.result == steer.Failed || a.result == steer.Overloaded
}

// settles reports whether the attempt shows that an earlier retry has arrived or never will.
func (a attemptEnd) settles(retry unansweredRetry) bool {
	return !retry.hasArrived && (a.isAnswered() || a.isEndpointGone) && retry.endpoint == a.endpoint && retry.sentAt.Before(a.sentAt)
}

// mayArrive reports whether the attempt may arrive after its end.
func (a attemptEnd) mayArrive() bool {
	// A connection that breaks takes nothing back that the endpoint's system has read.
	isUnanswered := a.result == steer.TimedOut || a.result == steer.Abandoned || a.result == steer.Unreachable
	return a.isSent && isUnanswered
}

// outstanding returns the attempt that may still arrive beyond the request after the end of
// a retry, or nil. If the retry has arrived, that is the first attempt on a broken connection.
func (a attemptEnd) outstanding() *attemptEnd {
	switch {
	case !a.isRetry || !a.isSent:
		return nil
	case a.mayArrive():
		return &a
	}
	return a.brokenFirst
}

// earnRetry counts a request in the retry budget of its service.
func (c *Core) earnRetry(service model.ServiceName) {
	if budget := c.budgets[service]; budget != nil {
		budget.Earn()
		c.retryUse(service).earned++
		c.requestRate(service).add(time.Now())
	}
}

// hasTooManyOutstanding reports whether so many retries to a service may still arrive that
// no other one may be sent. If endpoints hold them, they arrive at once, however long the
// time was in which they were earned.
func (c *Core) hasTooManyOutstanding(service model.ServiceName, now time.Time) bool {
	allowed := c.retryBurst(now) + c.earnedRetries(service, now) - c.peerRetries.uncovered(service, now)
	return c.outstandingRetries(service) >= max(1, allowed)
}

// earnedRetries returns the number of outstanding retries that the recent requests to a
// service allow.
func (c *Core) earnedRetries(service model.ServiceName, now time.Time) int {
	return c.retryLimit.percent() * c.requestRate(service).recent(now) / 100
}

// sendRetry spends the credit of a retry to a service, which may arrive from now on.
func (c *Core) sendRetry(service model.ServiceName) {
	c.budgets[service].Spend()
	c.setRetriesInFlight(service, c.retriesInFlight[service]+1)
}

// refundRetry gives the credit of a retry back that is not sent.
func (c *Core) refundRetry(service model.ServiceName) {
	c.setRetriesInFlight(service, c.retriesInFlight[service]-1)
	c.budgets[service].Refund()
}

// setRetriesInFlight sets the number of retries to a service whose attempts have not ended,
// and limits the burst of the service to the rest.
func (c *Core) setRetriesInFlight(service model.ServiceName, count int) {
	now := time.Now()
	before := c.freeBurst(service, now)
	c.retriesInFlight[service] = count
	c.limitChangedBurst(service, before, now)
}

// recordRetries records which retries to a service may still arrive after the end of an
// attempt, and limits the burst of the service to the rest.
func (c *Core) recordRetries(service model.ServiceName, attempt attemptEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered[service]) == 0 && !attempt.isRetry {
		return
	}
	now := time.Now()
	before := c.freeBurst(service, now)
	if attempt.isRetry {
		c.retriesInFlight[service]--
	}
	unanswered := c.withoutSettled(c.unanswered[service], attempt, now)
	if outstanding := attempt.outstanding(); outstanding != nil {
		unanswered = append(unanswered, unansweredRetry{
			endpoint: outstanding.endpoint, incarnation: outstanding.incarnation, sentAt: outstanding.sentAt, until: now.Add(steer.MaxHoldTime),
		})
	}
	c.unanswered[service] = unanswered
	c.limitChangedBurst(service, before, now)
	if attempt.isRetry && !attempt.isSent {
		c.budgets[service].Refund()
		c.retryUse(service).refunded++
	}
}

// withoutSettled returns the retries that may still arrive after the end of an attempt, and
// those that count although they have arrived.
func (c *Core) withoutSettled(retries []unansweredRetry, attempt attemptEnd, now time.Time) []unansweredRetry {
	countsArrived := attempt.isAnswered() && c.isCrowded()
	for i := range retries {
		if countsArrived && attempt.settles(retries[i]) {
			retries[i].hasArrived, retries[i].until = true, now.Add(creditTime)
		}
	}
	retries = slices.DeleteFunc(retries, func(retry unansweredRetry) bool {
		return attempt.settles(retry) || !now.Before(retry.until)
	})
	if countsArrived && attempt.isRetry && now.Sub(attempt.sentAt) > slowRetryTime {
		retries = append(retries, unansweredRetry{endpoint: attempt.endpoint, sentAt: attempt.sentAt, until: now.Add(creditTime), hasArrived: true})
	}
	return retries
}

// isCrowded reports whether hosts outnumber the slack of the retry limit. A host may then have
// a retry that arrives now, the credit of one that it earned while that was held, and earn
// another, all in one window of the limit, where there is room for two only. The first one
// therefore counts for the time of a window after its arrival.
func (c *Core) isCrowded() bool { return c.retryLimit.burst(c.retryHosts.count) == 0 }

// dropEndedRetries drops the retries to earlier incarnations of an endpoint, which cannot
// arrive any more. The removal of an entry does not show that: the store removes that of an
// endpoint that is stopped, too.
func (c *Core) dropEndedRetries(endpoint model.EndpointName, incarnation int64, now time.Time) {
	c.dropRetries(now, func(retry unansweredRetry) bool { return retry.endpoint == endpoint && retry.incarnation < incarnation })
}

// dropExpiredRetries drops the retries whose time to arrive has passed.
func (c *Core) dropExpiredRetries(now time.Time) {
	c.peerRetries.expire(now)
	c.dropRetries(now, func(retry unansweredRetry) bool { return !now.Before(retry.until) })
}

// dropRetries drops retries that cannot arrive any more, and limits the bursts to the rest.
func (c *Core) dropRetries(now time.Time, isOver func(retry unansweredRetry) bool) {
	for service, unanswered := range c.unanswered {
		before := c.freeBurst(service, now)
		c.unanswered[service] = slices.DeleteFunc(unanswered, isOver)
		c.limitChangedBurst(service, before, now)
	}
}

// limitChangedBurst limits the burst of a service if its free part is not what it was
// before. Without a burst, limiting it again would drop the credit of requests since.
func (c *Core) limitChangedBurst(service model.ServiceName, before int, now time.Time) {
	if c.freeBurst(service, now) != before {
		c.limitBurst(service, now)
	}
}

// limitBurst bounds the credit for retries to a service by what this host may accumulate,
// without the retries that may still arrive.
func (c *Core) limitBurst(service model.ServiceName, now time.Time) {
	if budget := c.budgets[service]; budget != nil {
		budget.LimitBurst(c.freeBurst(service, now))
	}
}

// freeBurst returns what this host may accumulate for a service besides the retries that
// may still arrive.
func (c *Core) freeBurst(service model.ServiceName, now time.Time) int {
	return max(0, c.retryBurst(now)-c.outstandingRetries(service))
}

// outstandingRetries returns the number of retries to a service that may still arrive.
func (c *Core) outstandingRetries(service model.ServiceName) int {
	return c.retriesInFlight[service] + len(c.unanswered[service])
}
