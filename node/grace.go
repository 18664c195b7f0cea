package node

import (
	"time"

	"filberthold/platform"
	"filberthold/relay"
)

const (
	// renewalGrace is the grace period after a store outage in which endpoints
	// write entries again that expired during the outage.
	renewalGrace = 2 * time.Second
	// minOutageHeartbeats is the length of a store outage, in heartbeat intervals,
	// from which entries may have expired. An entry expires three heartbeat
	// intervals after its last renewal.
	minOutageHeartbeats = 2
)

// graceUntil returns the end of the grace period, in which an entry may be
// missing only because of a store outage. Only an outdated replica, or a store that
// returned from an older copy and so lost entries, starts a grace period: then
// graceUntil sets outageEndedAt to now. There is none if the store refused this host
// while other hosts read it and kept the replica up to date, nor while one host takes
// over as store reader from another. It must be called before the version of an update
// is confirmed. r.mu is held.
func (r *storeReplica) graceUntil(now time.Time, era uint64) time.Time {
	known := r.endpoints.Version()
	withoutNews := min(r.endpoints.Age(now), now.Sub(r.learnedAt))
	isOutdated := withoutNews > minOutageHeartbeats*r.heartbeatInterval
	if !known.IsZero() && (isOutdated || era > known.Era) {
		r.outageEndedAt = now
	}
	return r.outageEndedAt.Add(renewalGrace)
}

// relayedGraceUntil returns the end of the grace period of a removal that another host
// relayed, or a time in the past if there is none. The other host may have been the only
// one without the store: the removal takes effect at once if this host has a replica and
// saw no outage, by ownGraceUntil.
func (r *storeReplica) relayedGraceUntil(changes relay.Changes, row platform.Row, receivedAt, ownGraceUntil time.Time) time.Time {
	remaining, isHeld := changes.Grace[row.Key]
	sawNoOutage := !r.endpoints.Version().IsZero() && !receivedAt.Before(ownGraceUntil)
	if !isHeld || sawNoOutage {
		return time.Time{}
	}
	return receivedAt.Add(remaining)
}
