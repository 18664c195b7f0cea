package node

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filberthold/model"
	"filberthold/orgs"
	"filberthold/platform"
	"filberthold/proxy"
	"filberthold/relay"
	"filberthold/roster"
)

// storeReplica is this host's copy of the operator's and the endpoints' tables.
// It receives rows from the store or from other hosts and applies them to the
// core. It is safe for concurrent use.
type storeReplica struct {
	log               *slog.Logger
	core              *proxy.Core
	operator          *relay.Cache
	endpoints         *relay.Cache
	heartbeatInterval time.Duration

	mu sync.Mutex
	// outageEndedAt is the end of the last store outage in which entries of endpoints may
	// have expired: when this host first heard of the store again.
	outageEndedAt time.Time
	evacuated     map[model.ZoneName]bool
	// rejected holds the keys of the entries whose last value was rejected. A key is
	// logged and counted again only after a value of it was applied or removed.
	rejected map[string]bool
	// rejectedCount counts the entries that were rejected.
	rejectedCount atomic.Uint64
	// configValue is the value of the row whose configuration is in force.
	configValue []byte
	// trust is nil where keys are always trusted.
	trust *keyTrust
	// configRow is the newest row of the configuration that this host knows.
	configRow orgs.ConfigRow
	// lostUntil holds the keys of the operator's rows that the store lost, and the end
	// of their grace periods. A key is removed when its row is written again or has
	// expired.
	lostUntil map[string]time.Time
	// revivedUntil holds the keys of the removed entries that are back in a store which
	// returned from an older copy, and the time until which their renewals are awaited. A
	// key is removed when its entry is renewed or removed again.
	revivedUntil map[string]time.Time
	// awaited holds the tables that must be current before the host is ready.
	awaited map[platform.Table]bool
	// learnedAt is when this host got at its start what another one knows, or zero. The
	// outages before it were those of the other host.
	learnedAt time.Time
}

// newStoreReplica returns an empty replica. Endpoints renew their entries at each
// heartbeat interval.
func newStoreReplica(log *slog.Logger, core *proxy.Core, heartbeatInterval time.Duration) *storeReplica {
	return &storeReplica{
		log: log, core: core, heartbeatInterval: heartbeatInterval, operator: relay.NewCache(), endpoints: relay.NewCache(),
		evacuated: make(map[model.ZoneName]bool), rejected: make(map[string]bool),
		lostUntil: make(map[string]time.Time), revivedUntil: make(map[string]time.Time), awaited: map[platform.Table]bool{platform.EndpointTable: true},
	}
}

// isOutdated reports whether the rows of a table are too old. Each table is judged
// by itself: a host may be able to read one and not the other.
func (r *storeReplica) isOutdated(table platform.Table, limits intervals, now time.Time) bool {
	if table == platform.OperatorTable {
		return r.operator.Age(now) > limits.operator.maxAge
	}
	return r.endpoints.Age(now) > limits.endpoints.maxAge
}

// storeSource is the source of rows that a host read from the store itself, in
// log lines. Otherwise the source is the name of another host.
const storeSource = "store"

// applyOperatorRows applies changed rows of the operator's table, which came from
// the store. The replica is then complete up to the given version as of confirmedAt.
func (r *storeReplica) applyOperatorRows(rows []platform.Row, version platform.Version, confirmedAt time.Time) {
	defer r.markCurrent(platform.OperatorTable)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putOperatorRows(rows, version, storeSource)
	r.operator.Confirm(version, confirmedAt)
}

// putOperatorRows applies changed rows of the operator's table, which came from a source,
// without confirming their version. It ignores rows older than the replica's, which a call
// that took longer than another one returns. r.mu is held.
func (r *storeReplica) putOperatorRows(rows []platform.Row, version platform.Version, source string) {
	for _, row := range rows {
		if !r.operator.HasNewer(row) {
			delete(r.lostUntil, row.Key)
			r.applyOperatorRow(row, source)
		}
	}
	zones := slices.Sorted(maps.Keys(r.evacuated))
	if r.core.SetEvacuated(zones) {
		r.log.Info("evacuations changed", "zones", zones, "storeVersion", version, "source", source, "operatorAge", r.operator.Age(time.Now()))
	}
	for _, row := range rows {
		kept := r.withConfigInForce(row)
		if r.operator.HasValue(kept) {
			r.operator.PutRewritten(kept)
			continue
		}
		r.operator.Put(kept, true)
	}
}

// applyOperatorRow applies an evacuation or the configuration. If the row of the
// configuration is removed, the configuration stays in force.
func (r *storeReplica) applyOperatorRow(row platform.Row, source string) {
	if zone, isEvacuation := platform.EvacuatedZone(row); isEvacuation {
		if row.IsRemoved {
			delete(r.evacuated, zone)
			return
		}
		r.evacuated[zone] = true
		return
	}
	if row.Key != platform.ConfigKey {
		return
	}
	if row.IsRemoved {
		r.noteConfigRow(row.Version, false, source)
		return
	}
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		r.noteConfigRow(row.Version, false, source)
		r.log.Error("configuration not decoded, the one in force stays", "rowVersion", row.Version, "error", err)
		return
	}
	if r.core.SetConfig(config) {
		r.configValue = row.Value
		r.log.Info("configuration in force", "configVersion", config.Version(), "rowVersion", row.Version, "bytes", len(row.Value),
			"source", source, "operatorAge", r.operator.Age(time.Now()))
	}
	// An older configuration comes from a store that returned from an older copy.
	inForce := r.core.Config()
	r.noteConfigRow(row.Version, config.Version() < inForce.Version() || config.HasSameKeys(inForce), source)
}

