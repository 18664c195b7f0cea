package steer

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against a cold endpoint that crashes because hosts that are cut off from each other,
// or have just started and heard no other, each take themselves for its owner.
func TestColdEndpointBearsHostsThatHearNoOther(t *testing.T) {
	const rate = 2.0
	for _, hosts := range []int{2, 3, 5, 10} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			endpoints := newFixture(0)
			endpoints.add("a", "za", 10*time.Second)
			var selectors []*Selector
			for i := range hosts {
				name := model.HostName(fmt.Sprint("h", i))
				selector := endpoints.selector(name)
				selector.SetHosts(map[model.RegionName][]model.HostName{regions()["za"]: {name}}, start())
				selectors = append(selectors, selector)
			}
			var sent []time.Time
			for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 10 * time.Millisecond {
				now := start().Add(elapsed)
				for i, selector := range selectors {
					if _, isSend := selector.Choose(query(fmt.Sprint(elapsed, i)), now).(Send); isSend {
						sent = append(sent, now)
						selector.Done(Outcome{Endpoint: "a", Result: Answered, Elapsed: 100 * time.Millisecond}, now)
					}
				}
			}
			assert.Assert(t, float64(mostInSecond(sent)) <= rate*1.5+5, "%d requests in a second", mostInSecond(sent))
		})
	}
}
