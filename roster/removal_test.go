package roster

import (
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

func removalOf(sequence uint64, age time.Duration) Removal {
	return Removal{Endpoint: "e", Incarnation: 1, Sequence: sequence, Age: age}
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
				r.ApplyRemoval(removalOf(5, time.Second), now)
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
	r.ApplyRemoval(removalOf(5, 20*time.Second), now)
	later := now.Add(removedRetention - 20*time.Second)
	r.Expire(later)
	assert.DeepEqual(t, r.Removals(later), []Removal{removalOf(5, removedRetention)})
	r.Expire(later.Add(time.Millisecond))
	assert.Equal(t, len(r.Removals(later)), 0)
}
