// Package roster holds the registered endpoints with their incarnation and
// state, and the evacuated availability zones.
package roster

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"filberthold/model"
)

// State is the state that an endpoint reports.
type State int

const (
	// Ready endpoints accept requests.
	Ready State = iota + 1
	// Draining endpoints accept no new requests.
	Draining
)

// String returns the text form for logs.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Entry is the registration of an endpoint, which the endpoint writes to the
// store and renews periodically.
type Entry struct {
	Endpoint model.EndpointName
	Service  model.ServiceName
	Address  netip.AddrPort
	Zone     model.ZoneName
	// Slots is the number of requests that the endpoint executes at the same
	// time.
	Slots int
	State State
	// ColdFor is how much longer the endpoint stays cold.
	ColdFor time.Duration
	// Sequence increases with each entry that an incarnation writes.
	Sequence uint64
	// Incarnation identifies the incarnation by its start time in Unix
	// milliseconds.
	Incarnation int64
}

// Endpoint is a usable endpoint.
type Endpoint struct {
	Name        model.EndpointName
	Service     model.ServiceName
	Address     netip.AddrPort
	Zone        model.ZoneName
	Region      model.RegionName
	Slots       int
	Incarnation int64
	// ColdUntil is the time until which the endpoint is cold.
	ColdUntil time.Time
}

// record is the latest entry of an endpoint with the state that the roster keeps
// for it.
type record struct {
	entry Entry
	// coldUntil is the time until which the endpoint is cold, by the entry of this
	// incarnation that gave the latest end.
	coldUntil time.Time
	// isRemoved is true after the entry was removed. The record is kept for
	// removedRetention, so that a late entry of the same incarnation does not make
	// the endpoint usable again.
	isRemoved bool
	removedAt time.Time
	// graceUntil is the end of the grace period of an entry that expired in an
	// outage of the store. A running endpoint renews its entry before then.
	graceUntil time.Time
}

// removedRetention is how long the records of removed entries are kept.
const removedRetention = 60 * time.Second

// Roster is the set of registered endpoints. It is not safe for concurrent use.
type Roster struct {
	regions   map[model.ZoneName]model.RegionName
	records   map[model.EndpointName]*record
	evacuated map[model.ZoneName]bool
	// revision increases whenever the result of Endpoints may have changed.
	revision uint64
}

// New returns an empty roster for the given availability zones.
func New(regions map[model.ZoneName]model.RegionName) *Roster {
	return &Roster{
		regions:   maps.Clone(regions),
		records:   make(map[model.EndpointName]*record),
		evacuated: make(map[model.ZoneName]bool),
	}
}

// Revision returns a number that increases whenever the result of Endpoints may
// have changed.
func (r *Roster) Revision() uint64 { return r.revision }

// Change is how an entry changed the roster.
type Change int

const (
	// Unchanged means that the entry only renewed the previous one.
	Unchanged Change = iota
	// Added means that a ready endpoint or incarnation is new or was removed
	// before.
	Added
	// Left means that the state of the endpoint changed, usually to Draining, or
	// that a new or previously removed endpoint or incarnation is draining.
	Left
	// Stale means that the entry is older than the previous one and was ignored.
	Stale
	// Updated means that another property changed.
	Updated
)

// Apply applies an entry and returns how it changed the roster.
func (r *Roster) Apply(entry Entry, now time.Time) Change {
	previous := r.records[entry.Endpoint]
	if previous != nil && isOlder(entry, previous) {
		return Stale
	}
	added := &record{entry: entry}
	if entry.ColdFor > 0 {
		added.coldUntil = now.Add(entry.ColdFor)
	}
	if previous != nil && previous.entry.Incarnation == entry.Incarnation && previous.coldUntil.After(added.coldUntil) {
		added.coldUntil = previous.coldUntil
	}
	change := changeOf(previous, added)
	if change != Unchanged {
		r.revision++
	}
	r.records[entry.Endpoint] = added
	return change
}

// maxLateEntries is how many entries a late write of an endpoint may be behind the last
// one. An endpoint writes about one entry a second, and a write that got no response is
// performed within seconds. A record further ahead was not written by the endpoint.
const maxLateEntries = 1000

// maxClockLead is how far the start of an incarnation may be in the future, by the
// clock of this host. The clocks of hosts and endpoints differ by seconds.
const maxClockLead = time.Hour

