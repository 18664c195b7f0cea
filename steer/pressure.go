package steer

import "time"

// overloadIdleFraction is idleFraction while the service is overloaded. Of endpoints with
// three slots, only those without requests are below it.
const overloadIdleFraction = 0.3

// Backlog is what a host expects of the requests that wait for a slot of a service.
type Backlog struct {
	// IsKnown is false if the rejection does not depend on it.
	IsKnown bool
	// Waiting is the number of waiting requests, and Ahead that of those before the
	// rejected one.
	Waiting, Ahead int
	// SlotsPerSecond is the rate at which waiting requests get slots.
	SlotsPerSecond float64
	// ExpectedWait is the time until those ahead have got their slots, and MaxWait the
	// time for which the request was allowed to wait.
	ExpectedWait, MaxWait time.Duration
}

// idleFraction is the load from which an endpoint gets no more requests for objects that
// prefer another available endpoint.
func (q Query) idleFraction() float64 {
	if q.IsOverloaded {
		return overloadIdleFraction
	}
	return idleFraction
}
