package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/route"

	"gotest.tools/v3/assert"
)

// coldRates are rates of cold endpoints, in requests a second.
var coldRates = []float64{0.5, 2, 2.6, 3.1, 4.1, 4.7, 5.8}

// coldBound is the users' bound for a cold endpoint, in requests a second.
func coldBound(rate float64) float64 { return rate*1.5 + 5 }

// threeOwners returns the selectors of three hosts that knew each other, and of which each
// believes since start that the others are gone.
func threeOwners(endpoints *fixture) []*Selector {
	names := []model.HostName{"h1", "h2", "h3"}
	var selectors []*Selector
	for _, name := range names {
		selector := endpoints.selector(name)
		selector.SetHosts(map[model.RegionName][]model.HostName{"north": names}, start())
		selector.SetHosts(map[model.RegionName][]model.HostName{"north": {name}}, start())
		selectors = append(selectors, selector)
	}
	return selectors
}

// Guards against a cold endpoint that crashes because three hosts, which do not hear each
// other, each believe that they own it.
func TestColdEndpointBearsThreeOwners(t *testing.T) {
	for _, rate := range coldRates {
		for offset := time.Duration(0); offset < time.Second; offset += 90 * time.Millisecond {
			t.Run(fmt.Sprint(rate, offset), func(t *testing.T) {
				endpoints := newFixture(0)
				endpoints.config = route.NewConfig(1, nil, []route.Service{{Name: "s", ColdRate: rate}}, route.Limits{})
				endpoints.add("a", "za", time.Minute)
				var sent []time.Time
				owners := threeOwners(endpoints)
				for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 10 * time.Millisecond {
					for i, owner := range owners {
						// The second and third host become owners later.
						if elapsed >= time.Duration(i)*offset && sendCold(owner, start().Add(elapsed)) {
							sent = append(sent, start().Add(elapsed))
						}
					}
				}
				assert.Assert(t, float64(mostInSecond(sent)) <= coldBound(rate), "%d requests in a second", mostInSecond(sent))
				assert.Assert(t, float64(len(sent)) >= rate*8, "%d requests", len(sent))
			})
		}
	}
}

// sendCold reports whether a host sends a request to a cold endpoint.
func sendCold(host *Selector, now time.Time) bool {
	_, isSend := host.Choose(query(now.String()), now).(Send)
	if isSend {
		host.Done(Outcome{Endpoint: "a", Result: Answered, Elapsed: 100 * time.Millisecond}, now)
	}
	return isSend
}

// Guards against a cold endpoint that crashes because its owner changes several times in a
// second, and each new one sends a request at once.
func TestColdEndpointBearsChangesOfOwner(t *testing.T) {
	for _, rate := range coldRates {
		endpoints := newFixture(0)
		endpoints.config = route.NewConfig(1, nil, []route.Service{{Name: "s", ColdRate: rate}}, route.Limits{})
		endpoints.add("a", "za", time.Minute)
		owners := threeOwners(endpoints)
		var sent []time.Time
		for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += 10 * time.Millisecond {
			owner := owners[int(elapsed/(340*time.Millisecond))%len(owners)]
			if sendCold(owner, start().Add(elapsed)) {
				sent = append(sent, start().Add(elapsed))
			}
		}
		assert.Assert(t, float64(mostInSecond(sent)) <= coldBound(rate), "rate %v: %d requests in a second", rate, mostInSecond(sent))
	}
}

// Guards against an owner that sends a cold endpoint less than it can take although all
// hosts before it are alive again, or were gone long ago.
func TestOwnerSendsAtFullRateOnceItIsCertain(t *testing.T) {
	const rate = 2.0
	names := []model.HostName{"h1", "h2", "h3"}
	for name, isAlive := range map[string]bool{"alive again": true, "gone long ago": false} {
		t.Run(name, func(t *testing.T) {
			endpoints := newFixture(0)
			endpoints.add("a", "za", time.Hour)
			for _, owner := range threeOwners(endpoints) {
				now := start().Add(20 * time.Minute)
				alive := []model.HostName{owner.host}
				if isAlive {
					now = start().Add(time.Second)
					owner.SetHosts(map[model.RegionName][]model.HostName{"north": names}, now)
				}
				owner.SetHosts(map[model.RegionName][]model.HostName{"north": slices.Clone(names)}, now)
				if !isAlive {
					owner.SetHosts(map[model.RegionName][]model.HostName{"north": alive}, start())
					owner.SetHosts(map[model.RegionName][]model.HostName{"north": alive}, now)
				}
				if owner.owner(owner.endpoints["a"]) != owner.host {
					continue
				}
				sent := 0
				for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 10 * time.Millisecond {
					if sendCold(owner, now.Add(elapsed)) {
						sent++
					}
				}
				assert.Assert(t, sent >= int(10*rate)-1, "%s: %d requests", owner.host, sent)
			}
		})
	}
}

// Guards against three owners that each issue all permits while hosts learn at different
// times which others are gone. A dead host is gone at all others within 2 s.
func TestLimitHoldsWithThreeOwners(t *testing.T) {
	const differ = 2 * time.Second
	for _, perSecond := range []float64{0.6, 2.2, 3, 9} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			lt := newLimitTest(t, 18)
			lt.limit = RateLimit{IsSet: true, PerSecond: perSecond}
			lt.run(60, 5*time.Second)
			limitedAt := lt.now
			for range 10 {
				lt.splitOwners()
				lt.run(60, differ)
				lt.setHosts(lt.hosts)
				lt.run(60, 4*time.Second)
			}
			most, allowed := lt.mostInWindow(limitedAt), allowedInWindow(lt.limit)
			t.Logf("%d requests in %s, %d are allowed", most, limitWindow, allowed)
			assert.Assert(t, most <= allowed, "%d requests in %s, %d are allowed", most, limitWindow, allowed)
		})
	}
}

// splitOwners divides the hosts into three groups, of which one knows of no host that is
// gone, one that the owner is, and one that its successor is too. Each group has the host
// that it believes to be the owner.
func (lt *limitTest) splitOwners() {
	alive := slices.Clone(lt.hosts)
	lists := make([][]model.HostName, 3)
	groups := make(map[model.HostName]int)
	for group := range lists {
		lists[group] = slices.Clone(alive)
		selector := lt.selectors[lt.hosts[0]]
		selector.SetHosts(map[model.RegionName][]model.HostName{"north": alive}, lt.now)
		owner := selector.owner(selector.endpoints["limited"])
		groups[owner] = group
		alive = slices.DeleteFunc(alive, func(host model.HostName) bool { return host == owner })
	}
	for i, host := range lt.hosts {
		group, isOwner := groups[host]
		if !isOwner {
			group = i % len(lists)
		}
		lt.selectors[host].SetHosts(map[model.RegionName][]model.HostName{"north": lists[group]}, lt.now)
	}
}
