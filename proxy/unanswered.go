package proxy

import (
	"slices"
	"time"

	"filberthold/model"
	"filberthold/steer"
)

// unansweredRetry is a retry that has ended without an answer. It may still arrive, at the
// same time as others, so it takes the place of the credit of one.
type unansweredRetry struct {
	endpoint model.EndpointName
	sentAt   time.Time
	// until is the time from which the retry can no longer arrive.
	until time.Time
}

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	endpoint model.EndpointName
	result   steer.Result
	isRetry  bool
	sentAt   time.Time
}

// isAnswered reports whether the endpoint answered, and so has read what was sent before.
func (a attemptEnd) isAnswered() bool {
	return a.result == steer.Answered || a.result == steer.Failed || a.result == steer.Overloaded
}

// isHeldRetry reports whether the attempt is a retry that may arrive after its end.
func (a attemptEnd) isHeldRetry() bool {
	return a.isRetry && (a.result == steer.TimedOut || a.result == steer.Abandoned)
}

// recordRetries records which retries to a service may still arrive after the end of an
// attempt, and limits the burst of the service to the rest.
func (c *Core) recordRetries(service model.ServiceName, attempt attemptEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	before := len(c.unanswered[service])
	if before == 0 && !attempt.isHeldRetry() {
		return
	}
	unanswered := slices.DeleteFunc(c.unanswered[service], func(retry unansweredRetry) bool {
		hasArrived := attempt.isAnswered() && retry.endpoint == attempt.endpoint && retry.sentAt.Before(attempt.sentAt)
		return hasArrived || !now.Before(retry.until)
	})
	if attempt.isHeldRetry() {
		unanswered = append(unanswered, unansweredRetry{endpoint: attempt.endpoint, sentAt: attempt.sentAt, until: now.Add(steer.MaxHoldTime)})
	}
	c.unanswered[service] = unanswered
	// Without a burst, limiting it again would drop the credit of requests since.
	if c.freeBurst(before, now) != c.freeBurst(len(unanswered), now) {
		c.limitBurst(service, now)
	}
}

// limitBurst bounds the credit for retries to a service by what this host may accumulate,
// without the retries that may still arrive.
func (c *Core) limitBurst(service model.ServiceName, now time.Time) {
	if budget := c.budgets[service]; budget != nil {
		budget.LimitBurst(c.freeBurst(len(c.unanswered[service]), now))
	}
}

// freeBurst returns what this host may accumulate while a number of retries may still
// arrive.
func (c *Core) freeBurst(unanswered int, now time.Time) int {
	return max(0, c.retryBurst(now)-unanswered)
}