// IsFromFuture reports whether the start of the entry's incarnation is in the future.
// Another program wrote such an entry. It must not be applied, because all entries of
// the endpoint itself would be older.
func (e Entry) IsFromFuture(now time.Time) bool {
	return time.UnixMilli(e.Incarnation).After(now.Add(maxClockLead))
}

// isOlder reports whether an entry is older than the record. The last entry of a
// removed incarnation is older too: it does not make the endpoint usable again.
func isOlder(entry Entry, previous *record) bool {
	if entry.Incarnation != previous.entry.Incarnation {
		return entry.Incarnation < previous.entry.Incarnation
	}
	if previous.entry.Sequence > entry.Sequence+maxLateEntries {
		return false
	}
	if previous.isRemoved {
		return entry.Sequence <= previous.entry.Sequence
	}
	return entry.Sequence < previous.entry.Sequence
}

// changeOf returns how a record with an entry that is not older changes the previous
// one. It compares the ends of the cold times and not the times that the entries state:
// these count down, and a host that receives only changes has not seen the entries
// between. Any later end is a change: a tolerance here would add up with that of each host
// which relays the entry. An entry takes some time to arrive, so a renewal can be a change
// too.
func changeOf(previous, next *record) Change {
	entry := next.entry
	switch {
	case previous == nil || previous.isRemoved || previous.entry.Incarnation != entry.Incarnation:
		if entry.State == Draining {
			return Left
		}
		return Added
	case entry.State != previous.entry.State:
		return Left
	case entry.Address != previous.entry.Address, entry.Service != previous.entry.Service, entry.Slots != previous.entry.Slots, entry.Zone != previous.entry.Zone,
		next.coldUntil.After(previous.coldUntil):
		return Updated
	}
	return Unchanged
}

// Remove records that the entry of an endpoint was removed from the store, and
// reports whether the endpoint was removed from the roster. Until graceUntil the
// endpoint stays usable, because its entry may have expired only because of an
// outage of the store.
func (r *Roster) Remove(name model.EndpointName, now, graceUntil time.Time) bool {
	current := r.records[name]
	if current == nil || current.isRemoved {
		return false
	}
	if now.Before(graceUntil) {
		current.graceUntil = graceUntil
		return false
	}
	current.isRemoved = true
	current.removedAt = now
	r.revision++
	return true
}

// Expire removes the endpoints whose entry was not renewed in the grace period
// after an outage, and returns their names. It deletes the records of entries
// that were removed longer than removedRetention ago.
func (r *Roster) Expire(now time.Time) []model.EndpointName {
	var expired []model.EndpointName
	for name, current := range r.records {
		switch {
		case current.isRemoved && now.Sub(current.removedAt) > removedRetention:
			delete(r.records, name)
		case !current.isRemoved && !current.graceUntil.IsZero() && !now.Before(current.graceUntil):
			r.Remove(name, now, time.Time{})
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	return expired
}

// Evict removes an endpoint on evidence other than the store, such as a
// response of another endpoint at its address.
func (r *Roster) Evict(name model.EndpointName, now time.Time) {
	r.Remove(name, now, time.Time{})
}

// SetEvacuated replaces the set of evacuated availability zones and reports
// whether it changed.
func (r *Roster) SetEvacuated(zones []model.ZoneName) bool {
	next := make(map[model.ZoneName]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	if maps.Equal(next, r.evacuated) {
		return false
	}
	r.evacuated = next
	r.revision++
	return true
}

// Endpoints returns the usable endpoints of a service by name: those that are
// ready and not in an evacuated availability zone.
func (r *Roster) Endpoints(service model.ServiceName) []Endpoint {
	var usable []Endpoint
	for name, current := range r.records {
		if current.isRemoved || current.entry.State != Ready || current.entry.Service != service || r.evacuated[current.entry.Zone] {
			continue
		}
		usable = append(usable, Endpoint{
			Name: name, Service: service, Address: current.entry.Address, Zone: current.entry.Zone,
			Region: r.regions[current.entry.Zone], Slots: current.entry.Slots, Incarnation: current.entry.Incarnation,
			ColdUntil: current.coldUntil,
		})
	}
	slices.SortFunc(usable, func(a, b Endpoint) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return usable
}
