package share

import (
	"cmp"
	"slices"

	"filberthold/model"
)

// RecordOwners records the ownership of a revision that this host skips. A gained
// slot is used only when every revision since the first one is known, because
// a skipped revision may have an owner that still uses the slot.
func (l *Ledger) RecordOwners(assignment *Assignment) {
	revision := assignment.Revision()
	for slot, owner := range assignment.owner {
		place := l.placeOf(slot)
		place.lastOwned[owner] = max(place.lastOwned[owner], revision)
	}
	if !l.hasBase {
		l.hasBase, l.known = true, revision
	}
	if revision > l.known {
		l.learned[revision] = true
	}
	for l.learned[l.known+1] {
		l.known++
		delete(l.learned, l.known)
	}
}

// Adopt puts a revision into force. The first revision that a ledger learns
// has no earlier owners. A slot that this host loses gets no new request; one
// that it gains is usable when all earlier owners have released it or are
// confirmed as stopped.
func (l *Ledger) Adopt(assignment *Assignment) {
	if assignment.Revision() <= l.revision {
		return
	}
	isFirst := !l.hasBase
	l.revision = assignment.Revision()
	l.RecordOwners(assignment)
	for slot, place := range l.places {
		place.owner = assignment.Owner(slot)
		place.mine = place.owner == l.host && (place.mine || isFirst)
	}
	for _, host := range assignment.deployment.Hosts() {
		if host.Stopped() {
			l.forget(host.Name())
		}
	}
	l.former = nil
	for _, place := range l.places {
		if _, owned := place.lastOwned[l.host]; owned && place.owner != l.host {
			l.former = append(l.former, place)
		}
	}
	slices.SortFunc(l.former, func(a, b *place) int {
		return cmp.Or(cmp.Compare(a.slot.Endpoint, b.slot.Endpoint), cmp.Compare(a.slot.Index, b.slot.Index))
	})
}

// forget drops the former ownership of a host that an operator has confirmed
// as stopped.
func (l *Ledger) forget(host model.HostName) {
	for _, place := range l.places {
		delete(place.lastOwned, host)
	}
}

// RecordRelease records the release of another host, from a peer message or from
// its row in the table.
func (l *Ledger) RecordRelease(release Release) {
	place := l.placeOf(release.Slot)
	place.released[release.Host] = max(place.released[release.Host], release.Revision)
}

// Releases returns what this host has to tell others: the slots that it
// owned, does not own now, and on which it has neither a request nor a loan.
func (l *Ledger) Releases() []Release {
	if !l.quietUntil.IsZero() {
		return nil
	}
	var releases []Release
	for _, place := range l.former {
		if place.ticket == 0 && place.loan == nil {
			releases = append(releases, Release{Host: l.host, Slot: place.slot, Revision: l.revision})
		}
	}
	return releases
}

// NewReleases returns the releases that an earlier call has not returned.
func (l *Ledger) NewReleases() []Release {
	var fresh []Release
	for _, release := range l.Releases() {
		if place := l.places[release.Slot]; place.announced < release.Revision {
			place.announced = release.Revision
			fresh = append(fresh, release)
		}
	}
	return fresh
}

// HasPendingRelease reports whether a slot that this host has lost is still in use.
func (l *Ledger) HasPendingRelease() bool {
	return slices.ContainsFunc(l.former, func(place *place) bool { return place.ticket != 0 || place.loan != nil })
}

// OtherOwners returns the hosts that own the other slots of an endpoint.
func (l *Ledger) OtherOwners(endpoint model.EndpointName) []model.HostName {
	var owners []model.HostName
	for _, place := range l.byEndpoint[endpoint] {
		if place.owner != "" && place.owner != l.host && !slices.Contains(owners, place.owner) {
			owners = append(owners, place.owner)
		}
	}
	return owners
}

// usable reports whether this host may put new requests on a slot. A release
// clears a former owner only if it is newer than the owner's latest ownership.
//
// Two hosts never use a slot at the same time. Let X use it since it gained the
// slot in revision x, and Y since revision y > x. Y knows all revisions up to y,
// so it counts X as a former owner and has its release for a revision r > x. X
// made that release under r, without the slot and with nothing in flight on it,
// and a ledger never goes back, so X no longer uses the slot by virtue of x. The
// same holds in the other direction. Clocks and the list of live hosts play no
// part, so a group of hosts that is cut off with an old revision is covered.
func (l *Ledger) usable(place *place) bool {
	if place.mine || place.owner != l.host {
		return place.mine
	}
	if l.known < l.revision {
		return false
	}
	for former, revision := range place.lastOwned {
		if former != l.host && place.released[former] <= revision {
			return false
		}
	}
	place.mine = true
	return true
}

func (l *Ledger) placeOf(slot Slot) *place {
	if known, exists := l.places[slot]; exists {
		return known
	}
	added := &place{slot: slot, lastOwned: make(map[model.HostName]uint64), released: make(map[model.HostName]uint64)}
	l.places[slot] = added
	places := append(l.byEndpoint[slot.Endpoint], added)
	slices.SortFunc(places, func(a, b *place) int { return cmp.Compare(a.slot.Index, b.slot.Index) })
	l.byEndpoint[slot.Endpoint] = places
	return added
}
