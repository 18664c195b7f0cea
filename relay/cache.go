// Package relay sends rows of the store from the hosts that read it to the other
// hosts. Only a few hosts read the store, because it charges every call and
// sometimes refuses single hosts.
package relay

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"filberthold/platform"
)

// maxCachedRows is the number of rows above which removals are evicted. A host that has
// not received them by then gets all rows.
const maxCachedRows = 4096

// Cache holds the newest row of each key of a table, removals included. It is
// safe for concurrent use.
type Cache struct {
	mu   sync.Mutex
	rows map[string]cachedRow
	// version is the version of the store up to which the rows are complete. It
	// is zero before the first confirmation.
	version platform.Version
	// earlier is the last version of the era before that of version. It is zero if this
	// is the first era of the cache.
	earlier platform.Version
	// historyStart is the version from which on the cache has all changes, removals
	// included.
	historyStart platform.Version
	// eraStart is the first version of this era that the cache had. It lacks the changes
	// of the era before it.
	eraStart platform.Version
	// confirmedAt is when the store last confirmed, directly or through other
	// hosts, that the rows are complete.
	confirmedAt time.Time
	// changed is closed at the next significant change.
	changed chan struct{}
}

// cachedRow is a row with the version of the store at its last significant
// change. Most writes are not significant: endpoints renew their rows
// periodically.
type cachedRow struct {
	row       platform.Row
	changedAt platform.Version
	// rewrittenAt is the version at which the row was last written with the value that
	// it had. Hosts of this era get it: they may have the row of a write between the
	// two, which this cache did not get. It is zero if there was no such write since
	// changedAt.
	rewrittenAt platform.Version
	// storedAt is when the first host got the row from the store. It is zero for a removal.
	storedAt time.Time
	// removal is the removal of the row from the store while its grace period runs.
	// It is newer than the row. It is nil otherwise.
	removal *heldRemoval
}

// heldRemoval is the removal of a row that stays in use until the end of a grace
// period, unless the row is written again before.
type heldRemoval struct {
	version platform.Version
	until   time.Time
}

// version returns the version of the last change of the row, its removal included.
func (r cachedRow) version() platform.Version {
	if r.removal != nil {
		return r.removal.version
	}
	return r.row.Version
}

// changedRow returns the cached row after a change.
func changedRow(row platform.Row) cachedRow {
	changed := cachedRow{row: row, changedAt: row.Version}
	if !row.IsRemoved {
		changed.storedAt = time.Now().Add(-row.Age)
	}
	return changed
}

// lastChange returns the later of changedAt and rewrittenAt.
func (r cachedRow) lastChange() platform.Version {
	if r.rewrittenAt.Compare(r.changedAt) > 0 {
		return r.rewrittenAt
	}
	return r.changedAt
}

// isChangedAfter reports whether a host at a version may have another row. One of an
// earlier era has no row that was written in this one.
func (r cachedRow) isChangedAfter(version platform.Version) bool {
	if version.Era == r.rewrittenAt.Era {
		return r.lastChange().Compare(version) > 0
	}
	return r.changedAt.Compare(version) > 0
}

// renew returns the cached row after it was renewed. The first renewal of an era counts as
// rewritten, because a returned store had the row of before the last change.
func (r cachedRow) renew(row platform.Row) cachedRow {
	if row.Version.Era > r.lastChange().Era {
		return r.rewrite(row)
	}
	next := changedRow(row)
	next.changedAt, next.rewrittenAt = r.changedAt, r.rewrittenAt
	return next
}

// rewrite returns the cached row after it was written again with the same value.
func (r cachedRow) rewrite(row platform.Row) cachedRow {
	next := changedRow(row)
	next.changedAt, next.rewrittenAt = r.changedAt, row.Version
	if row.Version.Era > r.rewrittenAt.Era {
		next.changedAt = r.lastChange()
	}
	return next
}

// agedRow returns the row with its age, which a removal does not need.
func (r cachedRow) agedRow(now time.Time) platform.Row {
	row := r.row
	if !row.IsRemoved {
		row.Age = now.Sub(r.storedAt)
	}
	return row
}

// removedRow returns the row that marks the row as removed.
func (r cachedRow) removedRow() platform.Row {
	return platform.Row{Key: r.row.Key, Version: r.version(), IsRemoved: true}
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{rows: make(map[string]cachedRow), changed: make(chan struct{})}
}

// Put stores a row unless the cache has a newer one. Only a significant change
// or a new row is sent to other hosts.
func (c *Cache) Put(row platform.Row, isSignificant bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, exists := c.rows[row.Key]
	if exists && row.Version.Compare(before.version()) < 0 {
		return
	}
	next := before.renew(row)
	// Other hosts may have applied a held removal at once.
	if isSignificant || !exists || before.removal != nil {
		next = changedRow(row)
	}
	if next.lastChange() != before.lastChange() {
		c.notify()
	}
	c.rows[row.Key] = next
	c.evictRemovals()
}

// PutRewritten stores a row that was written with the value that the cache has, unless
// the cache has this version of it or a newer one.
func (c *Cache) PutRewritten(row platform.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, exists := c.rows[row.Key]
	if exists && row.Version.Compare(before.version()) <= 0 {
		return
	}
	next := before.rewrite(row)
	// Other hosts may have applied a held removal at once.
	if !exists || before.removal != nil {
		next = changedRow(row)
	}
	c.notify()
	c.rows[row.Key] = next
	c.evictRemovals()
}

