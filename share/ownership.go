package share

import (
	"cmp"
	"slices"

	"filberthold/model"
)

// RecordOwners records the owners of the slots in a revision that this host skips.
// The host uses a slot that it has gained only after the owners in every revision
// since the first one are recorded, because the owner in a skipped revision may
// still use the slot.
func (l *Ledger) RecordOwners(assignment *Assignment) {
	revision := assignment.Revision()
	for slot, owner := range assignment.owner {
		state := l.stateOf(slot)
		state.lastOwned[owner] = max(state.lastOwned[owner], revision)
	}
	if !l.hasFirstRevision {
		l.hasFirstRevision, l.contiguousRevision = true, revision
	}
	if revision > l.contiguousRevision {
		l.recordedAhead[revision] = true
	}
	for l.recordedAhead[l.contiguousRevision+1] {
		l.contiguousRevision++
		delete(l.recordedAhead, l.contiguousRevision)
	}
}

// Adopt puts a revision into force. The first revision that a ledger records
// has no former owners. A slot that this host loses gets no new request. A slot
// that it gains is usable after all former owners have released it or are
// confirmed as stopped.
func (l *Ledger) Adopt(assignment *Assignment) {
	if assignment.Revision() <= l.revision {
		return
	}
	isFirst := !l.hasFirstRevision
	l.revision = assignment.Revision()
	l.RecordOwners(assignment)
	for slot, state := range l.slots {
		state.owner = assignment.Owner(slot)
		state.acquired = state.owner == l.host && (state.acquired || isFirst)
	}
	for _, host := range assignment.deployment.Hosts() {
		if host.Stopped() {
			l.removeOwner(host.Name())
		}
	}
	l.formerlyOwned = nil
	for _, state := range l.slots {
		if _, owned := state.lastOwned[l.host]; owned && state.owner != l.host {
			l.formerlyOwned = append(l.formerlyOwned, state)
		}
	}
	slices.SortFunc(l.formerlyOwned, func(a, b *slotState) int {
		return cmp.Or(cmp.Compare(a.slot.Endpoint, b.slot.Endpoint), cmp.Compare(a.slot.Index, b.slot.Index))
	})
}

// removeOwner removes the ownership records of a host that an operator has
// confirmed as stopped.
func (l *Ledger) removeOwner(host model.HostName) {
	for _, state := range l.slots {
		delete(state.lastOwned, host)
	}
}

// RecordRelease records the release of another host, from a peer message or from
// the host's row of the platform table.
func (l *Ledger) RecordRelease(release Release) {
	state := l.stateOf(release.Slot)
	state.released[release.Host] = max(state.released[release.Host], release.Revision)
}

// Releases returns the releases that this host has to announce: for the slots that
// it owned before, does not own now, and on which it has neither a request nor a
// loan.
func (l *Ledger) Releases() []Release {
	if !l.blockedUntil.IsZero() {
		return nil
	}
	var releases []Release
	for _, state := range l.formerlyOwned {
		if state.ticket == 0 && state.loan == nil {
			releases = append(releases, Release{Host: l.host, Slot: state.slot, Revision: l.revision})
		}
	}
	return releases
}

// NewReleases returns the releases that no earlier call has returned.
func (l *Ledger) NewReleases() []Release {
	var unannounced []Release
	for _, release := range l.Releases() {
		if state := l.slots[release.Slot]; state.announced < release.Revision {
			state.announced = release.Revision
			unannounced = append(unannounced, release)
		}
	}
	return unannounced
}

// HasPendingRelease reports whether a slot that this host has lost is still in use,
// so its release is still to be announced.
func (l *Ledger) HasPendingRelease() bool {
	return slices.ContainsFunc(l.formerlyOwned, func(state *slotState) bool { return state.ticket != 0 || state.loan != nil })
}

// OtherOwners returns the hosts that own the other slots of an endpoint.
func (l *Ledger) OtherOwners(endpoint model.EndpointName) []model.HostName {
	var owners []model.HostName
	for _, state := range l.byEndpoint[endpoint] {
		if state.owner != "" && state.owner != l.host && !slices.Contains(owners, state.owner) {
			owners = append(owners, state.owner)
		}
	}
	return owners
}

// canUse reports whether this host may put new requests on a slot. The release of a
// former owner counts only if its revision is newer than the latest revision in
// which that host owned the slot.
//
// Two hosts never use a slot at the same time. Let X use it since it gained the
// slot in revision x, and Y since revision y > x. Y has recorded all revisions
// up to y, so X is a former owner for Y, and Y has X's release for an r > x. X
// made that release under r, in which it does not own the slot, with nothing in
// flight on the slot. A ledger never returns to an older revision, so X no
// longer uses the slot because of revision x. The same holds in the other
// direction. The argument does not depend on clocks or on the list of hosts
// that are alive, so it covers hosts that are isolated with an old revision.
func (l *Ledger) canUse(state *slotState) bool {
	if state.acquired || state.owner != l.host {
		return state.acquired
	}
	if l.contiguousRevision < l.revision {
		return false
	}
	for former, revision := range state.lastOwned {
		if former != l.host && state.released[former] <= revision {
			return false
		}
	}
	state.acquired = true
	return true
}

// stateOf returns the state of a slot. It adds the state if there is none yet.
func (l *Ledger) stateOf(slot Slot) *slotState {
	if existing, exists := l.slots[slot]; exists {
		return existing
	}
	added := &slotState{slot: slot, lastOwned: make(map[model.HostName]uint64), released: make(map[model.HostName]uint64)}
	l.slots[slot] = added
	states := append(l.byEndpoint[slot.Endpoint], added)
	slices.SortFunc(states, func(a, b *slotState) int { return cmp.Compare(a.slot.Index, b.slot.Index) })
	l.byEndpoint[slot.Endpoint] = states
	return added
}
