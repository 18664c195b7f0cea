package place

import (
	"time"

	"filberthold/model"
)

// maxSpareTime bounds the time for which an endpoint is spared. An endpoint that needs
// longer is replaced; a longer time is an error that must not take it out of use until
// it starts again.
const maxSpareTime = 5 * time.Minute

// spareTimes holds the ends of the times for which endpoints asked to get no requests
// from this host.
type spareTimes map[model.EndpointName]time.Time

// add records that an endpoint asked to be spared for a time, or nothing if that is 0. A
// shorter time does not end an earlier one.
func (s spareTimes) add(endpoint model.EndpointName, spareFor time.Duration, now time.Time) {
	until := now.Add(min(spareFor, maxSpareTime))
	if spareFor > 0 && until.After(s[endpoint]) {
		s[endpoint] = until
	}
}

// has reports whether an endpoint is spared.
func (s spareTimes) has(endpoint model.EndpointName, now time.Time) bool {
	return now.Before(s[endpoint])
}

// expire removes the times that have ended.
func (s spareTimes) expire(now time.Time) {
	for endpoint, until := range s {
		if !now.Before(until) {
			delete(s, endpoint)
		}
	}
}

// accepts reports whether an endpoint is neither leaving nor spared.
func (c *Core) accepts(endpoint model.EndpointName, now time.Time) bool {
	return !c.leaving.has(endpoint) && !c.spare.has(endpoint, now)
}

// firstFree returns the end of the first spare time among the endpoints of a service that
// this host may use. It returns false unless all of them are spared.
func (c *Core) firstFree(service model.ServiceName, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		name := endpoint.Name()
		if c.leaving.has(name) || c.ledger.Usable(name) == 0 {
			continue
		}
		if !c.spare.has(name, now) {
			return time.Time{}, false
		}
		if until := c.spare[name]; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}

// refuseSpared refuses the queued requests of a service whose deadlines pass before an
// endpoint is free that did not ask to be spared.
func (c *Core) refuseSpared(service model.ServiceName, now time.Time) []Decision {
	first, isSpared := c.firstFree(service, now)
	if !isSpared {
		return nil
	}
	var decisions []Decision
	for _, item := range c.services[service].queue.Expire(first) {
		decisions = append(decisions, c.refuse(c.requests[item.ID], "every endpoint asked to be spared")...)
	}
	return decisions
}
