package place

import "time"

const (
	// retryReserve is the initial retry budget of a service, in retries, which the
	// hosts of the configuration share; each of them has at least one. Without it a
	// service with few requests could not retry.
	retryReserve = 10
	// retrySlack is the number of retries of a service that all hosts of the
	// configuration together may accumulate while few requests fail. Without this
	// bound the retries that they make at once would grow with the fleet.
	retrySlack = 60
	// retryCreditTime is how long a host may keep the credit of retries if there are
	// more hosts than retrySlack.
	retryCreditTime = 10 * time.Second
)

// retryShare returns the share of retryReserve that this host has.
func (c *Core) retryShare() int {
	return max(1, retryReserve/max(1, len(c.deployment.Hosts())))
}

// retryBurst returns the number of retries of a service that this host may accumulate.
// It is 0 if there are more hosts than retrySlack.
func (c *Core) retryBurst() int {
	return retrySlack / max(1, len(c.deployment.Hosts()))
}

// limitRetries bounds the credit of retries to the burst of this host.
func (c *Core) limitRetries(now time.Time) {
	c.retryCreditEndsAt = now.Add(retryCreditTime)
	for _, name := range c.serviceNames {
		c.services[name].retries.LimitBurst(c.retryBurst())
	}
}

// expireRetryCredit takes the credit of retries that this host may no longer keep. With
// a burst there is none.
func (c *Core) expireRetryCredit(now time.Time) {
	if c.deployment == nil || now.Before(c.retryCreditEndsAt) {
		return
	}
	c.limitRetries(now)
}
