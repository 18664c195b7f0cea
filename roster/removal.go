package roster

import (
	"cmp"
	"slices"
	"time"

	"filberthold/model"
)

// Removal is what a host remembers of an entry that was removed. A host that starts gets
// it from another one, because the store may have returned from a copy with the entry.
type Removal struct {
	Endpoint model.EndpointName `cbor:"1,keyasint"`
	// Incarnation and Sequence are those of the last entry.
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Age is the time since the removal.
	Age time.Duration `cbor:"4,keyasint"`
}

// Removals returns the removals that the roster remembers, by name.
func (r *Roster) Removals(now time.Time) []Removal {
	var removals []Removal
	for name, current := range r.records {
		if !current.isRemoved {
			continue
		}
		removals = append(removals, Removal{
			Endpoint: name, Incarnation: current.entry.Incarnation, Sequence: current.entry.Sequence, Age: now.Sub(current.removedAt),
		})
	}
	slices.SortFunc(removals, func(a, b Removal) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return removals
}

// ApplyRemoval applies a removal that another host remembers, unless the roster has a
// later entry of the endpoint. Entries up to the last one before the removal do not make
// the endpoint usable again.
func (r *Roster) ApplyRemoval(removal Removal, now time.Time) {
	last := Entry{Endpoint: removal.Endpoint, Incarnation: removal.Incarnation, Sequence: removal.Sequence}
	if previous := r.records[removal.Endpoint]; previous != nil && isOlder(last, previous) {
		return
	}
	r.records[removal.Endpoint] = &record{entry: last, isRemoved: true, removedAt: now.Add(-removal.Age)}
	r.revision++
}

// ApplyReturned applies an entry of an endpoint that was removed, from a store that
// returned from an older copy. The entry may be one from before the removal, also if the
// roster has not seen it. The endpoint is usable again after a later entry only. A later
// incarnation than the removed one is not affected.
func (r *Roster) ApplyReturned(entry Entry, now time.Time) {
	current := r.records[entry.Endpoint]
	if current == nil {
		r.records[entry.Endpoint] = &record{entry: entry, isRemoved: true, removedAt: now}
		return
	}
	if current.isRemoved && current.entry.Incarnation == entry.Incarnation && entry.Sequence > current.entry.Sequence {
		current.entry.Sequence = entry.Sequence
	}
}
