package place

import (
	"slices"
	"time"

	"filberthold/model"
)

// stragglerRecheckInterval is the time after which a request that waits for a
// faster endpoint is considered again, since an endpoint turns into a straggler
// by silence, which is no event.
const stragglerRecheckInterval = 5 * time.Millisecond

// avoidStragglers returns the endpoints that are not slow at the moment. If all
// free ones are, it returns none while the request is better off waiting: a
// slot of another endpoint frees up sooner than a straggler answers, unless
// more requests wait than there are such slots.
func (c *Core) avoidStragglers(waiting *pending, free []model.Endpoint, now time.Time) []model.Endpoint {
	if waiting.class == model.Export || len(free) == 0 {
		return free
	}
	fast := slices.DeleteFunc(slices.Clone(free), func(endpoint model.Endpoint) bool {
		return c.board.IsStraggling(endpoint.Name(), now)
	})
	if len(fast) > 0 {
		return fast
	}
	if c.services[waiting.request.Service].queue.Len() > c.fastSlots(waiting, now) {
		return free
	}
	c.recheckAt = now.Add(stragglerRecheckInterval)
	return nil
}

// fastSlots counts the slots of endpoints that are not slow at the moment.
func (c *Core) fastSlots(waiting *pending, now time.Time) int {
	slots := 0
	for _, endpoint := range c.inRegion(waiting) {
		name := endpoint.Name()
		if !c.leaving.has(name) && !c.board.IsFailing(name, now) && !c.board.IsStraggling(name, now) {
			slots += c.ledger.Usable(name)
		}
	}
	return slots
}
