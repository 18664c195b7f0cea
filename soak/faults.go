package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// fault injects a fault into the testbed and ends it after a duration. The
// faults reload, storeHistory and configuration ignore the duration.
type fault struct {
	name string
	run  func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration)
}

// faults returns all kinds of faults. Several are active at once, but at most
// one for each name that lockNames returns.
func faults() []fault {
	onHost := func(inject func(b *testbed, host *hostProcess, duration time.Duration) error) func(*testbed, *rand.Rand, int, time.Duration) {
		return func(b *testbed, _ *rand.Rand, targetIndex int, duration time.Duration) {
			if err := inject(b, b.hosts[targetIndex%len(b.hosts)], duration); err != nil {
				b.recordViolation("%v", err)
			}
		}
	}
	return []fault{
		{"kill", onHost(func(b *testbed, host *hostProcess, duration time.Duration) error {
			if err := host.kill(); err != nil {
				return err
			}
			b.sleep(duration)
			return host.start()
		})},
		{"stop", onHost(func(b *testbed, host *hostProcess, duration time.Duration) error {
			if err := host.stop(); err != nil {
				return err
			}
			b.sleep(duration)
			return host.start()
		})},
		{"pause", onHost(func(b *testbed, host *hostProcess, duration time.Duration) error {
			if err := host.signal(syscall.SIGSTOP); err != nil {
				return err
			}
			b.sleep(duration)
			return host.signal(syscall.SIGCONT)
		})},
		{"reload", onHost(func(_ *testbed, host *hostProcess, _ time.Duration) error { return host.signal(syscall.SIGHUP) })},
		{"refusedByStore", onHost(func(b *testbed, host *hostProcess, duration time.Duration) error {
			defer host.storeProxy.recordFault(time.Now())
			b.store.SetRefused(host.settings.IP, true)
			b.sleep(duration)
			b.store.SetRefused(host.settings.IP, false)
			return nil
		})},
		{"storeLink", func(b *testbed, random *rand.Rand, _ int, duration time.Duration) {
			var proxies []*faultProxy
			for _, host := range b.hosts {
				proxies = append(proxies, host.storeProxy)
			}
			b.injectProxyFault(proxies, random, duration)
		}},
		{"storeHistory", func(b *testbed, _ *rand.Rand, _ int, _ time.Duration) { b.store.DropHistory() }},
		{"configuration", func(b *testbed, _ *rand.Rand, _ int, _ time.Duration) { b.writeConfig() }},
		{"endpointLink", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			b.injectProxyFault([]*faultProxy{b.endpointProxies[targetIndex%len(b.endpointProxies)]}, random, duration)
		}},
		{"hold", func(b *testbed, random *rand.Rand, targetIndex int, _ time.Duration) {
			b.injectHold(b.endpointProxies[targetIndex%len(b.endpointProxies)], random)
		}},
		{"endpointPause", func(b *testbed, random *rand.Rand, targetIndex int, _ time.Duration) {
			if err := b.pauseEndpoint(targetIndex%len(b.endpoints), randomHold(random, b.options.Duration/2)); err != nil {
				b.recordViolation("%v", err)
			}
		}},
		{"endpointKill", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			if err := b.killEndpoint(targetIndex%len(b.endpoints), random, duration); err != nil {
				b.recordViolation("%v", err)
			}
		}},
		{"reusedAddress", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			if err := b.reuseAddress(targetIndex%len(b.endpoints), random, duration); err != nil {
				b.recordViolation("%v", err)
			}
		}},
		{"endpoint", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			index := targetIndex % len(b.endpoints)
			next := drawMisbehaviour(random)
			b.setEndpoint(index, next.apply)
			b.sleep(duration)
			b.setEndpoint(index, misbehaviour{behaviours: []fake.Behaviour{fake.Serve}}.apply)
		}},
		{"slowFailure", (*testbed).failSlowly},
		{"slow", (*testbed).workSlowly},
		{"leaving", func(b *testbed, _ *rand.Rand, targetIndex int, duration time.Duration) {
			index := targetIndex % len(b.endpoints)
			b.setEndpoint(index, func(endpoint *fake.Endpoint) { endpoint.SetLeaving(true) })
			b.sleep(duration)
			b.setEndpoint(index, (*fake.Endpoint).Restart)
			b.writeEntry(index, "ready")
		}},
		{"spared", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			index := targetIndex % len(b.endpoints)
			b.setEndpoint(index, func(endpoint *fake.Endpoint) {
				endpoint.SetRetryAfter(fmt.Sprintf("%.2f", randomBetween(random, 0, maxSpare).Seconds()))
				endpoint.SetBehaviour(fake.Shed)
			})
			b.sleep(duration)
			b.setEndpoint(index, func(endpoint *fake.Endpoint) {
				endpoint.SetBehaviour(fake.Serve)
				endpoint.SetRetryAfter("")
			})
		}},
		{"clogged", func(b *testbed, random *rand.Rand, targetIndex int, _ time.Duration) {
			b.clogLink(targetIndex%len(b.endpoints), random)
		}},
		{"early", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			b.answerEarly(targetIndex%len(b.endpoints), random, duration)
		}},
		{"cold", func(b *testbed, random *rand.Rand, targetIndex int, _ time.Duration) {
			b.becomeColdTwice(targetIndex%len(b.endpoints), random)
		}},
		{"hostCut", func(b *testbed, random *rand.Rand, _ int, _ time.Duration) { b.cutHosts(random) }},
		{"leavingDuringCut", func(b *testbed, random *rand.Rand, targetIndex int, _ time.Duration) {
			b.leaveDuringCut(random, targetIndex%len(b.endpoints))
		}},
		{"limited", func(b *testbed, random *rand.Rand, targetIndex int, _ time.Duration) {
			b.limitRate(targetIndex%len(b.endpoints), random)
		}},
		{"reader", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			if err := b.changeReader(b.hosts[targetIndex%len(b.hosts)], targetIndex%len(b.endpoints), random, duration); err != nil {
				b.recordViolation("%v", err)
			}
		}},
	}
}

