package queue

import (
	"math"
	"time"

	"filberthold/steer"
)

const (
	// rateDecay is the time constant of the measured rate. A burst lasts 3 to 7 s, so the
	// rate follows it within its first part.
	rateDecay = 2 * time.Second
	// assumedTime is the waiting time for which the rate that follows from the requests in
	// flight counts beside what was measured: at the start of a burst nothing is measured yet.
	assumedTime = 500 * time.Millisecond
)

// slotRate estimates the rate at which a service's waiting requests at a host get slots. It is
// the answer to bursts: how many may wait follows from it and is not a constant.
type slotRate struct {
	// admitted and waited are the requests that got a slot after waiting and the seconds in
	// which requests waited, both decayed to measuredAt.
	admitted float64
	waited   float64
	// full counts the requests that found every endpoint full, decayed in the same way.
	full       float64
	measuredAt time.Time
}

// advance decays what was measured to now. hasWaiting states whether requests have been waiting
// since the last call.
func (r *slotRate) advance(hasWaiting bool, now time.Time) {
	elapsed := now.Sub(r.measuredAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(rateDecay))
	r.admitted *= factor
	r.waited *= factor
	r.full *= factor
	if hasWaiting && !r.measuredAt.IsZero() {
		r.waited += (1 - factor) * rateDecay.Seconds()
	}
	r.measuredAt = now
}

func (r *slotRate) recordFull() { r.full++ }

func (r *slotRate) recordAdmitted() { r.admitted++ }

// perSecond returns the rate. The slots that the host's own requests hold become free for its
// waiting requests.
func (r *slotRate) perSecond(held steer.HeldSlots) float64 {
	return (r.admitted + held.PerSecond()*assumedTime.Seconds()) / (r.waited + assumedTime.Seconds())
}

// returnsPerSecond returns the rate at which rejected callers should return. Of the slots, they
// get the part that waiting requests get of all that find every endpoint full: the others go to
// callers that come for the first time.
func (r *slotRate) returnsPerSecond(perSecond float64) float64 {
	offered := r.full / rateDecay.Seconds()
	return perSecond * min(1, perSecond/max(offered, perSecond))
}
