package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/route"

	"gotest.tools/v3/assert"
)

// retryFleet simulates hosts that share a retry limit, in steps of one second. It
// restarts hosts, cuts them off and changes the configuration at random.
type retryFleet struct {
	random  *rand.Rand
	limit   RetryLimit
	version uint64
	hosts   []*retryHost
	// requests and repeats hold the numbers of each step.
	requests, repeats []int
}

// retryHost is a host of a retryFleet.
type retryHost struct {
	core *Core
	// group is the number of the part of the network that the host hears.
	group int
	// isStoreAway is true while the host cannot read the names of the hosts.
	isStoreAway bool
}

func newRetryFleet(random *rand.Rand, count int, limit RetryLimit) *retryFleet {
	f := &retryFleet{random: random, limit: limit, version: 1}
	for range count {
		host := &retryHost{}
		f.hosts = append(f.hosts, host)
		f.start(host)
	}
	return f
}

// start starts a host, or starts it again.
func (f *retryFleet) start(host *retryHost) {
	host.core = NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, f.limit)
	host.core.SetConfig(retryConfig(f.version, "s"))
}

func retryConfig(version uint64, names ...model.ServiceName) *route.Config {
	var services []route.Service
	for _, name := range names {
		services = append(services, route.Service{Name: name})
	}
	return route.NewConfig(version, []route.Route{{Name: "r", Shares: []route.Share{{Service: names[0], Weight: 1}}}}, services, route.Limits{})
}

// disturb changes what the hosts know of each other, and the configuration.
func (f *retryFleet) disturb() {
	for _, host := range f.hosts {
		switch f.random.IntN(60) {
		case 0:
			f.start(host)
		case 1, 2:
			host.group = f.random.IntN(4)
		case 3, 4, 5:
			host.group = 0
		case 6:
			host.isStoreAway = !host.isStoreAway
		}
	}
	switch f.random.IntN(20) {
	case 0:
		for _, host := range f.hosts {
			f.start(host)
		}
	case 1:
		for i, host := range f.hosts {
			host.group = i
		}
	case 2:
		// The configuration drops the service and adds it again.
		for _, name := range []model.ServiceName{"other", "s"} {
			f.version++
			for _, host := range f.hosts {
				host.core.SetConfig(retryConfig(f.version, name))
			}
		}
	}
}

// step plays one second, with a number of requests at each host. If they fail, each of
// them is repeated as long as its host allows that.
func (f *retryFleet) step(requests int, isFailing bool) {
	heard := make(map[int]int)
	for _, host := range f.hosts {
		heard[host.group]++
	}
	retries := 0
	for _, host := range f.hosts {
		host.core.SetHosts(map[model.RegionName][]model.HostName{"north": make([]model.HostName, heard[host.group])})
		if !host.isStoreAway {
			host.core.SetNamedHosts(len(f.hosts))
		}
		for range requests {
			host.core.budgets["s"].Earn()
			for isFailing && host.core.budgets["s"].Spend() {
				retries++
			}
		}
	}
	f.requests, f.repeats = append(f.requests, requests*len(f.hosts)), append(f.repeats, retries)
	time.Sleep(time.Second)
}

// excess returns by how much the repeats of the worst 10 s exceed the limit.
func (f *retryFleet) excess() float64 {
	const window = 10
	sum := func(numbers []int, end int) (total int) {
		for _, number := range numbers[max(0, end-window):max(0, end)] {
			total += number
		}
		return total
	}
	worst := -f.limit.Slack
	for end := range len(f.repeats) + 1 {
		requests := slices.Max([]int{sum(f.requests, end), sum(f.requests, end-window/2), sum(f.requests, end-window)})
		worst = max(worst, float64(sum(f.repeats, end))-f.limit.Ratio*float64(requests)-f.limit.Slack)
	}
	return worst
}

// Guards against hosts that together exceed the retry limit after any series of starts,
// cuts, outages of the store and configurations.
func TestRetryLimitHoldsInAnySeriesOfStartsAndCuts(t *testing.T) {
	for _, hosts := range []int{1, 3, 10, 12, 59, 64, 65, 130, 680} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			for seed := range uint64(max(3, 400/hosts)) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 0))
					f := newRetryFleet(random, hosts, RetryLimit{Ratio: 0.2, Slack: float64(60 + random.IntN(5))})
					rate, isFailing, isDisturbed := 0, false, false
					for range 240 {
						if random.IntN(15) == 0 {
							rate, isFailing, isDisturbed = random.IntN(1+random.IntN(20)), random.IntN(2) == 0, random.IntN(2) == 0
						}
						if isDisturbed {
							f.disturb()
						}
						f.step(rate, isFailing)
					}
					assert.Assert(t, f.excess() <= 0, "seed %d: %.1f retries beyond the limit", seed, f.excess())
				})
			}
		})
	}
}
