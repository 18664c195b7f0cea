package costs

import "time"

const (
	kindEntries, objectEntries, recentEntries = 256, 4096, 8192
	// ways is the number of entries among which a key is looked up.
	ways = 4
)

// entry is the value of a key.
type entry struct {
	mean
	key    uint64
	usedAt uint64
}

// table holds the values of the keys that were used last. A caller that uses many keys
// displaces others, whose value is then that of an unknown one.
type table struct {
	entries []entry
	uses    uint64
	// none is returned for the key 0 and changes nothing else.
	none entry
}

func newTable(size int) table { return table{entries: make([]entry, size)} }

func (t *table) set(key uint64) []entry {
	first := key % uint64(len(t.entries)/ways) * ways
	return t.entries[first : first+ways]
}

// value returns the value of a key, or 0 if it is unknown.
func (t *table) value(key uint64) float64 {
	if key == 0 {
		return 0
	}
	set := t.set(key)
	for i := range set {
		if set[i].key == key {
			return set[i].value
		}
	}
	return 0
}

// entry returns the entry of a key. A new key replaces the one that was not used for longest.
func (t *table) entry(key uint64) *entry {
	if key == 0 {
		t.none = entry{}
		return &t.none
	}
	set := t.set(key)
	oldest := &set[0]
	t.uses++
	for i := range set {
		if set[i].key == key {
			set[i].usedAt = t.uses
			return &set[i]
		}
		if set[i].usedAt < oldest.usedAt {
			oldest = &set[i]
		}
	}
	*oldest = entry{key: key, usedAt: t.uses}
	return oldest
}

// recentEntry is when an endpoint handled an object.
type recentEntry struct {
	key uint64
	at  int64
}

// recentTable holds the pairs of objects and endpoints that were used last.
type recentTable struct{ entries []recentEntry }

func newRecentTable() recentTable { return recentTable{make([]recentEntry, recentEntries)} }

func (t recentTable) set4(key uint64) []recentEntry {
	first := key % (recentEntries / ways) * ways
	return t.entries[first : first+ways]
}

func (t recentTable) has(key uint64, now time.Time) bool {
	for _, each := range t.set4(key) {
		if each.key == key {
			return now.UnixNano()-each.at < int64(recentTime)
		}
	}
	return false
}

func (t recentTable) set(key uint64, now time.Time) {
	set := t.set4(key)
	oldest := 0
	for i := range set {
		if set[i].key == key {
			oldest = i
			break
		}
		if set[i].at < set[oldest].at {
			oldest = i
		}
	}
	set[oldest] = recentEntry{key, now.UnixNano()}
}
