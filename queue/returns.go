package queue

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected request. Callers
	// honour it for a third of their remaining time only, so a longer one is not followed.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// returnTimes gives callers that are rejected successive times to return. It is the answer to
// bursts: callers that are all told the same time compete again at the same moment.
type returnTimes struct {
	// nextAt is the time at which the next rejected caller may return.
	nextAt time.Time
}

// next returns the Retry-After of a caller. backlog is the time until the requests that wait
// now have got their slots, and perSecond the rate at which rejected callers should return.
func (r *returnTimes) next(backlog time.Duration, perSecond float64, now time.Time) time.Duration {
	at := now.Add(max(backlog, minRetryAfter))
	if r.nextAt.After(at) {
		at = r.nextAt
	}
	latest := now.Add(maxRetryAfter)
	if at.After(latest) {
		at = latest
	}
	// A very low rate lasts a moment, and must not delay callers who are rejected after it.
	r.nextAt = at.Add(time.Duration(float64(time.Second) / perSecond))
	if r.nextAt.After(latest) {
		r.nextAt = latest
	}
	return at.Sub(now)
}
