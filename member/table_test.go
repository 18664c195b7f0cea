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

func newHeartbeat(host, zone, region string) Heartbeat {
	return Heartbeat{
		Host: model.HostName(host), Zone: model.ZoneName(zone), Region: model.RegionName(region), Incarnation: 1,
		IP: netip.MustParseAddr("10.0.0.1"), CallerAddress: host + ":80", IsReady: true, IsStoreReachable: true,
	}
}

// Guards against a lookup response with a host that has crashed or is leaving.
func TestExpiredAndLeavingHostsAreNotAlive(t *testing.T) {
	table := NewTable("self")
	assert.Assert(t, table.Observe(newHeartbeat("a", "za", "north"), start()))
	assert.Assert(t, !table.Observe(newHeartbeat("a", "za", "north"), start()))
	assert.Equal(t, len(table.Alive(start())), 1)
	assert.Equal(t, len(table.Alive(start().Add(missedHeartbeats*defaultInterval+heartbeatDelay))), 0)
	leaving := newHeartbeat("a", "za", "north")
	leaving.IsLeaving = true
	assert.Assert(t, table.Observe(leaving, start()))
	// A heartbeat that was sent before this one may arrive after it.
	table.Observe(newHeartbeat("a", "za", "north"), start())
	assert.Equal(t, len(table.Alive(start())), 0)
	restarted := newHeartbeat("a", "za", "north")
	restarted.Incarnation = 2
	assert.Assert(t, table.Observe(restarted, start()))
	assert.Equal(t, len(table.Alive(start())), 1)
}

// Guards against a late heartbeat that replaces that of a newer incarnation.
func TestOldIncarnationIsIgnored(t *testing.T) {
	table := NewTable("self")
	restarted := newHeartbeat("a", "za", "north")
	restarted.Incarnation = 2
	table.Observe(restarted, start())
	late := newHeartbeat("a", "zb", "south")
	assert.Assert(t, !table.Observe(late, start()))
	assert.Equal(t, table.Alive(start())[0].Zone, model.ZoneName("za"))
}

// Guards against hosts that do not discover each other when they start in an
// outage of the store: they use the peer addresses in heartbeats.
func TestPeerAddressesInHeartbeatAreAdded(t *testing.T) {
	table := NewTable("self")
	heartbeat := newHeartbeat("a", "za", "north")
	heartbeat.Peers = []netip.Addr{netip.MustParseAddr("10.0.0.9")}
	table.Observe(heartbeat, start())
	found := table.Addresses(start())
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[1], netip.MustParseAddr("10.0.0.9"))
	assert.Equal(t, len(table.Addresses(start().Add(addressExpiry+time.Second))), 0)
}

