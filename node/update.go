package node

import (
	"time"

	"filberthold/model"
	"filberthold/relay"
)

// applyUpdate applies an update from another host, the source.
func (r *storeReplica) applyUpdate(update relay.Update, source model.HostName) {
	r.applyOperatorChanges(update.Operator, update.ReceivedAt, source)
	r.applyEndpointChanges(update.Endpoints, update.ReceivedAt)
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
// has a grace period if this host saw an outage of the store.
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
	r.confirmEndpoints(changes.Version, receivedAt.Add(-changes.Age))
}
