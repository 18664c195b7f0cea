package member

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

func start() time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) }

func hello(host, zone, region string) Heartbeat {
	return Heartbeat{
		Host: model.HostName(host), Zone: model.ZoneName(zone), Region: model.RegionName(region), Incarnation: 1,
		IP: netip.MustParseAddr("10.0.0.1"), CallerAddress: host + ":80", IsReady: true, IsStoreReachable: true,
	}
}

// A lookup response must not name a host that has died or leaves.
func TestSilentAndLeavingHostsAreNotAlive(t *testing.T) {
	table := NewTable("self")
	assert.Assert(t, table.Observe(hello("a", "za", "north"), start()))
	assert.Assert(t, !table.Observe(hello("a", "za", "north"), start()))
	assert.Equal(t, len(table.Alive(start())), 1)
	assert.Equal(t, len(table.Alive(start().Add(missedHellos*defaultInterval+lateness))), 0)
	leaving := hello("a", "za", "north")
	leaving.IsLeaving = true
	assert.Assert(t, table.Observe(leaving, start()))
	// A hello from before may arrive after it.
	table.Observe(hello("a", "za", "north"), start())
	assert.Equal(t, len(table.Alive(start())), 0)
	again := hello("a", "za", "north")
	again.Incarnation = 2
	assert.Assert(t, table.Observe(again, start()))
	assert.Equal(t, len(table.Alive(start())), 1)
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	table := NewTable("self")
	again := hello("a", "za", "north")
	again.Incarnation = 2
	table.Observe(again, start())
	late := hello("a", "zb", "south")
	assert.Assert(t, !table.Observe(late, start()))
	assert.Equal(t, table.Alive(start())[0].Zone, model.ZoneName("za"))
}

// Hosts that start while the store is down find each other through the
// addresses that others name.
func TestPeersOfPeersAreContacted(t *testing.T) {
	table := NewTable("self")
	naming := hello("a", "za", "north")
	naming.Peers = []netip.Addr{netip.MustParseAddr("10.0.0.9")}
	table.Observe(naming, start())
	found := table.Addresses(start())
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[1], netip.MustParseAddr("10.0.0.9"))
	assert.Equal(t, len(table.Addresses(start().Add(forgetting+time.Second))), 0)
}

