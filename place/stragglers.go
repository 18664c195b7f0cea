package place

import (
	"slices"
	"time"

	"filberthold/model"
)

// stragglerRecheckInterval is the time after which a request that waits for a
// faster endpoint is checked again. An endpoint becomes a straggler when responses
// are missing, and no event reports that.
const stragglerRecheckInterval = 5 * time.Millisecond

// avoidStragglers returns the free endpoints that are not stragglers. If all are
// stragglers, it returns none, so the request waits: a slot of a faster endpoint
// becomes free sooner than a straggler responds. If more requests are queued than
// the faster endpoints have slots, it returns the stragglers.
func (c *Core) avoidStragglers(open *openRequest, free []model.Endpoint, now time.Time) []model.Endpoint {
	if open.class == model.Export || len(free) == 0 {
		return free
	}
	fast := slices.DeleteFunc(slices.Clone(free), func(endpoint model.Endpoint) bool {
		return c.tracker.IsStraggling(endpoint.Name(), now)
	})
	if len(fast) > 0 {
		return fast
	}
	if c.services[open.request.Service].queue.Len() > c.fastSlots(open, now) {
		return free
	}
	c.recheckAt = now.Add(stragglerRecheckInterval)
	return nil
}

// fastSlots counts the usable slots of endpoints that are neither leaving, spared,
// failing nor stragglers.
func (c *Core) fastSlots(open *openRequest, now time.Time) int {
	slots := 0
	for _, endpoint := range c.inRegion(open) {
		name := endpoint.Name()
		if c.accepts(name, now) && !c.tracker.IsFailing(name, now) && !c.tracker.IsStraggling(name, now) {
			slots += c.ledger.Usable(name)
		}
	}
	return slots
}
