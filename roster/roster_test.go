package roster

import (
	"net/netip"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

func start() time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) }

func entry(name string, state State, sequence uint64, born int64) Entry {
	return Entry{
		Endpoint: model.EndpointName(name), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Zone: "za", Slots: 3, State: state, Sequence: sequence, Incarnation: born,
	}
}

func newRoster() *Roster {
	return New(map[model.ZoneName]model.RegionName{"za": "north", "zb": "south"})
}

// Reports may arrive late; an old one must not bring an endpoint back that
// drains or is gone.
func TestOldReportsChangeNothing(t *testing.T) {
	known := newRoster()
	assert.Equal(t, known.Apply(entry("e", Ready, 5, 1), start()), Added)
	assert.Equal(t, known.Apply(entry("e", Draining, 6, 1), start()), Left)
	assert.Equal(t, known.Apply(entry("e", Ready, 5, 1), start()), Stale)
	assert.Equal(t, len(known.Endpoints("s")), 0)
	assert.Assert(t, known.Remove("e", start(), time.Time{}))
	assert.Equal(t, known.Apply(entry("e", Ready, 6, 1), start()), Stale)
	assert.Equal(t, len(known.Endpoints("s")), 0)
}

func TestNewIncarnationReplacesOldOne(t *testing.T) {
	known := newRoster()
	known.Apply(entry("e", Draining, 9, 1), start())
	again := entry("e", Ready, 1, 2)
	again.ColdFor = 3 * time.Second
	assert.Equal(t, known.Apply(again, start()), Added)
	usable := known.Endpoints("s")
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, usable[0].ColdUntil, start().Add(3*time.Second))
	assert.Equal(t, known.Apply(entry("e", Ready, 20, 1), start()), Stale)
}

// Entries lapse while the store is away although the endpoints live.
func TestLapsedEntriesComeBackAfterOutage(t *testing.T) {
	known := newRoster()
	known.Apply(entry("back", Ready, 5, 1), start())
	known.Apply(entry("lost", Ready, 5, 1), start())
	until := start().Add(2 * time.Second)
	assert.Assert(t, !known.Remove("back", start(), until))
	assert.Assert(t, !known.Remove("lost", start(), until))
	assert.Equal(t, len(known.Endpoints("s")), 2)
	known.Apply(entry("back", Ready, 6, 1), start().Add(time.Second))
	assert.DeepEqual(t, known.Expire(until), []model.EndpointName{"lost"})
	assert.Equal(t, len(known.Endpoints("s")), 1)
}

func TestEvacuatedZoneHasNoEndpoints(t *testing.T) {
	known := newRoster()
	known.Apply(entry("e", Ready, 5, 1), start())
	assert.Assert(t, known.SetEvacuated([]model.ZoneName{"za"}))
	assert.Equal(t, len(known.Endpoints("s")), 0)
	assert.Assert(t, known.SetEvacuated(nil))
	assert.Equal(t, len(known.Endpoints("s")), 1)
}

func TestHeartbeatsDoNotCountAsChanges(t *testing.T) {
	known := newRoster()
	known.Apply(entry("e", Ready, 5, 1), start())
	before := known.Revision()
	assert.Equal(t, known.Apply(entry("e", Ready, 6, 1), start()), Unchanged)
	assert.Equal(t, known.Revision(), before)
}

// An endpoint may turn cold at any moment; other hosts have to learn of it.
func TestColdReturnIsAChange(t *testing.T) {
	known := newRoster()
	known.Apply(entry("e", Ready, 5, 1), start())
	cold := entry("e", Ready, 6, 1)
	cold.ColdFor = time.Second
	assert.Equal(t, known.Apply(cold, start()), Updated)
	assert.Equal(t, known.Endpoints("s")[0].ColdUntil, start().Add(time.Second))
}
