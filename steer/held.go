package steer

import (
	"time"

	"filberthold/model"
)

const (
	// holdWeight is the weight of the latest request in the mean time for which requests
	// hold their slots. The mean follows about ten requests: caches that are lost lengthen it
	// within a second.
	holdWeight = 0.1
	// assumedHoldTime is that time until a request has ended.
	assumedHoldTime = defaultMedian
)

// HeldSlots describes a host's requests at the endpoints of a service.
type HeldSlots struct {
	// Count is the number of requests in flight, and MeanTime how long they hold their
	// slots, by those that ended lately.
	Count    int
	MeanTime time.Duration
}

// PerSecond is the rate at which the slots become free.
func (h HeldSlots) PerSecond() float64 { return float64(h.Count) / h.MeanTime.Seconds() }

// HeldSlots returns the slots that this host's requests hold at a service. At least one
// slot counts, because the host also hears of slots that others free.
func (s *Selector) HeldSlots(service model.ServiceName) HeldSlots {
	held := HeldSlots{MeanTime: assumedHoldTime}
	if state := s.services[service]; state != nil {
		for _, candidate := range state.endpoints {
			held.Count += candidate.inFlight
		}
		if state.holdTime > 0 {
			held.MeanTime = state.holdTime
		}
	}
	held.Count = max(1, held.Count)
	return held
}

// heldSlot reports whether a request with a result held a slot of its endpoint until then.
// A refused connection says nothing about how soon slots become free.
func (r Result) heldSlot() bool {
	switch r {
	case Unreachable, Undelivered:
		return false
	case Answered, Failed, Overloaded, TimedOut, Abandoned:
	}
	return true
}

// recordHold records how long a request held its slot.
func (s *serviceState) recordHold(elapsed time.Duration) {
	elapsed = max(time.Millisecond, elapsed)
	if s.holdTime == 0 {
		s.holdTime = elapsed
		return
	}
	s.holdTime += time.Duration(float64(elapsed-s.holdTime) * holdWeight)
}
