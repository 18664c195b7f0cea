package gossip

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

const (
	// sameRegionTime and otherRegionsTime are the times within which the hosts of an
	// endpoint's region and of other regions must know that it is full or slow.
	sameRegionTime   = time.Second
	otherRegionsTime = 2 * time.Second
	// relayLossTime is how much longer it may take if a relay is lost.
	relayLossTime = 2 * time.Second
	// maxBytesPerSecond is the traffic that a host may use for control.
	maxBytesPerSecond = 4000
)

// Guards against hosts that send to an endpoint for seconds which other hosts know to be
// full, and against control traffic that grows with the number of hosts. With load reports
// only, no host in another region knew it at 200 hosts, which sent 5.6 kB a second each,
// and no other host at all at 700.
func TestFullEndpointsAreKnownInTime(t *testing.T) {
	eachFleetSize(t, func(t *testing.T, hosts int) {
		f := startFleet(t, hosts, 0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for endpoint := range fleetEndpoints {
			f.fill(ctx, endpoint)
		}
		before := f.sentBytes()
		time.Sleep(sameRegionTime)
		f.checkKnown(true)
		time.Sleep(otherRegionsTime - sameRegionTime)
		f.checkKnown(false)
		f.checkTraffic(before, otherRegionsTime)
	})
}

// Guards against a mechanism that depends on single hosts: the endpoints become full at the
// moment in which relays are killed or frozen; either kind sends nothing.
func TestFullEndpointsAreKnownWhenRelaysAreLost(t *testing.T) {
	for name, lose := range map[string]func(f *fleet){
		"a relay of each region is lost": func(f *fleet) {
			for _, region := range fleetRegionOf() {
				f.relays(region)[0].stop()
			}
		},
		"the other relay of each region is lost": func(f *fleet) {
			for _, region := range fleetRegionOf() {
				f.relays(region)[1].stop()
			}
		},
		"both relays of a region are lost": func(f *fleet) {
			for _, relay := range f.relays("r1") {
				relay.stop()
			}
		},
		"a zone is lost": func(f *fleet) {
			for _, host := range f.hosts {
				if host.heartbeat.Zone == "z4" {
					host.stop()
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 200, 0)
				lose(f)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for endpoint := range fleetEndpoints {
					f.fill(ctx, endpoint)
				}
				time.Sleep(sameRegionTime)
				t.Logf("%d of %d beliefs in the endpoints' regions are wrong after %s", f.countUnaware(true), 200*fleetEndpoints/fleetRegions, sameRegionTime)
				time.Sleep(relayLossTime)
				f.checkKnown(true)
				time.Sleep(otherRegionsTime - sameRegionTime)
				f.checkKnown(false)
			})
		})
	}
}

// Guards against hosts that do not learn of full endpoints because datagrams were lost. As
// for dead hosts, 99 of 100 must know in time.
func TestFullEndpointsAreKnownDespiteLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 200, 0.02)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for endpoint := range fleetEndpoints {
			f.fill(ctx, endpoint)
		}
		const sameRegion, otherRegions = 200 / fleetRegions * fleetEndpoints, 200 * (fleetRegions - 1) / fleetRegions * fleetEndpoints
		time.Sleep(sameRegionTime)
		unaware := f.countUnaware(true)
		t.Logf("%d of %d beliefs in the endpoints' regions are wrong after %s", unaware, sameRegion, sameRegionTime)
		assert.Assert(t, unaware*100 <= sameRegion)
		time.Sleep(otherRegionsTime - sameRegionTime)
		unaware = f.countUnaware(false)
		t.Logf("%d of %d beliefs in other regions are wrong after %s", unaware, otherRegions, otherRegionsTime)
		assert.Assert(t, unaware*100 <= otherRegions)
	})
}

