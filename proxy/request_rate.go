package proxy

import (
	"time"

	"filberthold/model"
)

// ratePart is the length of the parts of time in which requestRate counts.
const ratePart = 5 * time.Second

// requestRate counts the recent requests to a service.
type requestRate struct {
	// endsAt is the end of the current part.
	endsAt time.Time
	// current and previous are the requests of the current part and the one before.
	current, previous int
}

// add counts a request.
func (r *requestRate) add(now time.Time) {
	r.advance(now)
	r.current++
}

// recent returns the most requests of the current and the previous part.
func (r *requestRate) recent(now time.Time) int {
	r.advance(now)
	return max(r.current, r.previous)
}

// advance begins a new part if the current one has ended.
func (r *requestRate) advance(now time.Time) {
	switch {
	case now.Before(r.endsAt):
		return
	case now.Before(r.endsAt.Add(ratePart)):
		r.previous = r.current
	default:
		r.previous = 0
	}
	r.current, r.endsAt = 0, now.Add(ratePart)
}

// requestRate returns the recent requests to a service.
func (c *Core) requestRate(service model.ServiceName) *requestRate {
	rate := c.requestRates[service]
	if rate == nil {
		rate = new(requestRate)
		c.requestRates[service] = rate
	}
	return rate
}