// maxSpare bounds the time for which an endpoint asks to be spared. It is less than
// recoveryTimeout.
const maxSpare = 3 * time.Second

// minHold and maxHold bound the time for which a link holds data: some times are longer
// than every window and deadline of the settings.
const (
	minHold = 50 * time.Millisecond
	maxHold = 60 * time.Second
)

// injectProxyFault injects the same fault into some proxies.
func (b *testbed) injectProxyFault(proxies []*faultProxy, random *rand.Rand, duration time.Duration) {
	modes := []mode{slow, blackhole, dropResponses, reset, resetResponse, byteByByte, late, resetAfter}
	b.injectCondition(proxies, condition{
		mode:  modes[random.IntN(len(modes))],
		delay: randomBetween(random, minHold, duration+minHold),
		bytes: 1 + random.IntN(maxBytesBeforeReset),
	}, duration)
}

// maxBytesBeforeReset bounds the bytes that pass before a reset. It is longer than a
// request of the callers.
const maxBytesBeforeReset = 32 << 10

// injectHold holds the data of one direction or both.
func (b *testbed) injectHold(proxy *faultProxy, random *rand.Rand) {
	modes := []mode{holdRequests, holdResponses, holdAll}
	next := condition{mode: modes[random.IntN(len(modes))]}
	b.injectCondition([]*faultProxy{proxy}, next, randomHold(random, b.options.Duration/2))
}

// randomHold draws a time so that all orders of magnitude are equally frequent. It is at
// most a limit.
func randomHold(random *rand.Rand, limit time.Duration) time.Duration {
	longest := max(minHold, min(maxHold, limit))
	return time.Duration(float64(minHold) * math.Pow(float64(longest)/float64(minHold), random.Float64()))
}

func (b *testbed) injectCondition(proxies []*faultProxy, next condition, duration time.Duration) {
	startedAt := time.Now()
	for _, proxy := range proxies {
		proxy.setCondition(next)
	}
	b.sleep(duration)
	for _, proxy := range proxies {
		proxy.setMode(pass)
		proxy.recordFault(startedAt)
	}
}

// pauseEndpoint stops the process of an endpoint for a time. The system accepts connections
// and data for it meanwhile.
func (b *testbed) pauseEndpoint(index int, duration time.Duration) error {
	defer b.endpointProxies[index].recordFault(time.Now())
	if err := b.processes[index].signal(syscall.SIGSTOP); err != nil {
		return err
	}
	b.sleep(duration)
	return b.processes[index].signal(syscall.SIGCONT)
}

