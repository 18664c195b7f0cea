package node

import (
	"maps"
	"slices"
	"time"

	"filberthold/platform"
	"filberthold/relay"
)

// revivalWatch is how long renewals of an entry are awaited that is back in a store which
// returned from an older copy. An endpoint that runs renews its entry every heartbeat.
const revivalWatch = 10 * time.Second

// holdRevivedEntries keeps endpoints unusable whose removal the store may have lost, until
// they renew their entries. The rows are all of the table: a row of the changes after a
// version was written after the return of the store.
func (r *storeReplica) holdRevivedEntries(rows []platform.Row, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if !r.endpoints.IsRevived(row) {
			continue
		}
		entry, err := platform.DecodeEntry(row)
		if err != nil {
			continue
		}
		r.core.ApplyReturned(entry)
		r.revivedUntil[row.Key] = now.Add(revivalWatch)
		r.log.Info("entry is back that was removed, endpoint is not used before its next one", "endpoint", row.Key, "rowVersion", row.Version, "sequence", entry.Sequence)
	}
}

// revivedKeys returns the keys of the entries whose renewals are awaited. Hosts do not
// relay renewals that are not asked for.
func (r *storeReplica) revivedKeys(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.revivedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	keys := slices.Sorted(maps.Keys(r.revivedUntil))
	return keys[:min(len(keys), relay.MaxWatched)]
}
