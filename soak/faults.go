package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
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
// one for each name that lockName returns.
func faults() []fault {
	onHost := func(inject func(b *testbed, host *hostProcess, duration time.Duration) error) func(*testbed, *rand.Rand, int, time.Duration) {
		return func(b *testbed, _ *rand.Rand, targetIndex int, duration time.Duration) {
			if err := inject(b, b.hosts[targetIndex%len(b.hosts)], duration); err != nil {
				b.recordViolation("%v", err)
			}
		}
	}
	return []fault{
		{"kill", onHost(func(_ *testbed, host *hostProcess, duration time.Duration) error {
			if err := host.kill(); err != nil {
				return err
			}
			time.Sleep(duration)
			return host.start()
		})},
		{"stop", onHost(func(_ *testbed, host *hostProcess, duration time.Duration) error {
			if err := host.stop(); err != nil {
				return err
			}
			time.Sleep(duration)
			return host.start()
		})},
		{"pause", onHost(func(_ *testbed, host *hostProcess, duration time.Duration) error {
			if err := host.signal(syscall.SIGSTOP); err != nil {
				return err
			}
			time.Sleep(duration)
			return host.signal(syscall.SIGCONT)
		})},
		{"reload", onHost(func(_ *testbed, host *hostProcess, _ time.Duration) error { return host.signal(syscall.SIGHUP) })},
		{"refusedByStore", onHost(func(b *testbed, host *hostProcess, duration time.Duration) error {
			b.store.SetRefused(host.settings.IP, true)
			time.Sleep(duration)
			b.store.SetRefused(host.settings.IP, false)
			return nil
		})},
		{"storeLink", func(b *testbed, random *rand.Rand, _ int, duration time.Duration) {
			injectProxyFault(b.storeProxy, random, duration)
		}},
		{"storeHistory", func(b *testbed, _ *rand.Rand, _ int, _ time.Duration) { b.store.DropHistory() }},
		{"configuration", func(b *testbed, _ *rand.Rand, _ int, _ time.Duration) {
			b.mu.Lock()
			version := 2 + b.report.Faults["configuration"]
			b.mu.Unlock()
			b.store.Put(platform.OperatorTable, platform.ConfigKey, fake.Config(version))
		}},
		{"endpointLink", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			injectProxyFault(b.endpointProxies[targetIndex%len(b.endpointProxies)], random, duration)
		}},
		{"hold", func(b *testbed, random *rand.Rand, targetIndex int, _ time.Duration) {
			b.injectHold(b.endpointProxies[targetIndex%len(b.endpointProxies)], random)
		}},
		{"endpoint", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			endpoint := b.endpoints[targetIndex%len(b.endpoints)]
			kinds := []fake.Behaviour{fake.Shed, fake.Reset, fake.Truncate, fake.WrongResponseFirst, fake.Unsigned, fake.Fail, fake.UnsignedEndless}
			endpoint.SetBehaviour(kinds[random.IntN(len(kinds))])
			time.Sleep(duration)
			endpoint.SetBehaviour(fake.Serve)
		}},
		{"leaving", func(b *testbed, _ *rand.Rand, targetIndex int, duration time.Duration) {
			index := targetIndex % len(b.endpoints)
			b.endpoints[index].SetLeaving(true)
			time.Sleep(duration)
			b.endpoints[index].Restart()
			b.writeEntry(index, 1)
		}},
		{"spared", func(b *testbed, random *rand.Rand, targetIndex int, duration time.Duration) {
			endpoint := b.endpoints[targetIndex%len(b.endpoints)]
			endpoint.SetRetryAfter(fmt.Sprintf("%.2f", randomBetween(random, 0, maxSpare).Seconds()))
			endpoint.SetBehaviour(fake.Shed)
			time.Sleep(duration)
			endpoint.SetBehaviour(fake.Serve)
			endpoint.SetRetryAfter("")
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

func injectProxyFault(proxy *faultProxy, random *rand.Rand, duration time.Duration) {
	modes := []mode{slow, blackhole, dropResponses, reset, resetResponse, byteByByte, late, resetAfter}
	injectCondition(proxy, condition{
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
	injectCondition(proxy, next, randomHold(random, b.options.Duration/2))
}

// randomHold draws a time so that all orders of magnitude are equally frequent. It is at
// most a limit.
func randomHold(random *rand.Rand, limit time.Duration) time.Duration {
	longest := max(minHold, min(maxHold, limit))
	return time.Duration(float64(minHold) * math.Pow(float64(longest)/float64(minHold), random.Float64()))
}

func injectCondition(proxy *faultProxy, next condition, duration time.Duration) {
	startedAt := time.Now()
	proxy.setCondition(next)
	time.Sleep(duration)
	proxy.setMode(pass)
	proxy.recordFault(startedAt)
}

// injectFaults starts random faults at random times until the duration of the
// soak has passed.
func (b *testbed) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(b.options.Seed, 0))
	end := time.Now().Add(b.options.Duration)
	kinds := faults()
	// locks holds a lock for each name that lockName returns. It is full while
	// a fault with that name is active.
	locks := make(map[string]chan struct{})
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(randomBetween(random, 50*time.Millisecond, 600*time.Millisecond))
		kindIndex := random.IntN(len(kinds))
		targetIndex, duration := random.IntN(1000), randomBetween(random, 100*time.Millisecond, 2500*time.Millisecond)
		seed := random.Uint64()
		name := b.lockName(kinds[kindIndex].name, targetIndex)
		if locks[name] == nil {
			locks[name] = make(chan struct{}, 1)
		}
		lock := locks[name]
		select {
		case lock <- struct{}{}:
		default:
			continue
		}
		b.activeFaults.Go(func() {
			kinds[kindIndex].run(b, rand.New(rand.NewPCG(seed, 1)), targetIndex, duration)
			b.count(b.report.Faults, kinds[kindIndex].name)
			<-lock
		})
	}
}

// lockName returns the name of the target on which only one fault may be
// active: a host, an endpoint or, for other faults, the kind of fault. Thus
// only one refusedByStore and one endpointLink are active, whatever their
// targets.
func (b *testbed) lockName(faultName string, targetIndex int) string {
	switch faultName {
	case "kill", "stop", "pause", "reload":
		return b.hosts[targetIndex%len(b.hosts)].settings.Name
	case "endpoint", "leaving", "spared":
		return b.endpointProxies[targetIndex%len(b.endpointProxies)].address()
	}
	return faultName
}
