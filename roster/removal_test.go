package roster

import (
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// removalOf returns the removal of an entry of the endpoint e with sequence 5.
func removalOf(age time.Duration) Removal {
	return Removal{Endpoint: "e", Incarnation: 1, Sequence: 5, Age: age}
}

// Guards against an endpoint that a removal of another host ends although its entry is
// later, and against one that an entry from before the removal makes usable again.
func TestRemovalOfAnotherHostEndsEarlierEntriesOnly(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name     string
		entry    Entry
		isUsable bool
	}{
		{"earlier entry", Entry{Incarnation: 1, Sequence: 4}, false},
		{"last entry", Entry{Incarnation: 1, Sequence: 5}, false},
		{"later entry", Entry{Incarnation: 1, Sequence: 6}, true},
		{"later incarnation", Entry{Incarnation: 2, Sequence: 1}, true},
	} {
		test.entry.Endpoint, test.entry.State, test.entry.Service, test.entry.Zone = "e", Ready, "s", "za"
		t.Run(test.name, func(t *testing.T) {
			for _, isEntryFirst := range []bool{false, true} {
				r := New(map[model.ZoneName]model.RegionName{"za": "north"})
				if isEntryFirst {
					r.Apply(test.entry, now)
				}
				r.ApplyRemoval(removalOf(time.Second), now)
				if !isEntryFirst {
					r.Apply(test.entry, now)
				}
				assert.Equal(t, len(r.Endpoints("s")) == 1, test.isUsable)
			}
		})
	}
}

// Guards against removals that hosts hand on for good, and against ones that a host
// forgets earlier than the others.
func TestRemovalKeepsItsAge(t *testing.T) {
	now := time.Now()
	r := New(nil)
	r.ApplyRemoval(removalOf(20*time.Second), now)
	later := now.Add(removedRetention - 20*time.Second)
	r.Expire(later)
	assert.DeepEqual(t, r.Removals(later), []Removal{removalOf(removedRetention)})
	r.Expire(later.Add(time.Millisecond))
	assert.Equal(t, len(r.Removals(later)), 0)
}

// Guards against an endpoint that left and is usable again by an entry of a store that
// returned from an older copy, and against one that started anew and is not used.
func TestReturnedEntryOfRemovedIncarnationDoesNotCount(t *testing.T) {
	now := time.Now()
	entryOf := func(incarnation int64, sequence uint64) Entry {
		return Entry{Endpoint: "e", State: Ready, Service: "s", Zone: "za", Incarnation: incarnation, Sequence: sequence}
	}
	for _, test := range []struct {
		name               string
		returned, next     Entry
		isUsable, isUsedBy bool
	}{
		{"entry that was not seen", entryOf(1, 45), entryOf(1, 46), false, true},
		{"the same again", entryOf(1, 45), entryOf(1, 45), false, false},
		{"earlier entry", entryOf(1, 3), entryOf(1, 6), false, true},
		{"earlier incarnation", entryOf(0, 45), entryOf(1, 6), false, true},
		{"later incarnation", entryOf(2, 1), entryOf(2, 2), true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(map[model.ZoneName]model.RegionName{"za": "north"})
			r.ApplyRemoval(removalOf(time.Second), now)
			r.ApplyReturned(test.returned, now)
			r.Apply(test.returned, now)
			assert.Equal(t, len(r.Endpoints("s")) == 1, test.isUsable)
			r.Apply(test.next, now)
			assert.Equal(t, len(r.Endpoints("s")) == 1, test.isUsedBy)
		})
	}
}

// Guards against an endpoint that stays in use while it drains, because an entry of a store
// which returned from an older copy passes for its last one.
func TestReturnedEntryChangesNoEndpointInUse(t *testing.T) {
	now := time.Now()
	r := New(map[model.ZoneName]model.RegionName{"za": "north"})
	entry := Entry{Endpoint: "e", State: Ready, Service: "s", Zone: "za", Incarnation: 1, Sequence: 5}
	r.Apply(entry, now)
	returned := entry
	returned.Sequence = 50
	r.ApplyReturned(returned, now)
	assert.Equal(t, len(r.Endpoints("s")), 1)
	entry.Sequence, entry.State = 6, Draining
	assert.Equal(t, r.Apply(entry, now), Left)
}
