package soak

import "time"

// noticeTime is the time within which a host must act on the refusal of an endpoint
// that asked to be spared.
const noticeTime = 500 * time.Millisecond

// isSpareTime reports whether a time is one at which the host must have spared the
// endpoint after this request.
func (r sentRequest) isSpareTime(at time.Time) bool {
	retryAfter, err := time.ParseDuration(r.exchange.RetryAfter + "s")
	return err == nil && at.After(r.exchange.AnsweredAt.Add(noticeTime)) && at.Before(r.exchange.AnsweredAt.Add(retryAfter))
}
