package place

import "time"

const (
	// retryReserve is the initial retry budget of a service, in retries, which the
	// hosts of the configuration share; each of them has at least one. Without it a
	// service with few requests could not retry.
	retryReserve = 10
	// retrySlack and hedgeSlack are the numbers of retries and hedges of a service that
	// all hosts of the configuration together may accumulate while few requests fail or
	// are slow. Without this bound those that they send at once would grow with the fleet.
	// Both are repeats, of which the users' platform allows 60 beyond a share of the
	// requests. A hedge only saves time, so its part is the smaller one: one for each of
	// 12 hosts.
	retrySlack = 48
	hedgeSlack = 12
	// creditTime is how long a host may keep the credit of retries or hedges if there are
	// more hosts than the slack.
	creditTime = 10 * time.Second
)

// retryShare returns the share of retryReserve that this host has.
func (c *Core) retryShare() int {
	return max(1, retryReserve/max(1, len(c.deployment.Hosts())))
}

// burst returns the part of a slack that this host may accumulate. It is 0 if there are
// more hosts than the slack.
func (c *Core) burst(slack int) int { return slack / max(1, len(c.deployment.Hosts())) }

// limitCredit bounds the credit of retries and hedges to the bursts of this host.
func (c *Core) limitCredit(now time.Time) {
	c.creditEndsAt = now.Add(creditTime)
	for _, name := range c.serviceNames {
		c.services[name].retries.LimitBurst(c.burst(retrySlack))
		c.services[name].hedges.LimitBurst(c.burst(hedgeSlack))
	}
}

// expireCredit takes the credit of retries and hedges that this host may no longer keep.
// With a burst there is none.
func (c *Core) expireCredit(now time.Time) {
	if c.deployment == nil || now.Before(c.creditEndsAt) {
		return
	}
	c.limitCredit(now)
}
