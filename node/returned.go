package node

import (
	"slices"
	"time"

	"filberthold/platform"
)

// operatorRenewalGrace is how long a row of the operator stays in force that the store
// lost when it returned from an older copy. The operator writes it again meanwhile.
const operatorRenewalGrace = 10 * time.Second

// holdLostRows starts the grace period of the operator's rows that are missing from a
// whole table of a later era than the replica's, and returns the keys of the missing
// rows that are not in one. r.mu is held.
func (r *storeReplica) holdLostRows(missing []string, version platform.Version, now time.Time) []string {
	known := r.operator.Version()
	if len(missing) == 0 || known.IsZero() || version.Era <= known.Era {
		return missing
	}
	for _, removal := range removedRows(missing, version) {
		r.holdLostRow(removal, now.Add(operatorRenewalGrace))
	}
	return nil
}

// holdLostRow keeps a row of the operator in force that the store lost, until the given
// time. r.mu is held.
func (r *storeReplica) holdLostRow(removal platform.Row, until time.Time) {
	if r.operator.Has(removal) {
		return
	}
	r.lostUntil[removal.Key] = until
	r.operator.PutHeldRemoval(removal, until)
	r.log.Info("operator's row kept that the store lost", "key", removal.Key, "storeVersion", removal.Version, "until", until)
}

// expireOperatorRows removes the operator's rows that were not written again within
// their grace period.
func (r *storeReplica) expireOperatorRows(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []string
	for key, until := range r.lostUntil {
		if !now.Before(until) {
			expired = append(expired, key)
		}
	}
	if len(expired) == 0 {
		return
	}
	slices.Sort(expired)
	r.log.Info("operator's rows expired that the store lost", "keys", expired)
	// Followers have the changes up to the current version, so the removals need a
	// higher one to be sent to them.
	version := r.operator.Version().Next()
	r.putOperatorRows(removedRows(expired, version), version, storeSource)
}

// withConfigInForce returns the row of the configuration with the value in force, and
// other rows unchanged. The two values differ if the store returned from a copy with
// an older configuration, or if the new one cannot be decoded. Hosts that start then
// get the newest one from this host.
func (r *storeReplica) withConfigInForce(row platform.Row) platform.Row {
	if row.Key == platform.ConfigKey && !row.IsRemoved && r.configValue != nil {
		row.Value = r.configValue
	}
	return row
}
