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

// Guards against a host that starts and asks one that has nothing to tell, one that knows
// less because it lost the store, or one that is far although a near one knows as much.
func TestStartHoldersAreThoseThatKnowMost(t *testing.T) {
	far, lost, starting := newHeartbeat("far", "zc", "south"), newHeartbeat("lost", "za", "north"), newHeartbeat("starting", "za", "north")
	lost.IsStoreReachable = false
	starting.IsReady = false
	leaving := newHeartbeat("leaving", "za", "north")
	leaving.IsReady, leaving.IsLeaving = false, true
	others := []Heartbeat{far, lost, newHeartbeat("near", "zb", "north"), starting}
	var names []model.HostName
	for _, holder := range StartHolders(newHeartbeat("self", "za", "north"), others, []Heartbeat{leaving}) {
		names = append(names, holder.Host)
	}
	assert.DeepEqual(t, names, []model.HostName{"near", "far", "lost", "leaving"})
}

// Guards against a host that sends all rows to many others at once, because a zone of a
// large fleet starts again and all its hosts ask the same one.
func TestHostsThatStartAtOnceAskDifferentHosts(t *testing.T) {
	const hosts, started = 240, 48
	var ready []Heartbeat
	for i := started; i < hosts; i++ {
		ready = append(ready, newHeartbeat(fmt.Sprint("h", i), "za", "north"))
	}
	asked := make(map[model.HostName]int)
	for i := range started {
		self := newHeartbeat(fmt.Sprint("h", i), "zb", "north")
		asked[StartHolders(self, ready, nil)[0].Host]++
	}
	for host, count := range asked {
		assert.Assert(t, count <= 4, "%s is asked by %d hosts", host, count)
	}
}

// Guards against a host that follows the same one as all others of its region if their
// store reader delivers nothing, and against hosts that can tell nothing.
func TestStandInsDifferFromHostToHost(t *testing.T) {
	const hosts = 240
	var others []Heartbeat
	for i := range hosts {
		others = append(others, newHeartbeat(fmt.Sprint("h", i), "za", "north"))
	}
	reader, _ := StoreReader(others, "north")
	lost := newHeartbeat("lost", "za", "north")
	lost.IsStoreReachable = false
	others = append(others, lost, newHeartbeat("far", "zc", "south"))
	asked := make(map[model.HostName]int)
	for i := range hosts {
		self := newHeartbeat(fmt.Sprint("self", i), "za", "north")
		self.IsStoreReachable = false
		sources := Sources(self, others)
		assert.Equal(t, len(sources), 2+maxStandIns)
		assert.Equal(t, sources[0].Host, reader.Host)
		assert.Equal(t, sources[1].Host, model.HostName("far"))
		for _, source := range sources[2:] {
			asked[source.Host]++
		}
	}
	assert.Equal(t, asked[reader.Host]+asked["lost"]+asked["far"], 0)
	for host, count := range asked {
		assert.Assert(t, count <= 10, "%s is asked by %d hosts", host, count)
	}
}

// Guards against a host that starts and hears the hosts that the store names only after
// the next tick, when it no longer waits for what they know.
func TestNewAddressesAreContactedAtOnce(t *testing.T) {
	now := time.Now()
	detector := NewDetector(NewTable("self"))
	addresses := []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")}
	detector.Table().AddAddresses(addresses, now)
	sends := detector.ContactNew(newHeartbeat("self", "za", "north"), now)
	assert.Equal(t, len(sends), 1)
	assert.Assert(t, sends[0].Message.(Announcement).RequestsAnswer)
	assert.Assert(t, slices.Equal(sends[0].To, addresses))
	assert.Equal(t, len(detector.ContactNew(newHeartbeat("self", "za", "north"), now)), 0)
}
