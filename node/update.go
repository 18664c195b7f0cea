package node

import (
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/relay"
)

// applyUpdate applies an update from another host, the source.
func (r *storeReplica) applyUpdate(update relay.Update, source model.HostName) {
	r.applyOperatorChanges(update.Operator, update.ReceivedAt, source)
	r.applyEndpointChanges(update.Endpoints, update.ReceivedAt)
}

func (r *storeReplica) applyOperatorChanges(changes relay.Changes, receivedAt time.Time, source model.HostName) {
	confirmedAt := receivedAt.Add(-changes.Age)
	if changes.IsWhole {
		r.applyOperatorTable(platform.Rows{Rows: changes.Rows, Version: changes.Version}, confirmedAt, string(source))
		return
	}
	r.applyOperatorRows(changes.Rows, changes.Version, confirmedAt, string(source))
}

// applyEndpointChanges applies changes of the endpoints. Removals apply at once, because
// the other host sends them only after its grace period. An entry that is missing from a
// whole table has a grace period if the store may have lost it: in a later era, or if
// this host was without news for so long that there may have been an outage.
func (r *storeReplica) applyEndpointChanges(changes relay.Changes, receivedAt time.Time) {
	confirmedAt := receivedAt.Add(-changes.Age)
	graceUntil := time.Time{}
	if changes.Version.Era > r.endpoints.Version().Era || r.endpoints.Age(receivedAt) > renewalGrace {
		graceUntil = receivedAt.Add(renewalGrace)
	}
	if changes.IsWhole {
		forgetHistory(r.endpoints, changes.Version)
	}
	r.applyEndpointRows(changes.Rows, changes.Version, confirmedAt, time.Time{})
	if changes.IsWhole {
		missing := removedRows(r.endpoints.Missing(changes.Rows), changes.Version)
		r.applyEndpointRows(missing, changes.Version, confirmedAt, graceUntil)
	}
}
