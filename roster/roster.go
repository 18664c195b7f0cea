// Package roster holds what a host knows of the endpoints: which exist, in
// which incarnation and state, and which availability zones are evacuated.
package roster

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"filberthold/model"
)

// State is what an endpoint says of itself.
type State int

const (
	// Ready endpoints take requests.
	Ready State = iota + 1
	// Draining endpoints take no new requests.
	Draining
)

// String returns the text form for logs.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Entry is one report of an endpoint about itself.
type Entry struct {
	Endpoint model.EndpointName
	Service  model.ServiceName
	Address  netip.AddrPort
	Zone     model.ZoneName
	// Slots is the number of requests that the endpoint executes at a time.
	Slots int
	State State
	// ColdFor is how much longer the endpoint stays cold.
	ColdFor time.Duration
	// Sequence rises with each report of an incarnation.
	Sequence uint64
	// Incarnation is the start of the incarnation in Unix milliseconds.
	Incarnation int64
}

// Endpoint is the present knowledge of an endpoint.
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

// record is an entry with what the roster adds to it.
type record struct {
	entry     Entry
	coldUntil time.Time
	// isGone is true after the entry was removed. The record stays for a while,
	// so that a late report of the same incarnation does not bring it back.
	isGone bool
	goneAt time.Time
	// doubtUntil is set while the entry is missing after an outage of the
	// store; an endpoint that is alive renews its entry by then.
	doubtUntil time.Time
}

// goneMemory is how long removed entries are remembered.
const goneMemory = 60 * time.Second

// Roster is the set of known endpoints. It is not safe for concurrent use.
type Roster struct {
	regions   map[model.ZoneName]model.RegionName
	records   map[model.EndpointName]*record
	evacuated map[model.ZoneName]bool
	// revision rises with each change of what Endpoints returns.
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

// Revision rises with each change of the endpoints that may be used.
func (r *Roster) Revision() uint64 { return r.revision }

// Change is how a report changed the roster.
type Change int

const (
	// Unchanged means that the report only renewed what was known.
	Unchanged Change = iota
	// Added means that an endpoint or a new incarnation became known.
	Added
	// Left means that an endpoint began to drain or is gone.
	Left
	// Stale means that the report is older than what is known.
	Stale
	// Updated means that another property changed.
	Updated
)

// Apply takes in a report of an endpoint.
func (r *Roster) Apply(entry Entry, now time.Time) Change {
	known := r.records[entry.Endpoint]
	if known != nil && isOlder(entry, known) {
		return Stale
	}
	change := changeOf(known, entry)
	next := &record{entry: entry}
	if entry.ColdFor > 0 {
		next.coldUntil = now.Add(entry.ColdFor)
	}
	r.records[entry.Endpoint] = next
	if change != Unchanged {
		r.revision++
	}
	return change
}

// isOlder reports whether a report tells nothing newer than the record. A
// removed incarnation does not come back with the report that it had.
func isOlder(entry Entry, known *record) bool {
	if entry.Incarnation != known.entry.Incarnation {
		return entry.Incarnation < known.entry.Incarnation
	}
	if known.isGone {
		return entry.Sequence <= known.entry.Sequence
	}
	return entry.Sequence < known.entry.Sequence
}

func changeOf(known *record, entry Entry) Change {
	switch {
	case known == nil || known.isGone || known.entry.Incarnation != entry.Incarnation:
		if entry.State == Draining {
			return Left
		}
		return Added
	case entry.State != known.entry.State:
		return Left
	case entry.Address != known.entry.Address, entry.Service != known.entry.Service, entry.Slots != known.entry.Slots, entry.Zone != known.entry.Zone,
		entry.ColdFor > known.entry.ColdFor:
		return Updated
	}
	return Unchanged
}

// Remove takes in that the entry of an endpoint was removed. While doubtUntil
// lies ahead the endpoint stays usable: its entry may have lapsed only because
// the store was away.
func (r *Roster) Remove(name model.EndpointName, now, doubtUntil time.Time) bool {
	known := r.records[name]
	if known == nil || known.isGone {
		return false
	}
	if now.Before(doubtUntil) {
		known.doubtUntil = doubtUntil
		return false
	}
	known.isGone = true
	known.goneAt = now
	r.revision++
	return true
}

// Expire drops endpoints whose entry did not come back after an outage and
// returns their names. It forgets old removals.
func (r *Roster) Expire(now time.Time) []model.EndpointName {
	var dropped []model.EndpointName
	for name, known := range r.records {
		switch {
		case known.isGone && now.Sub(known.goneAt) > goneMemory:
			delete(r.records, name)
		case !known.isGone && !known.doubtUntil.IsZero() && !now.Before(known.doubtUntil):
			r.Remove(name, now, time.Time{})
			dropped = append(dropped, name)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// MarkGone drops an incarnation on evidence other than the store, such as an
// answer of another endpoint at its address.
func (r *Roster) MarkGone(name model.EndpointName, now time.Time) {
	r.Remove(name, now, time.Time{})
}

// SetEvacuated replaces the set of evacuated availability zones.
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

// Endpoints returns the endpoints of a service that may be used, by name.
func (r *Roster) Endpoints(service model.ServiceName) []Endpoint {
	var usable []Endpoint
	for name, known := range r.records {
		if known.isGone || known.entry.State != Ready || known.entry.Service != service || r.evacuated[known.entry.Zone] {
			continue
		}
		usable = append(usable, Endpoint{
			Name: name, Service: service, Address: known.entry.Address, Zone: known.entry.Zone,
			Region: r.regions[known.entry.Zone], Slots: known.entry.Slots, Incarnation: known.entry.Incarnation,
			ColdUntil: known.coldUntil,
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
