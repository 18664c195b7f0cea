package soak

import "time"

const (
	// routeTimeout is the timeout of the routes in the configuration.
	routeTimeout = 2 * time.Second
	// longTimeout is the timeout that longTimeoutRatio of the requests have, which routeTimeout
	// cuts short.
	longTimeout      = 5 * time.Second
	longTimeoutRatio = 0.2
	// timeoutMargin is the time after routeTimeout within which a request must be answered.
	timeoutMargin = 500 * time.Millisecond
	// At most maxUnanswered of the requests that last longer than routeTimeout may have no
	// answer then, and at most maxManyUnanswered if there are minManyUnanswered or more.
	maxUnanswered, maxManyUnanswered = 0.5, 0.25
	minManyUnanswered                = 8
)

// deadline returns when a request must end: its timeout or that of its route has passed.
func (r endedRequest) deadline() time.Time { return r.sentAt.Add(min(r.timeout, routeTimeout)) }

// checkUnanswered checks that requests got an answer at the timeout of their route.
func (c *callers) checkUnanswered() {
	lasting, unanswered := 0, 0
	var last endedRequest
	for _, request := range c.ended {
		end := request.sentAt.Add(routeTimeout)
		if request.timeout <= routeTimeout || !request.endedAt.After(end) || !request.host.ranThroughout(request.sentAt, end.Add(timeoutMargin)) {
			continue
		}
		lasting++
		if request.endedAt.After(end.Add(timeoutMargin)) {
			unanswered++
			last = request
		}
	}
	c.testbed.mu.Lock()
	c.testbed.report.Checked["requests beyond the timeout of their route"] = lasting
	c.testbed.mu.Unlock()
	if areTooManyUnanswered(lasting, unanswered) {
		c.testbed.recordViolation("%d of %d requests had no answer %s after the timeout of their route, %s among them, host %s, sent %s, ended %s", unanswered, lasting,
			timeoutMargin, last.attempt, last.host.settings.Name, last.sentAt.Format(logTime), last.endedAt.Format(logTime))
	}
}

// areTooManyUnanswered judges how many of the requests that last longer than routeTimeout have
// no answer timeoutMargin later.
func areTooManyUnanswered(lasting, unanswered int) bool {
	share := float64(unanswered) / float64(max(1, lasting))
	return share > maxUnanswered || unanswered >= minManyUnanswered && share > maxManyUnanswered
}
