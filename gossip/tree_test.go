package gossip

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

func regionHosts(region string, count int) []member.Heartbeat {
	hosts := make([]member.Heartbeat, count)
	for i := range hosts {
		hosts[i] = member.Heartbeat{
			Host: model.HostName(fmt.Sprint(region, "-", i)), Region: model.RegionName(region),
			IP: netip.AddrFrom4([4]byte{10, region[0], byte(i / 250), byte(i % 250)}),
		}
	}
	return hosts
}

func addressOf(hosts []member.Heartbeat, name model.HostName) netip.Addr {
	return hosts[slices.IndexFunc(hosts, func(host member.Heartbeat) bool { return host.Host == name })].IP
}

func without(hosts []member.Heartbeat, name model.HostName) []member.Heartbeat {
	return slices.DeleteFunc(slices.Clone(hosts), func(host member.Heartbeat) bool { return host.Host == name })
}

// Guards against hosts that a tree does not reach, or twice, and against a host on which
// both trees depend: messages would take as long as its loss is unknown.
func TestTreesReachEachHostOnce(t *testing.T) {
	for _, count := range []int{0, 1, 2, 3, 7, 8, 50, 175} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			hosts := regionHosts("n", count)
			trees := newTrees(hosts)
			names := make(map[netip.Addr]model.HostName)
			for _, host := range hosts {
				names[host.IP] = host.Host
			}
			for _, order := range trees {
				reached := make(map[netip.Addr]int)
				waiting := []netip.Addr{order.relay()}
				for len(waiting) > 0 && count > 0 {
					reached[waiting[0]]++
					waiting = append(waiting[1:], order.next(names[waiting[0]])...)
				}
				assert.Equal(t, len(reached), count)
				for host, times := range reached {
					assert.Equal(t, times, 1, "%s", host)
				}
			}
			for _, host := range hosts {
				assert.Assert(t, len(trees[0].next(host.Host))+len(trees[1].next(host.Host)) <= 2)
			}
		})
	}
	assert.Equal(t, len(newTrees(regionHosts("n", 3))[0].next("stranger")), 0)
}

// Guards against reports that go round between regions or relays, and against a condition
// that is told by each of several hosts which observe it.
func TestRelayPassesConditionsOn(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	north, south := regionHosts("n", 40), regionHosts("s", 40)
	full := []steer.EndpointCondition{{Endpoint: 7, Condition: steer.IsFull}}
	newRelay := func(name model.HostName) *conditionRelay {
		relay := newConditionRelay(name)
		relay.setHosts(member.Heartbeat{Host: name, Region: "n", IP: addressOf(north, name)}, slices.Concat(without(north, name), south), now)
		return relay
	}
	trees, others := newTrees(north), newTrees(south)
	relay := newRelay(trees[0].hosts[0].name)
	fromHost := newConditionSend(toRelay, 0, full).report
	t.Run("a host tells both relays", func(t *testing.T) {
		sends := newRelay(trees[0].hosts[5].name).tick(full, now)
		assert.Equal(t, len(sends), treeCount)
		for i, send := range sends {
			assert.DeepEqual(t, send.report.conditions(), full)
			assert.Equal(t, send.to[0], trees[i].relay())
		}
	})
	t.Run("the relay tells its region and another one", func(t *testing.T) {
		assert.Equal(t, len(relay.receive(fromHost, now)), 0)
		sends := relay.tick(nil, now)
		assert.Equal(t, len(sends), 2)
		assert.Equal(t, sends[0].report.Hop, toRegion)
		assert.Equal(t, sends[0].to[0], others[0].relay())
		assert.Equal(t, sends[1].report.Hop, alongTree)
		assert.Equal(t, sends[1].to[0], trees[0].hosts[1].ip)
	})
	t.Run("it repeats a condition once", func(t *testing.T) {
		assert.Equal(t, len(relay.tick(nil, now.Add(conditionInterval))), 2)
		assert.Equal(t, len(relay.receive(fromHost, now.Add(conditionInterval))), 0)
		assert.Equal(t, len(relay.tick(nil, now.Add(2*conditionInterval))), 0)
	})
	t.Run("what another region told stays in the region", func(t *testing.T) {
		relay.receive(newConditionSend(toRegion, 0, []steer.EndpointCondition{{Endpoint: 8}}).report, now)
		sends := relay.tick(nil, now)
		assert.Equal(t, len(sends), 1)
		assert.Equal(t, sends[0].report.Hop, alongTree)
	})
	t.Run("a host of the tree passes it on at once", func(t *testing.T) {
		sends := newRelay(trees[0].hosts[3].name).receive(newConditionSend(alongTree, 0, full).report, now)
		assert.Equal(t, len(sends), 1)
		assert.Assert(t, slices.Equal(sends[0].to, []netip.Addr{trees[0].hosts[6].ip, trees[0].hosts[7].ip}))
	})
	t.Run("a relay that is gone is replaced", func(t *testing.T) {
		host := newRelay(trees[0].hosts[5].name)
		host.setHosts(host.own, without(host.others, trees[0].hosts[0].name), now)
		assert.Equal(t, host.tick(full, now)[0].to[0], trees[0].hosts[1].ip)
	})
}

// Guards against a host that did not run for a while and then passes on what it received
// meanwhile, in place of what others have observed since.
func TestReportsAreIgnoredAfterPause(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	relay := newConditionRelay("h")
	assert.Assert(t, relay.accepts(now))
	relay.tick(nil, now)
	assert.Assert(t, relay.accepts(now.Add(conditionInterval)))
	resumed := now.Add(3 * time.Second)
	assert.Assert(t, !relay.accepts(resumed))
	relay.tick(nil, resumed)
	assert.Assert(t, !relay.accepts(resumed.Add(conditionInterval-1)))
	relay.tick(nil, resumed.Add(conditionInterval))
	assert.Assert(t, relay.accepts(resumed.Add(conditionInterval)))
}

// Guards against messages whose size grows with what happens, and against conditions that
// arrive when they are outdated.
func TestConditionQueueIsBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var queue conditionQueue
	for i := range 100 {
		queue.add(steer.EndpointCondition{Endpoint: steer.EndpointID(i), Condition: steer.IsFull, IsConfirmation: true}, now)
		queue.add(steer.EndpointCondition{Endpoint: 5, Condition: steer.IsSlow}, now)
	}
	taken := queue.take(10, now)
	assert.Equal(t, len(taken), 10)
	assert.DeepEqual(t, taken[0], steer.EndpointCondition{Endpoint: 5, Condition: steer.IsSlow})
	assert.Equal(t, len(queue.take(200, now.Add(maxWait))), 0)
}