// Guards against a slow endpoint that each host must find out by requests of its own.
func TestSlowEndpointIsKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 200, 0)
		user := f.usersOf(0)[0]
		for range 10 {
			user.startRequest(0)
			user.endRequest(0, 0, 300*time.Millisecond)
		}
		for range 3 {
			user.startRequest(0)
			user.endRequest(0, 0, 3*time.Second)
		}
		time.Sleep(sameRegionTime)
		for _, host := range f.hosts {
			if host != user && host.heartbeat.Region == "r0" {
				assert.Assert(t, host.isToldSlow(), "%s", host.heartbeat.Host)
			}
		}
		time.Sleep(otherRegionsTime - sameRegionTime)
		for _, host := range f.hosts {
			assert.Assert(t, host == user || host.isToldSlow(), "%s", host.heartbeat.Host)
		}
	})
}

// Guards against traffic that grows with the number of endpoints whose condition changes:
// here all of them change at each host as often as possible.
func TestTrafficOfConditionsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 720
		f := startFleet(t, 200, 0)
		for _, host := range f.hosts {
			host.mu.Lock()
			host.noise = func(limit int) []steer.EndpointCondition {
				var news []steer.EndpointCondition
				for range limit {
					news = append(news, steer.EndpointCondition{
						Endpoint: steer.EndpointID(host.random.Uint32N(endpoints) << 20), Condition: steer.Condition(host.random.IntN(4)),
					})
				}
				return news
			}
			host.mu.Unlock()
		}
		before := f.sentBytes()
		time.Sleep(4 * time.Second)
		f.checkTraffic(before, 4*time.Second)
	})
}

// Guards against a change of what smaller fleets do: their load reports reach all hosts.
func TestFleetWithLoadReportsTellsNoConditions(t *testing.T) {
	for _, hosts := range []int{60, 80} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, hosts, 0)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for endpoint := range fleetRegions {
					f.fill(ctx, endpoint)
				}
				time.Sleep(otherRegionsTime)
				for _, host := range f.hosts {
					host.mu.Lock()
					assert.Equal(t, len(host.told), 0)
					host.mu.Unlock()
				}
			})
		})
	}
}

// Guards against a fleet in which load reports do not reach all hosts and no conditions are
// told, or in which only some hosts tell them.
func TestConditionsAreToldWhereLoadReportsAreNot(t *testing.T) {
	for _, test := range []struct {
		sizes map[model.RegionName]int
		want  bool
	}{
		{map[model.RegionName]int{"a": 1}, false},
		{map[model.RegionName]int{"a": 121}, false},
		{map[model.RegionName]int{"a": 122}, true},
		{map[model.RegionName]int{"a": 60, "b": 60}, false},
		{map[model.RegionName]int{"a": 61, "b": 3}, true},
		{map[model.RegionName]int{"a": 26, "b": 26, "c": 26}, false},
		{map[model.RegionName]int{"a": 65, "b": 65, "c": 65}, true},
	} {
		assert.Equal(t, tellsConditions(test.sizes), test.want, "%v", test.sizes)
	}
}

func (h *fleetHost) isToldSlow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, condition := range h.told {
		if condition&steer.IsSlow != 0 {
			return true
		}
	}
	return false
}

// checkKnown checks that all hosts in the endpoints' regions, or outside them, know that
// they are full.
func (f *fleet) checkKnown(isSameRegion bool) {
	f.t.Helper()
	assert.Equal(f.t, f.countUnaware(isSameRegion), 0, "hosts that do not know that an endpoint is full, same region: %t", isSameRegion)
}

func (f *fleet) countUnaware(isSameRegion bool) int {
	count := 0
	for endpoint := range fleetEndpoints {
		count += f.unaware(endpoint, isSameRegion)
	}
	return count
}

func (f *fleet) sentBytes() []int {
	sent := make([]int, len(f.hosts))
	for i, host := range f.hosts {
		host.mu.Lock()
		sent[i] = host.sentBytes
		host.mu.Unlock()
	}
	return sent
}

// checkTraffic checks the bytes that each host has sent since they were counted before.
func (f *fleet) checkTraffic(before []int, elapsed time.Duration) {
	f.t.Helper()
	most, total := 0, 0
	for i, bytes := range f.sentBytes() {
		perSecond := int(float64(bytes-before[i]) / elapsed.Seconds())
		most = max(most, perSecond)
		total += perSecond
	}
	f.t.Logf("%d bytes a second on average, %d at most", total/len(f.hosts), most)
	assert.Assert(f.t, most <= maxBytesPerSecond)
}