// killEndpoint kills the process of an endpoint and starts it again after a time at the same
// address: under the same id, or under a new one, while the entry of the old one is removed
// before or after.
func (b *testbed) killEndpoint(index int, random *rand.Rand, duration time.Duration) error {
	defer b.endpointProxies[index].recordFault(time.Now())
	if err := b.processes[index].kill(); err != nil {
		return err
	}
	oldID := b.endpoints[index].ID()
	newID := oldID
	if random.IntN(2) == 0 {
		newID = fmt.Sprintf("i-%d-%d", index, random.IntN(1_000_000))
	}
	isRemovedFirst := random.IntN(2) == 0
	if newID != oldID && isRemovedFirst {
		b.store.Remove(platform.EndpointTable, oldID)
	}
	b.sleep(duration)
	b.endpoints[index].Rename(newID)
	if err := b.processes[index].start(); err != nil {
		return err
	}
	b.writeEntry(index, "ready")
	if newID != oldID && !isRemovedFirst {
		b.store.Remove(platform.EndpointTable, oldID)
	}
	return nil
}

// sleep waits for a time, or until the soak is interrupted.
func (b *testbed) sleep(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-b.interrupted:
	}
}

func (b *testbed) isInterrupted() bool {
	select {
	case <-b.interrupted:
		return true
	default:
		return false
	}
}

// injectFaults starts random faults at random times until the duration of the
// soak has passed.
func (b *testbed) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(b.options.Seed, 0))
	end := time.Now().Add(b.options.Duration)
	kinds := weighted(faults())
	var locks lockSet
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(randomBetween(random, 50*time.Millisecond, 600*time.Millisecond))
		kindIndex := random.IntN(len(kinds))
		targetIndex, duration := random.IntN(1000), randomBetween(random, 100*time.Millisecond, 2500*time.Millisecond)
		seed := random.Uint64()
		if kinds[kindIndex].name == "reader" {
			targetIndex = b.aimAtReader(targetIndex)
		}
		names := b.lockNames(kinds[kindIndex].name, targetIndex)
		if !locks.tryLock(names) {
			continue
		}
		b.activeFaults.Go(func() {
			kinds[kindIndex].run(b, rand.New(rand.NewPCG(seed, 1)), targetIndex, duration)
			b.count(b.report.Faults, kinds[kindIndex].name)
			locks.unlock(names)
		})
	}
}

// weighted returns faults with some of them repeated, which are drawn more often: those that
// have many variants or show something in few requests.
func weighted(kinds []fault) []fault {
	repeated := slices.Clone(kinds)
	for _, kind := range kinds {
		switch kind.name {
		case "endpoint", "slow", "clogged":
			repeated = append(repeated, kind, kind, kind)
		case "hold", "endpointPause", "early", "cold", "limited", "configuration", "reusedAddress", "reader", "leavingDuringCut":
			repeated = append(repeated, kind)
		}
	}
	return repeated
}

// lockNames returns the names of what only one fault may use at a time: a host, an endpoint,
// its link or, for the faults that take an endpoint from the hosts, the kind of fault, so
// that enough endpoints are left. Thus at most one link of all endpoints is disturbed and
// one is held, and one endpoint is paused and one is killed.
func (b *testbed) lockNames(faultName string, targetIndex int) []string {
	endpoint := targetIndex % len(b.endpoints)
	switch faultName {
	case "kill", "stop", "pause", "reload":
		return []string{b.hosts[targetIndex%len(b.hosts)].settings.Name}
	case "endpoint", "slowFailure", "slow", "leaving", "spared", "early":
		return []string{fmt.Sprint("endpoint ", endpoint)}
	case "reader":
		// The excuses of the store's other faults would hide what this one finds.
		return []string{faultName, "storeLink", "refusedByStore", fmt.Sprint("endpoint ", endpoint), b.hosts[targetIndex%len(b.hosts)].settings.Name}
	case "leavingDuringCut":
		return []string{"hostCut", "storeLink", "refusedByStore", fmt.Sprint("endpoint ", endpoint)}
	case "endpointPause", "endpointKill", "reusedAddress", "cold", "limited":
		return []string{faultName, fmt.Sprint("endpoint ", endpoint)}
	case "clogged":
		return []string{faultName, fmt.Sprint("endpoint ", endpoint), fmt.Sprint("link ", endpoint)}
	case "endpointLink", "hold":
		return []string{faultName, fmt.Sprint("link ", endpoint)}
	}
	return []string{faultName}
}

// lockSet holds the names that are in use.
type lockSet struct {
	mu   sync.Mutex
	used map[string]bool
}

// tryLock takes all names, or none if one is in use.
func (l *lockSet) tryLock(names []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(names, func(name string) bool { return l.used[name] }) {
		return false
	}
	if l.used == nil {
		l.used = make(map[string]bool)
	}
	for _, name := range names {
		l.used[name] = true
	}
	return true
}

func (l *lockSet) unlock(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		delete(l.used, name)
	}
}
