// Package relay passes rows of the store from the hosts that read it to the
// others. The store turns single hosts away at times, and it charges every
// call, so that only a few hosts read it.
package relay

import (
	"slices"
	"sync"
	"time"

	"filberthold/platform"
)

// removalMemory bounds how many removals are remembered. A host that is
// further behind reads all rows again.
const removalMemory = 4096

// Cache holds the newest rows of a table. It is safe for concurrent use.
type Cache struct {
	mu   sync.Mutex
	rows map[string]cached
	// version is the version of the store up to which the rows are complete;
	// 0 means that nothing is known.
	version uint64
	// confirmedAt is when the store, directly or through other hosts, last
	// said that the rows are complete.
	confirmedAt time.Time
	// changed is closed at the next change.
	changed chan struct{}
}

// cached is a row with the version of the store at its last change that
// matters to other hosts. Endpoints renew their rows all the time.
type cached struct {
	row       platform.Row
	changedAt uint64
}

// NewCache returns a cache that knows nothing.
func NewCache() *Cache {
	return &Cache{rows: make(map[string]cached), changed: make(chan struct{})}
}

// Put takes in a row. Other hosts are told only if the change matters.
func (c *Cache) Put(row platform.Row, matters bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, exists := c.rows[row.Key]
	if exists && row.Version < before.row.Version {
		return
	}
	next := cached{row: row, changedAt: before.changedAt}
	if matters || !exists {
		next.changedAt = row.Version
		close(c.changed)
		c.changed = make(chan struct{})
	}
	c.rows[row.Key] = next
	c.forget()
}

// forget drops the oldest removals.
func (c *Cache) forget() {
	if len(c.rows) <= removalMemory {
		return
	}
	for key, one := range c.rows {
		if one.row.IsRemoved {
			delete(c.rows, key)
		}
	}
}

// Missing returns the keys that the cache holds and a whole reading does not.
func (c *Cache) Missing(reading []platform.Row) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(reading))
	for _, row := range reading {
		present[row.Key] = true
	}
	var missing []string
	for key, one := range c.rows {
		if !present[key] && !one.row.IsRemoved {
			missing = append(missing, key)
		}
	}
	slices.Sort(missing)
	return missing
}

// Confirm notes that the rows are complete up to a version at a time.
func (c *Cache) Confirm(version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = max(c.version, version)
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// Version returns the version up to which the rows are complete.
func (c *Cache) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Age returns how long ago the rows were known to be complete.
func (c *Cache) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt)
}

// Since returns the rows that changed after a version, in order, and a channel
// that is closed at the next change.
func (c *Cache) Since(after uint64) (Changes, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := Changes{Version: c.version}
	for _, one := range c.rows {
		if one.changedAt > after {
			changes.Rows = append(changes.Rows, one.row)
		}
	}
	slices.SortFunc(changes.Rows, func(a, b platform.Row) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return changes, c.changed
}