// Guards against a caller that gets hosts in another zone or region although
// there are enough nearby, or that gets none.
func TestNearestPrefersZoneThenRegion(t *testing.T) {
	unready := newHeartbeat("d", "za", "north")
	unready.IsReady = false
	hosts := []Heartbeat{newHeartbeat("a", "za", "north"), newHeartbeat("b", "zb", "north"), newHeartbeat("c", "zc", "south"), unready}
	tests := map[string]struct {
		zone, region string
		minimum      int
		want         []string
	}{
		"enough hosts in the zone":  {"za", "north", 1, []string{"a"}},
		"too few hosts in the zone": {"za", "north", 2, []string{"a", "b"}},
		"no host in the region":     {"zx", "west", 2, []string{"a", "b", "c"}},
		"one host in the region":    {"zc", "south", 2, []string{"c"}},
		"no host in the zone":       {"zx", "north", 2, []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, host := range Nearest(hosts, model.ZoneName(test.zone), model.RegionName(test.region), test.minimum) {
				got = append(got, string(host.Host))
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Guards against lookups of a large region that all name the same hosts, because an
// answer holds fewer hosts than there are.
func TestLimitNamesAllHostsEquallyOften(t *testing.T) {
	var hosts []Heartbeat
	for i := range 171 {
		hosts = append(hosts, newHeartbeat(fmt.Sprint("h", i), "za", "north"))
	}
	counts := make(map[model.HostName]int)
	for turn := range uint64(171) {
		limited := Limit(hosts, 64, turn)
		assert.Equal(t, len(limited), 64)
		for _, host := range limited {
			counts[host.Host]++
		}
	}
	for _, host := range hosts {
		assert.Equal(t, counts[host.Host], 64)
	}
	assert.Equal(t, len(Limit(hosts[:3], 64, 5)), 3)
}

// Guards against hosts with the same list of hosts that elect different store
// readers, and against a reader that cannot reach the store.
func TestSameHostsElectSameStoreReader(t *testing.T) {
	hosts := []Heartbeat{newHeartbeat("a", "za", "north"), newHeartbeat("b", "zb", "north"), newHeartbeat("c", "zc", "south")}
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
	sources := Sources(newHeartbeat("d", "zc", "south"), hosts)
	assert.Equal(t, sources[0].Host, model.HostName("c"))
	assert.Equal(t, sources[1].Host, other.Host)
	assert.Equal(t, len(Sources(hosts[2], hosts[:2])), 0)
}

// Guards against a host that starts while the store serves no host and follows one that
// has no data either, or that is far although a near one has it.
func TestHoldersAreReadyAndNearestFirst(t *testing.T) {
	unready := newHeartbeat("c", "za", "north")
	unready.IsReady = false
	hosts := []Heartbeat{newHeartbeat("a", "zc", "south"), newHeartbeat("b", "zb", "north"), unready}
	holders := Holders(newHeartbeat("self", "za", "north"), hosts)
	assert.Equal(t, len(holders), 2)
	assert.Equal(t, holders[0].Host, model.HostName("b"))
	assert.Equal(t, holders[1].Host, model.HostName("a"))
}

// Guards against a configuration that arrives late at a whole region because the host
// that sends it to all others has the smallest link.
func TestStoreReaderHasLargestLink(t *testing.T) {
	var hosts []Heartbeat
	for i := range 20 {
		host := Heartbeat{Host: model.HostName(fmt.Sprint("h", i)), Region: "north", IsStoreReachable: true, LinkMbps: 10}
		if i == 7 || i == 13 {
			host.LinkMbps = 200
		}
		hosts = append(hosts, host)
	}
	reader, _ := StoreReader(hosts, "north")
	assert.Equal(t, reader.LinkMbps, 200.0)
	first := reader.Host
	hosts = slices.DeleteFunc(hosts, func(host Heartbeat) bool { return host.Host == first })
	reader, _ = StoreReader(hosts, "north")
	assert.Equal(t, reader.LinkMbps, 200.0)
	// The other host with a large link follows first if the reader fails.
	assert.Equal(t, ProbeInterval(reader, hosts), minProbeInterval)
}

// Guards against hosts that all read the store at the same time, and against
// hosts that wait for a reader although their data is stale.
func TestShouldReadStore(t *testing.T) {
	one, two := newHeartbeat("a", "za", "north"), newHeartbeat("b", "zb", "north")
	reader, _ := StoreReader([]Heartbeat{one, two}, "north")
	follower := one
	if reader.Host == one.Host {
		follower = two
	}
	early := ReadConditions{IsFirstStart: true, SinceStart: discoveryWait - 1, IsStale: true}
	waiting := ReadConditions{IsFirstStart: true, SinceStart: firstReadWait - 1, IsStale: true}
	unreachable := follower
	unreachable.IsStoreReachable = false
	cases := []struct {
		name       string
		self       Heartbeat
		others     []Heartbeat
		conditions ReadConditions
		want       bool
	}{
		{"the reader", reader, []Heartbeat{follower}, ReadConditions{}, true},
		{"a follower", follower, []Heartbeat{reader}, ReadConditions{}, false},
		{"a follower with stale data", follower, []Heartbeat{reader}, ReadConditions{IsStale: true}, true},
		{"a host that cannot reach the store", unreachable, []Heartbeat{reader}, ReadConditions{}, true},
		{"a host without others", follower, nil, ReadConditions{}, true},
		{"a host without others right after its first start", follower, nil, early, false},
		{"a follower while the first reader reads", follower, []Heartbeat{reader}, waiting, false},
		{"the first reader", reader, []Heartbeat{follower}, waiting, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, ShouldReadStore(test.self, test.others, test.conditions), test.want)
		})
	}
}

// Guards against alive hosts that expire over and over. With 65 hosts the
// heartbeat interval exceeded the fixed time after which a host expired.
func TestLongHeartbeatIntervalKeepsHostAlive(t *testing.T) {
	table := NewTable("self")
	heartbeat := newHeartbeat("a", "za", "north")
	heartbeat.Interval = time.Second
	table.Observe(heartbeat, start())
	assert.Equal(t, len(table.Alive(start().Add(3*time.Second))), 1)
	assert.Equal(t, len(table.Alive(start().Add(5*time.Second))), 0)
}

// Guards against a host that expires although its other messages arrive, and
// against an expired host that such a message makes alive again.
func TestOtherMessagesKeepHostAlive(t *testing.T) {
	table := NewTable("self")
	table.Observe(newHeartbeat("a", "za", "north"), start())
	table.Touch("a", 1, start().Add(time.Second))
	assert.Equal(t, len(table.Alive(start().Add(2*time.Second))), 1)
	// An expired host has to send a heartbeat again.
	table.Touch("a", 1, start().Add(time.Minute))
	assert.Equal(t, len(table.Alive(start().Add(time.Minute))), 0)
}

// Guards against a store that is overloaded by probes when it recovers: 78 hosts
// made about 500 calls a second in an outage.
func TestProbeRateOfRegionIsBounded(t *testing.T) {
	const hosts = 227
	var all []Heartbeat
	for i := range hosts {
		all = append(all, newHeartbeat(fmt.Sprint("h-", i), "za", "north"))
	}
	probesPerSecond, shortest := 0.0, time.Hour
	for i, self := range all {
		interval := ProbeInterval(self, slices.Concat(all[:i], all[i+1:], []Heartbeat{newHeartbeat("far", "zc", "south")}))
		probesPerSecond += 1 / interval.Seconds()
		shortest = min(shortest, interval)
	}
	assert.Equal(t, shortest, minProbeInterval)
	assert.Assert(t, probesPerSecond < 100, "%.0f calls a second", probesPerSecond)
}

// Guards against a host whose heartbeats are ignored for ever: it restarted with
// its clock set back, so its incarnation is lower than the previous one.
func TestHostWithClockSetBackIsAliveAgain(t *testing.T) {
	table := NewTable("self")
	leaving := newHeartbeat("a", "za", "north")
	leaving.Incarnation, leaving.IsLeaving = 5000, true
	table.Observe(leaving, start())
	restarted := newHeartbeat("a", "za", "north")
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
