package roster

import (
	"net/netip"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

func start() time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) }

func newEntry(name string, state State, sequence uint64, incarnation int64) Entry {
	return Entry{
		Endpoint: model.EndpointName(name), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Zone: "za", Slots: 3, State: state, Sequence: sequence, Incarnation: incarnation,
	}
}

func newRoster() *Roster {
	return New(map[model.ZoneName]model.RegionName{"za": "north", "zb": "south"})
}

// Guards against a late entry that makes an endpoint usable again although it
// drains or was removed.
func TestStaleEntryIsIgnored(t *testing.T) {
	roster := newRoster()
	assert.Equal(t, roster.Apply(newEntry("e", Ready, 5, 1), start()), Added)
	assert.Equal(t, roster.Apply(newEntry("e", Draining, 6, 1), start()), Left)
	assert.Equal(t, roster.Apply(newEntry("e", Ready, 5, 1), start()), Stale)
	assert.Equal(t, len(roster.Endpoints("s")), 0)
	assert.Assert(t, roster.Remove("e", start(), time.Time{}))
	assert.Equal(t, roster.Apply(newEntry("e", Ready, 6, 1), start()), Stale)
	assert.Equal(t, len(roster.Endpoints("s")), 0)
}

// Guards against an endpoint whose entries are ignored for good after another program
// wrote an entry with a very high sequence under its name.
func TestEndpointIsHeardAfterForeignSequence(t *testing.T) {
	roster := newRoster()
	roster.Apply(newEntry("e", Ready, 5, 1), start())
	foreign := newEntry("e", Draining, 1<<53-1, 1)
	assert.Equal(t, roster.Apply(foreign, start()), Left)
	assert.Equal(t, roster.Apply(newEntry("e", Ready, 6, 1), start()), Left)
	assert.Equal(t, len(roster.Endpoints("s")), 1)
	assert.Equal(t, roster.Apply(newEntry("e", Ready, 5, 1), start()), Stale)
}

// Guards against an incarnation of the future, beside which all entries of the endpoint
// itself are old, and against refusing a clock that is ahead by seconds.
func TestIncarnationOfTheFutureIsRecognised(t *testing.T) {
	entry := newEntry("e", Ready, 1, start().Add(20*time.Second).UnixMilli())
	assert.Assert(t, !entry.IsFromFuture(start()))
	entry.Incarnation = start().AddDate(10, 0, 0).UnixMilli()
	assert.Assert(t, entry.IsFromFuture(start()))
}

// Guards against a new incarnation that is ignored because its sequence starts
// again, and against late entries of the old one.
func TestNewIncarnationReplacesOldOne(t *testing.T) {
	roster := newRoster()
	roster.Apply(newEntry("e", Draining, 9, 1), start())
	restarted := newEntry("e", Ready, 1, 2)
	restarted.ColdFor = 3 * time.Second
	assert.Equal(t, roster.Apply(restarted, start()), Added)
	usable := roster.Endpoints("s")
	assert.Equal(t, len(usable), 1)
	assert.Equal(t, usable[0].ColdUntil, start().Add(3*time.Second))
	assert.Equal(t, roster.Apply(newEntry("e", Ready, 20, 1), start()), Stale)
}

// Guards against the removal of running endpoints whose entries expired in an
// outage of the store, and against an endpoint that stays usable without a
// renewed entry.
func TestExpiredEntryHasGracePeriodAfterOutage(t *testing.T) {
	roster := newRoster()
	roster.Apply(newEntry("back", Ready, 5, 1), start())
	roster.Apply(newEntry("lost", Ready, 5, 1), start())
	until := start().Add(2 * time.Second)
	assert.Assert(t, !roster.Remove("back", start(), until))
	assert.Assert(t, !roster.Remove("lost", start(), until))
	assert.Equal(t, len(roster.Endpoints("s")), 2)
	roster.Apply(newEntry("back", Ready, 6, 1), start().Add(time.Second))
	assert.DeepEqual(t, roster.Expire(until), []model.EndpointName{"lost"})
	assert.Equal(t, len(roster.Endpoints("s")), 1)
}

// Guards against requests to an evacuated availability zone.
func TestEvacuatedZoneHasNoEndpoints(t *testing.T) {
	roster := newRoster()
	roster.Apply(newEntry("e", Ready, 5, 1), start())
	assert.Assert(t, roster.SetEvacuated([]model.ZoneName{"za"}))
	assert.Equal(t, len(roster.Endpoints("s")), 0)
	assert.Assert(t, roster.SetEvacuated(nil))
	assert.Equal(t, len(roster.Endpoints("s")), 1)
}

// Guards against a recomputation of all endpoints for each renewed entry.
func TestRenewedEntryIsUnchanged(t *testing.T) {
	roster := newRoster()
	roster.Apply(newEntry("e", Ready, 5, 1), start())
	before := roster.Revision()
	assert.Equal(t, roster.Apply(newEntry("e", Ready, 6, 1), start()), Unchanged)
	assert.Equal(t, roster.Revision(), before)
}

// Guards against a change to cold that is not reported as a change: an endpoint
// can become cold at any time, and other hosts need the change.
func TestColdEndpointIsUpdated(t *testing.T) {
	roster := newRoster()
	roster.Apply(newEntry("e", Ready, 5, 1), start())
	cold := newEntry("e", Ready, 6, 1)
	cold.ColdFor = time.Second
	assert.Equal(t, roster.Apply(cold, start()), Updated)
	assert.Equal(t, roster.Endpoints("s")[0].ColdUntil, start().Add(time.Second))
}
