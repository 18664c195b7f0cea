package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// faultPlay is how long faults are injected.
const faultPlay = 8 * time.Second

// pauseHosts stops the processes of hosts and lets them continue, until a time.
func (b *testbed) pauseHosts(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		host := b.hosts[random.IntN(len(b.hosts)-1)]
		_ = host.signal(syscall.SIGSTOP)
		time.Sleep(randomBetween(random, time.Millisecond, 300*time.Millisecond))
		_ = host.signal(syscall.SIGCONT)
		time.Sleep(randomBetween(random, time.Millisecond, 200*time.Millisecond))
	}
}

// harmLinks harms the links to endpoints, one after the other, until a time.
func (b *testbed) harmLinks(random *rand.Rand, end time.Time) {
	harms := []mode{reset, resetResponse, dropResponses, blackhole, slow, holdRequests, holdResponses, holdAll, resetAfter}
	for time.Now().Before(end) {
		proxy := b.endpointProxies[random.IntN(len(b.endpointProxies))]
		proxy.setCondition(condition{mode: harms[random.IntN(len(harms))], bytes: random.IntN(maxBodyBytes)})
		time.Sleep(randomBetween(random, time.Millisecond, 150*time.Millisecond))
		proxy.setMode(pass)
		time.Sleep(randomBetween(random, time.Millisecond, 150*time.Millisecond))
	}
}

// restartLastHost stops the last host, kills it, and starts it again, until a time.
func (b *testbed) restartLastHost(t *testing.T, end time.Time) {
	host := b.hosts[len(b.hosts)-1]
	for isKill := false; time.Now().Before(end); isKill = !isKill {
		time.Sleep(1500 * time.Millisecond)
		if isKill {
			assert.Check(t, host.kill())
		} else {
			assert.Check(t, host.stop())
		}
		assert.Check(t, host.start())
	}
}

// Guards against a promise that a request did not run, although it has: while processes
// are paused, stopped and killed between any two steps, and connections break at any byte.
func TestRefusedRequestsDoNotRunDuringFaults(t *testing.T) {
	const seed = 37
	b := startTestbed(t, 3, 8)
	for _, endpoint := range b.endpoints {
		endpoint.SetLatency(3 * time.Millisecond)
		endpoint.SetRefusal(fake.Refusal{Status: "503 Service Unavailable", Copy: fake.CopyLate})
		endpoint.SetBehaviours(fake.Serve, fake.Refuse, fake.Serve, fake.Serve, fake.RunAndRefuse, fake.Serve, fake.Serve)
	}
	end := time.Now().Add(faultPlay)
	var group sync.WaitGroup
	group.Go(func() { b.pauseHosts(rand.New(rand.NewPCG(seed, 1)), end) })
	group.Go(func() { b.harmLinks(rand.New(rand.NewPCG(seed, 2)), end) })
	group.Go(func() { b.restartLastHost(t, end) })
	player := &refusedPlayer{testbed: b, name: "faults", statuses: make(map[string]int)}
	player.play(faultPlay)
	group.Wait()
	// Requests that are still in flight may run until their deadline.
	time.Sleep(callerTimeout)
	both, refused, run := player.refusedAndRun()
	t.Logf("seed %d: %d requests, %d refused, %d run, %d refused and run", seed, len(player.statuses), refused, run, len(both))
	assert.Assert(t, run > 0 && refused > 0, "nothing has run, or nothing was refused")
	assert.Equal(t, len(both), 0, "refused and run: %.200q", both)
}
