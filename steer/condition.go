package steer

import (
	"slices"
	"time"

	"filberthold/model"
)

const (
	// slowFrom and usualFrom are the slowness from which an endpoint is slow, and below
	// which it no longer is. A single long request does not reach slowFrom.
	slowFrom  = 2.5
	usualFrom = 1.5
	// toldSlowness is the slowness that is assumed of an endpoint which is slow at other
	// hosts.
	toldSlowness = 2
	// conditionHold is the least time between two changes of a condition that are told.
	// It bounds the messages for an endpoint whose load varies around its slots.
	conditionHold = time.Second
	// confirmInterval is the time after which a condition is told again by a host that
	// still observes it.
	confirmInterval = 2 * time.Second
	// conditionExpiry is how long a condition counts that no host confirms. The hosts may
	// all have stopped sending to the endpoint, and then none observes that it is free.
	conditionExpiry = 5 * time.Second
	// observationTime is how long an observation may be told.
	observationTime = 500 * time.Millisecond
)

// Condition is what hosts tell each other of an endpoint where there are too many of them
// for load reports. It is a set of flags and 0 if there is nothing to tell.
type Condition uint8

const (
	// IsFull is set if as many requests wait at the endpoint as a host allows, until none
	// does. With fewer, the load of a busy endpoint varies from one response to the next.
	IsFull Condition = 1 << iota
	// IsSlow is set if responses take much longer than those of the service's other
	// endpoints.
	IsSlow
	// AllConditions are all flags.
	AllConditions = IsFull | IsSlow
)

// EndpointCondition is the condition of an endpoint.
type EndpointCondition struct {
	Endpoint  EndpointID
	Condition Condition
	// IsConfirmation is true if the condition was told before and still holds.
	IsConfirmation bool
	// Name is that of the endpoint, for the log. It is empty if another host told the
	// condition.
	Name model.EndpointName
}

// conditionState holds the condition of an endpoint that this host observed, and the one
// that hosts told each other.
type conditionState struct {
	observed   Condition
	observedAt time.Time
	// told is the condition that was last told by this host or by another one. toldAt is
	// zero if there is none, as in small fleets.
	told   Condition
	toldAt time.Time
}

// current is the told condition while it counts, without what this host has observed to
// be over since then.
func (c conditionState) current(now time.Time) Condition {
	if c.toldAt.IsZero() || now.Sub(c.toldAt) >= conditionExpiry {
		return 0
	}
	if c.observedAt.After(c.toldAt) {
		return c.told & c.observed
	}
	return c.told
}

// isNews reports whether what this host observed must be told to the others.
func (c conditionState) isNews(now time.Time) bool {
	if !c.observedAt.After(c.toldAt) || now.Sub(c.observedAt) >= observationTime {
		return false
	}
	if c.isChange(now) {
		return now.Sub(c.toldAt) >= conditionHold
	}
	return c.observed != 0 && now.Sub(c.toldAt) >= confirmInterval
}

// isChange reports whether what this host observed differs from what was told.
func (c conditionState) isChange(now time.Time) bool {
	if now.Sub(c.toldAt) >= conditionExpiry {
		return c.observed != 0
	}
	return c.observed != c.told
}

// tell records a condition that hosts tell each other.
func (c *conditionState) tell(condition Condition, now time.Time) { c.told, c.toldAt = condition, now }

// last returns the latest of what was observed and what was told.
func (c conditionState) last() Condition {
	if c.toldAt.After(c.observedAt) {
		return c.told
	}
	return c.observed
}

// set records the value of one flag.
func (c *conditionState) set(flag Condition, isSet bool, now time.Time) {
	c.observed = c.last() &^ flag
	if isSet {
		c.observed |= flag
	}
	c.observedAt = now
}

// observeCondition records what the end of a request shows of the endpoint's condition.
func (e *endpoint) observeCondition(outcome Outcome, now time.Time) {
	switch outcome.Result {
	case Overloaded:
		e.condition.set(IsFull, true, now)
	case Answered:
		wasSlow := e.condition.last()&IsSlow != 0
		slowness := e.currentSlowness(now)
		e.condition.set(IsSlow, slowness >= slowFrom || wasSlow && slowness >= usualFrom, now)
	case Failed, Unreachable, TimedOut, Abandoned, Undelivered:
	}
	if !outcome.HasLoad || outcome.Result == Overloaded {
		return
	}
	wasFull := e.condition.last()&IsFull != 0
	isOverfull := outcome.Busy >= e.slots+maxEndpointQueue
	e.condition.set(IsFull, isOverfull || wasFull && outcome.Busy >= e.slots, now)
}

// toldOthers is the number of other hosts' requests at an endpoint of which hosts tell that
// it is full.
func (e *endpoint) toldOthers(now time.Time) float64 {
	if e.condition.current(now)&IsFull == 0 {
		return 0
	}
	return float64(e.slots)
}

// expectedSlowness is the slowness that this host observed, or what others tell of it.
func (e *endpoint) expectedSlowness(now time.Time) float64 {
	if e.condition.current(now)&IsSlow == 0 {
		return e.currentSlowness(now)
	}
	return max(toldSlowness, e.currentSlowness(now))
}

// TakeConditions returns conditions of endpoints that this host has observed and must tell
// the other hosts, at most a number: changes first, and then confirmations. They count as
// told then.
func (s *Selector) TakeConditions(limit int, now time.Time) []EndpointCondition {
	var news []*endpoint
	for _, target := range s.endpoints {
		if target.isUsable && target.condition.isNews(now) {
			news = append(news, target)
		}
	}
	slices.SortFunc(news, func(a, b *endpoint) int {
		if isChange := a.condition.isChange(now); isChange != b.condition.isChange(now) {
			if isChange {
				return -1
			}
			return 1
		}
		return a.condition.observedAt.Compare(b.condition.observedAt)
	})
	taken := make([]EndpointCondition, 0, min(limit, len(news)))
	for _, target := range news[:cap(taken)] {
		told := EndpointCondition{
			Endpoint: target.id(), Condition: target.condition.observed, IsConfirmation: !target.condition.isChange(now), Name: target.name,
		}
		target.condition.tell(told.Condition, now)
		taken = append(taken, told)
	}
	return taken
}

// ApplyConditions applies the conditions of endpoints that another host tells.
func (s *Selector) ApplyConditions(conditions []EndpointCondition, now time.Time) {
	for _, told := range conditions {
		if target := s.byID[told.Endpoint]; target != nil {
			target.condition.tell(told.Condition&AllConditions, now)
		}
	}
}
