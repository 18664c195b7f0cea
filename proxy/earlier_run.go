package proxy

import "time"

// EarlierRun is what a host knows of the run of its process before the current one.
type EarlierRun struct {
	// StartedAt is when that run started, by the clock of the host.
	StartedAt time.Time
	// IsFirst is true if there was no run before that one.
	IsFirst bool
}

// retriesFrom returns the time from which the current run may send retries, or the zero time
// if it may send them at once. The retries of one earlier run leave room for those of the
// current one; those of the run before it may still arrive until earlierRetryTime after the
// earlier run started.
func (r EarlierRun) retriesFrom(now time.Time) time.Time {
	// The clock may have been set back since then.
	sinceStart := max(0, now.Sub(r.StartedAt))
	if r.IsFirst || sinceStart >= earlierRetryTime {
		return time.Time{}
	}
	// Times of the row have no monotonic reading, so the result is not derived from them.
	return now.Add(earlierRetryTime - sinceStart)
}

// SetEarlierRun tells the core which run of the host was before the current one. It returns
// the time until which the host sends no retries, or the zero time.
func (c *Core) SetEarlierRun(run EarlierRun) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retriesFrom = run.retriesFrom(time.Now())
	return c.retriesFrom
}

// SetFirstRun tells the core that the host did not run before. Until it knows that, or its
// earlier run, it sends no retries, for earlierRetryTime at most.
func (c *Core) SetFirstRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retriesFrom = time.Time{}
}

// MaySendRetries reports whether the retries of earlier runs leave room for those of this one.
func (c *Core) MaySendRetries(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.retriesFrom)
}