func TestNearest(t *testing.T) {
	unready := hello("d", "za", "north")
	unready.IsReady = false
	hosts := []Heartbeat{hello("a", "za", "north"), hello("b", "zb", "north"), hello("c", "zc", "south"), unready}
	tests := map[string]struct {
		zone, region string
		least        int
		want         []string
	}{
		"the zone has enough":           {"za", "north", 1, []string{"a"}},
		"the region makes up":           {"za", "north", 2, []string{"a", "b"}},
		"no host in the region":         {"zx", "west", 2, []string{"a", "b", "c"}},
		"one host in the whole region":  {"zc", "south", 2, []string{"c"}},
		"another zone of the same area": {"zx", "north", 2, []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, host := range Nearest(hosts, model.ZoneName(test.zone), model.RegionName(test.region), test.least) {
				got = append(got, string(host.Host))
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Hosts that see the same hosts must agree on the reader, and a host that the
// store turns away must not be it.
func TestStoreReader(t *testing.T) {
	hosts := []Heartbeat{hello("a", "za", "north"), hello("b", "zb", "north"), hello("c", "zc", "south")}
	reader, exists := StoreReader(hosts, "north")
	assert.Assert(t, exists)
	reversed, _ := StoreReader([]Heartbeat{hosts[1], hosts[0]}, "north")
	assert.Equal(t, reader.Host, reversed.Host)
	for i := range hosts {
		if hosts[i].Host == reader.Host {
			hosts[i].IsStoreReachable = false
		}
	}
	other, exists := StoreReader(hosts, "north")
	assert.Assert(t, exists && other.Host != reader.Host)
	_, exists = StoreReader(hosts, "west")
	assert.Assert(t, !exists)
	sources := Sources(hello("d", "zc", "south"), hosts)
	assert.Equal(t, sources[0].Host, model.HostName("c"))
	assert.Equal(t, sources[1].Host, other.Host)
	assert.Equal(t, len(Sources(hosts[2], hosts[:2])), 0)
}

// Guards against hosts that all read the store at once, and against hosts that
// wait for a reader although they know nothing new.
func TestShouldReadStore(t *testing.T) {
	one, two := hello("a", "za", "north"), hello("b", "zb", "north")
	reader, _ := StoreReader([]Heartbeat{one, two}, "north")
	follower := one
	if reader.Host == one.Host {
		follower = two
	}
	early := ReadConditions{IsFirstStart: true, SinceStart: acquaintance - 1, IsStale: true}
	waiting := ReadConditions{IsFirstStart: true, SinceStart: firstReading - 1, IsStale: true}
	turnedAway := follower
	turnedAway.IsStoreReachable = false
	cases := []struct {
		name      string
		self      Heartbeat
		others    []Heartbeat
		situation ReadConditions
		want      bool
	}{
		{"the reader", reader, []Heartbeat{follower}, ReadConditions{}, true},
		{"a follower", follower, []Heartbeat{reader}, ReadConditions{}, false},
		{"a follower that learns nothing", follower, []Heartbeat{reader}, ReadConditions{IsStale: true}, true},
		{"a host that the store turns away", turnedAway, []Heartbeat{reader}, ReadConditions{}, true},
		{"a host without others", follower, nil, ReadConditions{}, true},
		{"a host without others at the first moment", follower, nil, early, false},
		{"a follower while the first reader reads", follower, []Heartbeat{reader}, waiting, false},
		{"the first reader", reader, []Heartbeat{follower}, waiting, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, ShouldReadStore(test.self, test.others, test.situation), test.want)
		})
	}
}

// With 65 hosts each says hello less often than the fixed time after which a
// silent host counted as dead, so that all hosts came and went all the time.
func TestRareHellosKeepAHostAlive(t *testing.T) {
	table := NewTable("self")
	rare := hello("a", "za", "north")
	rare.Interval = time.Second
	table.Observe(rare, start())
	assert.Equal(t, len(table.Alive(start().Add(3*time.Second))), 1)
	assert.Equal(t, len(table.Alive(start().Add(5*time.Second))), 0)
}

func TestOtherMessagesKeepAHostAlive(t *testing.T) {
	table := NewTable("self")
	table.Observe(hello("a", "za", "north"), start())
	table.Touch("a", 1, start().Add(time.Second))
	assert.Equal(t, len(table.Alive(start().Add(2*time.Second))), 1)
	// A host that was silent for too long has to say hello again.
	table.Touch("a", 1, start().Add(time.Minute))
	assert.Equal(t, len(table.Alive(start().Add(time.Minute))), 0)
}

// Guards against a store that meets all hosts at once when it comes back: 78
// hosts made about 500 calls a second while it was away.
func TestHostsOfARegionProbeInTurn(t *testing.T) {
	const hosts = 227
	var all []Heartbeat
	for i := range hosts {
		all = append(all, hello(fmt.Sprint("h-", i), "za", "north"))
	}
	calls, shortest := 0.0, time.Hour
	for i, one := range all {
		pause := ProbeInterval(one, slices.Concat(all[:i], all[i+1:], []Heartbeat{hello("far", "zc", "south")}))
		calls += 1 / pause.Seconds()
		shortest = min(shortest, pause)
	}
	assert.Equal(t, shortest, firstProbe)
	assert.Assert(t, calls < 100, "%.0f calls a second", calls)
}

// Guards against a host that is never heard again: it restarted with its clock
// set back, so that its incarnation is lower than the one that others know.
func TestHostWithItsClockSetBackIsHeard(t *testing.T) {
	table := NewTable("self")
	leaving := hello("a", "za", "north")
	leaving.Incarnation, leaving.IsLeaving = 5000, true
	table.Observe(leaving, start())
	restarted := hello("a", "za", "north")
	restarted.Incarnation = 4000
	now := start()
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		table.Touch("a", restarted.Incarnation, now)
		table.Observe(restarted, now)
	}
	alive := table.Alive(now)
	assert.Equal(t, len(alive), 1)
	assert.Equal(t, alive[0].Incarnation, restarted.Incarnation)
}
