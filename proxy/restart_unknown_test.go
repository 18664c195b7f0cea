package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// Guards against hosts that exceed the retry limit together because they are started again
// several times while the store is away: they cannot know of their earlier runs, and act as if
// there had been one.
func TestHostsRestartedInSeriesWhileStoreIsAway(t *testing.T) {
	const hosts = 10
	for _, rate := range []int{1, 20} {
		for _, starts := range []int{1, 2, 5} {
			t.Run(fmt.Sprintf("%d a second, %d starts", rate, starts), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := newHeldPlay(hosts)
					for start := range starts + 1 {
						if start > 0 {
							p.cores = startRetryCores(hosts, p.limit)
						}
						for range 20 {
							p.second(p.cores, rate)
						}
					}
					p.continueEndpoints()
					count := p.held
					for range 10 {
						count += p.second(p.cores, rate)
					}
					p.assertWithinLimit(t, count, hosts*rate*10)
				})
			})
		}
	}
}
