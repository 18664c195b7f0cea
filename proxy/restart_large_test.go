package proxy

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against hosts that outnumber the slack and exceed the retry limit together after one
// start: each of them has a held retry of either run and one that it earns in the window.
func TestHostsRestartedOnceAtMoreHostsThanSlack(t *testing.T) {
	const rate = 1
	for _, hosts := range []int{59, 61, 120, 195} {
		for _, runTime := range []int{13, 45} {
			t.Run(fmt.Sprintf("%d hosts, runs of %d s", hosts, runTime), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := newHeldPlay(hosts)
					earlier := EarlierRun{StartedAt: time.Now(), IsFirst: true}
					for range runTime {
						p.second(p.cores, rate)
					}
					p.cores = startRetryCores(hosts, p.limit)
					setEarlierRun(p.cores, earlier)
					for range runTime {
						p.second(p.cores, rate)
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
