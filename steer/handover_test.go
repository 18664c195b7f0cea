package steer

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against a cold endpoint that crashes because, around a hand-over, two hosts
// both believe for a moment that they own it. The users' bound for the endpoint is one
// and a half times its rate and five requests more in a second.
func TestColdEndpointBearsTwoOwners(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			endpoints := newFixture(0)
			endpoints.add("a", "za", 10*time.Second)
			const rate = 2.0
			owners := []*Selector{endpoints.selector("h1"), endpoints.selector("h2")}
			var sent []time.Time
			for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 10 * time.Millisecond {
				now := start().Add(elapsed)
				for i, owner := range owners {
					if i == 1 && (elapsed < time.Second+offset || elapsed > 3*time.Second+offset) {
						// The second host believes in itself for two seconds only.
						continue
					}
					decision := owner.Choose(query(fmt.Sprint(elapsed, i)), now)
					if _, isSend := decision.(Send); isSend {
						sent = append(sent, now)
						owner.Done(Outcome{Endpoint: "a", Result: Answered, Elapsed: 100 * time.Millisecond}, now)
					}
				}
			}
			assert.Assert(t, float64(mostInSecond(sent)) <= rate*1.5+5, "%d requests in a second", mostInSecond(sent))
			assert.Assert(t, len(sent) >= 8)
		})
	}
}

func mostInSecond(times []time.Time) int {
	most := 0
	for i, first := range times {
		count := 0
		for _, later := range times[i:] {
			if later.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against a host that keeps acting as owner after it knows that another host is
// the owner: the receiver of a permit request decides by its own list of hosts.
func TestFormerOwnerSendsNothingToColdEndpoint(t *testing.T) {
	endpoints := newFixture(0)
	endpoints.add("a", "za", time.Minute)
	selector := endpoints.selector("h1")
	requireSend(t, selector.Choose(query("o1"), start()))
	region := regions()["za"]
	owners := 0
	// A successor of hosts that are gone sends once a second, half of the rate.
	for i := range 20 {
		other := model.HostName(fmt.Sprint("other", i))
		selector.SetHosts(map[model.RegionName][]model.HostName{region: {"h1", other}}, start())
		_, isSend := selector.Choose(query("o2"), start().Add(time.Duration(i+1)*time.Second)).(Send)
		isOwner := selector.owner(selector.endpoints["a"]) == "h1"
		assert.Equal(t, isSend, isOwner, "other host %s", other)
		if isOwner {
			owners++
		}
	}
	assert.Assert(t, owners > 0 && owners < 20)
}
