package quota

import (
	"maps"
	"slices"
	"time"

	"filberthold/model"
)

// Look is what a host would decide on a request of an organisation, and what it knows of the
// organisation's bucket.
type Look struct {
	Decision Decision
	// PerSecond and Burst are the limit.
	PerSecond, Burst float64
	// Level is the number of requests that the bucket holds for the hosts in contact, less
	// those that the other hosts have probably admitted and not yet reported. Capacity is the
	// largest number that it can hold.
	Level, Capacity float64
	// OwnRate and OthersRate are as in Refused, without the request.
	OwnRate, OthersRate float64
	// Group is the part of the limit that the hosts in contact may use.
	Group float64
	// ReportAge is the age of the newest report of another host, or 0 without one.
	ReportAge time.Duration
}

// Look returns what Admit would decide on a request now, without a change of the limiter. It
// returns false if the organisation has no limit.
func (l *Limiter) Look(organisation model.OrganisationName, now time.Time) (Look, bool) {
	original := l.accounts[organisation]
	if original == nil {
		return Look{}, false
	}
	copied, a := l.copyWith(original)
	at := max(copied.since(now), a.updatedAt)
	copied.checkPeers(copied.since(now))
	a.advance(copied, at)
	look := Look{
		PerSecond: a.limit.PerSecond, Burst: a.limit.Burst, Level: a.expectedLevel(copied, a.offeredRate(copied), at), Capacity: a.capacity * a.group,
		OwnRate: a.offered / offeredTime.Seconds(), OthersRate: (a.regionOffered + a.remoteOffered) / offeredTime.Seconds(),
		Group: a.group, ReportAge: copied.reportAge(at),
	}
	look.Decision = a.admit(copied, at)
	return look, true
}

// copyWith returns a limiter that shares nothing with this one that an admission changes, and
// in which one account is the only one.
func (l *Limiter) copyWith(original *account) (*Limiter, *account) {
	copied, a := *l, *original
	a.rates = slices.Clone(original.rates)
	copied.ordered = []*account{&a}
	copied.accounts = map[model.OrganisationName]*account{a.limit.Organisation: &a}
	copied.byID = map[ID]*account{a.id: &a}
	copied.peers, copied.peerList, copied.regions = maps.Clone(l.peers), make([]*peer, len(l.peerList)), nil
	for i, each := range l.peerList {
		other := *each
		copied.peerList[i] = &other
		copied.peers[peerKey(other.source)] = &other
		if other.isRegion() {
			copied.regions = append(copied.regions, &other)
		}
	}
	return &copied, &a
}
