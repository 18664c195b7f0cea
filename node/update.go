package node

import (
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/relay"
)

// applyUpdate applies an update from another host, the source.
func (r *storeReplica) applyUpdate(update relay.Update, source model.HostName) {
	r.applyChanges(update, source)
	r.markCurrent(platform.OperatorTable)
	r.markCurrent(platform.EndpointTable)
}

// learn applies all that another host knows, before the first rows of the store. The host
// is not ready with rows that are too old: a later update confirms them, or replaces them.
func (r *storeReplica) learn(update relay.Update, source model.HostName, limits intervals) {
	r.applyChanges(update, source)
	now := time.Now()
	r.mu.Lock()
	r.learnedAt = now
	r.awaited[platform.OperatorTable] = true
	r.mu.Unlock()
	for _, table := range []platform.Table{platform.OperatorTable, platform.EndpointTable} {
		if !r.isOutdated(table, limits, now) {
			r.markCurrent(table)
		}
	}
}

// applyChanges applies the changes of both tables. The removals come last, because the
// source may have the row of an endpoint that it found gone on other evidence.
func (r *storeReplica) applyChanges(update relay.Update, source model.HostName) {
	r.missConfigRow(update.IsConfigMissed)
	r.applyOperatorChanges(update.Operator, update.ReceivedAt, source)
	r.applyEndpointChanges(update.Endpoints, update.ReceivedAt)
	r.core.ApplyRemovals(update.Removals)
	r.proveByHost(update, source)
}

// markCurrent records that the rows of a table are those of the store, or of the host that
// this one follows. The host is ready after all awaited tables.
func (r *storeReplica) markCurrent(table platform.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.awaited, table)
	if len(r.awaited) == 0 {
		r.core.MarkEndpointsLoaded()
	}
}

// applyOperatorChanges applies changes of the operator's rows. A row that the store lost
// stays in force as long as at the other host.
func (r *storeReplica) applyOperatorChanges(changes relay.Changes, receivedAt time.Time, source model.HostName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	final, held := changes.SplitHeld()
	if changes.IsWhole {
		r.putOperatorTable(final, changes.Version, string(source))
	} else {
		r.putOperatorRows(final, changes.Version, string(source))
	}
	for _, removal := range held {
		r.holdLostRow(removal, receivedAt.Add(changes.Grace[removal.Key]))
	}
	r.operator.Confirm(changes.Version, receivedAt.Add(-changes.Age))
}

// applyEndpointChanges applies changes of the endpoints. Removals apply at once, except
// those in a grace period of the other host. An entry that is missing from a whole table
// has a grace period if this host saw an outage of the store. All removals, held ones too,
// are in the cache before the version is confirmed.
func (r *storeReplica) applyEndpointChanges(changes relay.Changes, receivedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	graceUntil := r.graceUntil(receivedAt, changes.Version.Era)
	if changes.IsWhole {
		forgetHistory(r.endpoints, changes.Version)
	}
	for _, row := range changes.Rows {
		r.applyEndpointRow(row, r.relayedGraceUntil(changes, row, receivedAt, graceUntil), true)
	}
	if changes.IsWhole {
		for _, row := range removedRows(r.endpoints.Missing(changes.Rows), changes.Version) {
			r.applyEndpointRow(row, graceUntil, true)
		}
	}
	r.endpoints.Confirm(changes.Version, receivedAt.Add(-changes.Age))
}
