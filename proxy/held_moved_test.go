package proxy

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against hosts that learn of the retries of others only when these end: requests that
// move on sooner need retries beside those that other hosts still have in flight.
func TestRetriesInFlightWhileRequestsMoveBetweenHosts(t *testing.T) {
	const perGroup, rate, stay = 2, 20, 4
	for _, groups := range []int{3, 5, 8} {
		for _, timeout := range []time.Duration{3 * time.Second, 8 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d groups, timeout %s", groups, timeout), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := newHeldPlay(groups * perGroup)
					p.timeout = timeout
					var group []*Core
					for group = range slices.Chunk(p.cores, perGroup) {
						for range stay {
							p.second(group, rate)
						}
					}
					p.continueEndpoints()
					count := p.held
					for range 10 {
						count += p.second(group, rate)
					}
					p.assertWithinLimit(t, count, perGroup*rate*10)
				})
			})
		}
	}
}