// applyOperatorTable applies all rows of the operator's table, which came from the store.
func (r *storeReplica) applyOperatorTable(rows platform.Rows, confirmedAt time.Time) {
	defer r.markCurrent(platform.OperatorTable)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putOperatorTable(rows.Rows, rows.Version, storeSource)
	r.operator.Confirm(rows.Version, confirmedAt)
}

// putOperatorTable applies all rows of the operator's table without confirming their
// version. r.mu is held.
func (r *storeReplica) putOperatorTable(rows []platform.Row, version platform.Version, source string) {
	forgetHistory(r.operator, version)
	missing := r.holdLostRows(r.operator.Missing(rows), version, time.Now())
	r.putOperatorRows(append(rows, removedRows(missing, version)...), version, source)
}

// forgetHistory records that a cache gets a whole table. In a later era the cache itself
// knows for which hosts it has all changes.
func forgetHistory(cache *relay.Cache, version platform.Version) {
	if known := cache.Version(); known.Era == version.Era && !known.IsZero() {
		cache.ForgetHistory(version)
	}
}

// removedRows returns rows that mark keys as removed.
func removedRows(keys []string, version platform.Version) []platform.Row {
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, platform.Row{Key: key, Version: version, IsRemoved: true})
	}
	return rows
}

// applyEndpointRows applies changed entries of endpoints, which this host read from the
// store. The replica is then complete up to the given version as of confirmedAt.
func (r *storeReplica) applyEndpointRows(rows []platform.Row, version platform.Version, confirmedAt time.Time) {
	defer r.markCurrent(platform.EndpointTable)
	r.mu.Lock()
	defer r.mu.Unlock()
	graceUntil := r.graceUntil(time.Now(), version.Era)
	for _, row := range rows {
		r.applyEndpointRow(row, graceUntil, false)
	}
	// All removals up to the version must have been put into the cache, also those in a
	// grace period: followers ask for the changes after their version only.
	r.endpoints.Confirm(version, confirmedAt)
}

// applyEndpointTable applies the entries of all endpoints, which this host read from the
// store.
func (r *storeReplica) applyEndpointTable(rows platform.Rows, confirmedAt time.Time) {
	forgetHistory(r.endpoints, rows.Version)
	r.holdRevivedEntries(rows.Rows, time.Now())
	missing := removedRows(r.endpoints.Missing(rows.Rows), rows.Version)
	r.applyEndpointRows(append(rows.Rows, missing...), rows.Version, confirmedAt)
	r.log.Info("endpoints read", "count", len(rows.Rows), "storeVersion", rows.Version)
}

// applyEndpointRow applies a changed entry, unless the replica has it already or a newer
// one. An endpoint whose entry was removed stays usable until graceUntil, because it may
// write the entry again after a store outage. A row that another host relayed is a change,
// also if this host sees none: it may not have got the rows before it. r.mu is held.
func (r *storeReplica) applyEndpointRow(row platform.Row, graceUntil time.Time, isRelayed bool) {
	switch {
	case r.endpoints.Has(row):
	case row.IsRemoved:
		r.applyRemoval(row, graceUntil)
	default:
		r.applyEntry(row, isRelayed)
	}
}

// applyRemoval applies the removal of an entry. Other hosts receive it at once, also if
// the endpoint stays usable here until graceUntil. r.mu is held.
func (r *storeReplica) applyRemoval(row platform.Row, graceUntil time.Time) {
	delete(r.rejected, row.Key)
	delete(r.revivedUntil, row.Key)
	if r.core.RemoveEntry(model.EndpointName(row.Key), graceUntil) {
		r.log.Info("endpoint is gone", "endpoint", row.Key, "rowVersion", row.Version)
	}
	if !time.Now().Before(graceUntil) {
		r.endpoints.Put(row, true)
		return
	}
	r.endpoints.PutHeldRemoval(row, graceUntil)
	r.log.Info("entry is missing after an outage of the store, endpoint stays in use", "endpoint", row.Key, "rowVersion", row.Version, "until", graceUntil)
}

func (r *storeReplica) applyEntry(row platform.Row, isRelayed bool) {
	entry, err := platform.DecodeEntry(row)
	if err == nil && entry.IsFromFuture(time.Now()) {
		err = errFromFuture
	}
	if err != nil {
		r.rejectEntry(row, err)
		return
	}
	delete(r.rejected, row.Key)
	change := r.core.ApplyEntry(entry)
	if change == roster.Stale {
		return
	}
	delete(r.revivedUntil, row.Key)
	r.endpoints.Put(row, isRelayed || change != roster.Unchanged)
	if change != roster.Unchanged {
		r.log.Info("endpoint changed", "endpoint", entry.Endpoint, "service", entry.Service, "zone", entry.Zone,
			"state", entry.State.String(), "coldFor", entry.ColdFor, "sequence", entry.Sequence, "born", entry.Incarnation, "rowVersion", row.Version)
	}
}

// errFromFuture is the error of an entry whose incarnation starts in the future.
var errFromFuture = errors.New("born is in the future")

// rejectEntry logs and counts an entry that another program may have written. The last
// entry that could be applied stays in use.
func (r *storeReplica) rejectEntry(row platform.Row, cause error) {
	if r.rejected[row.Key] {
		return
	}
	r.rejected[row.Key] = true
	r.rejectedCount.Add(1)
	r.log.Warn("entry rejected", "key", row.Key, "rowVersion", row.Version, "error", cause)
}

// expireEndpoints removes the endpoints whose entries were not written again
// within the grace period after an outage.
func (r *storeReplica) expireEndpoints() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if names := r.core.Expire(); len(names) > 0 {
		r.log.Info("endpoints expired after an outage of the store", "endpoints", names)
	}
	r.endpoints.ExpireRemovals(time.Now())
}
