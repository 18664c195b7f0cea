package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// fault disturbs the world and undoes it after a time.
type fault struct {
	name string
	run  func(w *world, random *rand.Rand, target int, length time.Duration)
}

// faults are all kinds. Several run at once, but one at a time on a host.
func faults() []fault {
	onHost := func(act func(w *world, one *host, length time.Duration) error) func(*world, *rand.Rand, int, time.Duration) {
		return func(w *world, _ *rand.Rand, target int, length time.Duration) {
			if err := act(w, w.hosts[target%len(w.hosts)], length); err != nil {
				w.breaks("%v", err)
			}
		}
	}
	return []fault{
		{"kill", onHost(func(_ *world, one *host, length time.Duration) error {
			if err := one.kill(); err != nil {
				return err
			}
			time.Sleep(length)
			return one.start()
		})},
		{"stop", onHost(func(_ *world, one *host, length time.Duration) error {
			if err := one.stop(); err != nil {
				return err
			}
			time.Sleep(length)
			return one.start()
		})},
		{"pause", onHost(func(_ *world, one *host, length time.Duration) error {
			if err := one.signal(syscall.SIGSTOP); err != nil {
				return err
			}
			time.Sleep(length)
			return one.signal(syscall.SIGCONT)
		})},
		{"reload", onHost(func(_ *world, one *host, _ time.Duration) error { return one.signal(syscall.SIGHUP) })},
		{"refusedByStore", onHost(func(w *world, one *host, length time.Duration) error {
			w.store.SetRefused(one.file.IP, true)
			time.Sleep(length)
			w.store.SetRefused(one.file.IP, false)
			return nil
		})},
		{"storeLink", func(w *world, random *rand.Rand, _ int, length time.Duration) {
			disturbLink(w.storeLink, random, length)
		}},
		{"storeHistory", func(w *world, _ *rand.Rand, _ int, _ time.Duration) { w.store.DropHistory() }},
		{"configuration", func(w *world, _ *rand.Rand, _ int, _ time.Duration) {
			w.mu.Lock()
			version := 2 + w.report.Faults["configuration"]
			w.mu.Unlock()
			w.store.Put(platform.OperatorTable, platform.ConfigKey, fake.Config(version))
		}},
		{"endpointLink", func(w *world, random *rand.Rand, target int, length time.Duration) {
			disturbLink(w.links[target%len(w.links)], random, length)
		}},
		{"endpoint", func(w *world, random *rand.Rand, target int, length time.Duration) {
			endpoint := w.endpoints[target%len(w.endpoints)]
			kinds := []fake.Behaviour{fake.Shed, fake.Reset, fake.Truncate, fake.WrongResponseFirst, fake.Unsigned, fake.Fail, fake.UnsignedEndless}
			endpoint.SetBehaviour(kinds[random.IntN(len(kinds))])
			time.Sleep(length)
			endpoint.SetBehaviour(fake.Serve)
		}},
	}
}

func disturbLink(link *proxy, random *rand.Rand, length time.Duration) {
	modes := []mode{slow, silent, deaf, reset, resetAnswer}
	link.set(modes[random.IntN(len(modes))])
	time.Sleep(length)
	link.set(pass)
}

// disturb starts faults at random times until the duration has passed.
func (w *world) disturb(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	until := time.Now().Add(w.options.Duration)
	kinds := faults()
	// busy has one element for each host or endpoint that a fault holds.
	busy := make(map[string]chan struct{})
	for time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(randomBetween(random, 50*time.Millisecond, 600*time.Millisecond))
		chosen := random.IntN(len(kinds))
		target, length := random.IntN(1000), randomBetween(random, 100*time.Millisecond, 2500*time.Millisecond)
		seed := random.Uint64()
		place := w.placeOf(kinds[chosen].name, target)
		if busy[place] == nil {
			busy[place] = make(chan struct{}, 1)
		}
		held := busy[place]
		select {
		case held <- struct{}{}:
		default:
			continue
		}
		w.faulting.Go(func() {
			kinds[chosen].run(w, rand.New(rand.NewPCG(seed, 1)), target, length)
			w.count(w.report.Faults, kinds[chosen].name)
			<-held
		})
	}
}

// placeOf names what a fault holds.
func (w *world) placeOf(name string, target int) string {
	switch name {
	case "kill", "stop", "pause", "reload":
		return w.hosts[target%len(w.hosts)].file.Name
	case "endpoint":
		return w.links[target%len(w.links)].address()
	}
	return name
}