// PutHeldRemoval stores the removal of a row that this host keeps in use until the end
// of a grace period. Other hosts receive the removal at once, so that none of them is
// at a version without it, and decide for themselves.
func (c *Cache) PutHeldRemoval(row platform.Row, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, exists := c.rows[row.Key]
	if exists && row.Version.Compare(before.version()) < 0 {
		return
	}
	if !exists || before.row.IsRemoved {
		before = cachedRow{row: row, changedAt: row.Version}
	} else {
		before.removal = &heldRemoval{version: row.Version, until: until}
	}
	c.rows[row.Key] = before
	c.notify()
	c.evictRemovals()
}

// ExpireRemovals removes the rows whose grace period has ended. Other hosts have the
// removals already.
func (c *Cache) ExpireRemovals(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, cached := range c.rows {
		if cached.removal != nil && !now.Before(cached.removal.until) {
			c.rows[key] = cachedRow{row: cached.removedRow(), changedAt: cached.removal.version}
		}
	}
}

// notify wakes the polls that wait for a change. c.mu is held.
func (c *Cache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// HasNewer reports whether the cache has a newer version of a row.
func (c *Cache) HasNewer(row platform.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[row.Key].version().Compare(row.Version) > 0
}

// Has reports whether the cache has this version of a row or a newer one.
func (c *Cache) Has(row platform.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, exists := c.rows[row.Key]
	return exists && cached.version().Compare(row.Version) >= 0
}

// IsRevived reports whether a row was removed in an earlier era of the store than its own.
// The store may have lost the removal.
func (c *Cache) IsRevived(row platform.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, exists := c.rows[row.Key]
	return exists && cached.row.IsRemoved && !row.IsRemoved && cached.version().Era < row.Version.Era
}

// HasValue reports whether the cache has a row with the same value, at any version.
func (c *Cache) HasValue(row platform.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, exists := c.rows[row.Key]
	return exists && cached.row.IsRemoved == row.IsRemoved && bytes.Equal(cached.row.Value, row.Value)
}

// evictRemovals drops all removals if the cache holds more than maxCachedRows
// rows.
func (c *Cache) evictRemovals() {
	if len(c.rows) <= maxCachedRows {
		return
	}
	for key, cached := range c.rows {
		if !cached.row.IsRemoved {
			continue
		}
		delete(c.rows, key)
		if changedAt := cached.lastChange(); changedAt.Compare(c.historyStart) > 0 {
			c.historyStart = changedAt
		}
	}
}

// Missing returns the sorted keys of cached rows that are not among all rows of
// the table and not known to be removed. Removals among the rows count as missing: they
// may be older than the row that the cache has.
func (c *Cache) Missing(rows []platform.Row) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = present[row.Key] || !row.IsRemoved
	}
	var missing []string
	for key, cached := range c.rows {
		if !present[key] && !cached.row.IsRemoved && cached.removal == nil {
			missing = append(missing, key)
		}
	}
	slices.Sort(missing)
	return missing
}

// Confirm records that the rows were complete up to a version at the given time.
// Neither the version nor the time decreases. A version of an earlier era confirms
// nothing: the store that it came from has been replaced.
func (c *Cache) Confirm(version platform.Version, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version.Era < c.version.Era {
		return
	}
	if c.version.IsZero() {
		c.historyStart = version
	}
	if c.version.IsZero() || version.Era > c.version.Era {
		c.earlier, c.eraStart = c.version, version
	}
	if version.Compare(c.version) > 0 {
		c.version = version
	}
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// ForgetHistory records that the rows were replaced by the whole table of a version,
// because changes before it were lost.
func (c *Cache) ForgetHistory(version platform.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.historyStart = version
}

// Version returns the version of the store up to which the rows are complete.
func (c *Cache) Version() platform.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Age returns the time since the rows were last known to be complete.
func (c *Cache) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt)
}

// Since returns the rows with a significant change after a version, ordered by
// version, and a channel that is closed at the next such change. If it cannot know all
// changes after the version, it returns all rows. Of the rows with the watched keys it
// returns those with any change after the version.
func (c *Cache) Since(after platform.Version, watched ...string) (Changes, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := Changes{Version: c.version, IsWhole: c.lacksChanges(after)}
	now := time.Now()
	for key, cached := range c.rows {
		isRenewed := cached.row.Version.Compare(after) > 0 && slices.Contains(watched, key)
		if changes.IsWhole || isRenewed || cached.isChangedAfter(after) {
			changes.Rows = append(changes.Rows, cached.agedRow(now))
		}
		if cached.removal != nil && (changes.IsWhole || cached.removal.version.Compare(after) > 0) {
			changes.addHeldRemoval(cached)
		}
	}
	slices.SortFunc(changes.Rows, func(a, b platform.Row) int { return a.Version.Compare(b.Version) })
	return changes, c.changed
}

// lacksChanges reports whether the cache may lack changes after a version: those before
// its history or the first version of its era, and those of an earlier era that the store
// lost before this cache got them. c.mu is held.
func (c *Cache) lacksChanges(after platform.Version) bool {
	if after.IsZero() {
		return false
	}
	if after.Era == c.historyStart.Era && after.Compare(c.historyStart) < 0 {
		return true
	}
	if after.Era >= c.version.Era {
		return after.Compare(c.eraStart) < 0
	}
	return after.Era != c.earlier.Era || after.Compare(c.earlier) > 0
}
