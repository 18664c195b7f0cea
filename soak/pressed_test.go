package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

const (
	// pressedCallers is the number of callers of each host. Each has one request in flight
	// and sends the next one at once.
	pressedCallers = 24
	// playVariable names how long each play of these tests lasts, and playTime is that
	// without it.
	playVariable = "FILBERTHOLD_SOAK_PLAY"
	playTime     = 1500 * time.Millisecond
	// playSeed is the seed of the callers and of the faults.
	playSeed = 37
)

// playEnd returns the end of a play that starts now.
func playEnd(t *testing.T) time.Time {
	t.Helper()
	duration, err := time.ParseDuration(os.Getenv(playVariable))
	if err != nil {
		duration = playTime
	}
	return time.Now().Add(duration)
}

// press lets callers of each host send reads, submits and exports until a time.
func (c *callers) press(perHost int, end time.Time) {
	var group sync.WaitGroup
	for number := range perHost * len(c.testbed.hosts) {
		group.Go(func() {
			host := c.testbed.hosts[number%len(c.testbed.hosts)]
			random := rand.New(rand.NewPCG(playSeed, uint64(number)))
			caller := &client{address: host.settings.CallerAddress()}
			defer caller.close()
			for count := 0; time.Now().Before(end); count++ {
				class := []string{"read", "submit", "export"}[random.IntN(3)]
				request := drawCall(random, class, fmt.Sprintf("p-%d-%d", number, count))
				startedAt := time.Now()
				result := caller.send(request)
				c.check(host, request, class, startedAt, result)
				if result.status != 200 {
					time.Sleep(randomBetween(random, time.Millisecond, 20*time.Millisecond))
				}
			}
		})
	}
	group.Wait()
}

// repeatFault injects a fault again and again, until a time.
func repeatFault(end time.Time, random *rand.Rand, inject func(random *rand.Rand)) {
	for time.Now().Before(end) {
		inject(random)
		time.Sleep(randomBetween(random, time.Millisecond, 200*time.Millisecond))
	}
}

// shedSome lets up to half of the endpoints ask to be spared, for a time.
func (b *testbed) shedSome(random *rand.Rand) {
	chosen := random.Perm(len(b.endpoints))[:1+random.IntN(len(b.endpoints)/2)]
	for _, index := range chosen {
		b.setEndpoint(index, func(endpoint *fake.Endpoint) {
			endpoint.SetRetryAfter(fmt.Sprintf("%.3f", randomBetween(random, noticeTime, maxSpare).Seconds()))
			endpoint.SetBehaviour(fake.Shed)
			endpoint.SetEarly(random.IntN(4) == 0)
		})
	}
	time.Sleep(randomBetween(random, minHold, time.Second))
	for _, index := range chosen {
		b.setEndpoint(index, func(endpoint *fake.Endpoint) {
			endpoint.SetBehaviour(fake.Serve)
			endpoint.SetRetryAfter("")
			endpoint.SetEarly(false)
		})
	}
}

// limitOne lets an endpoint name another rate limit, or none.
func (b *testbed) limitOne(random *rand.Rand) {
	b.setEndpoint(random.IntN(len(b.endpoints)), func(endpoint *fake.Endpoint) {
		endpoint.SetRateLimit([]string{"", "15", "40"}[random.IntN(3)])
	})
}

// rewriteEntry writes the entry of an endpoint again, at times after its removal.
func (b *testbed) rewriteEntry(random *rand.Rand) {
	index := random.IntN(len(b.endpoints))
	if random.IntN(2) == 0 {
		b.store.Remove(platform.EndpointTable, b.endpoints[index].ID())
		time.Sleep(randomBetween(random, time.Millisecond, 500*time.Millisecond))
	}
	b.writeEntry(index, "ready")
}

// harmOneLink harms the link to an endpoint for a time.
func (b *testbed) harmOneLink(random *rand.Rand) {
	proxy := b.endpointProxies[random.IntN(len(b.endpointProxies))]
	modes := []mode{reset, resetResponse, resetAfter, dropResponses, late, late, holdRequests, holdResponses, holdAll}
	b.injectCondition([]*faultProxy{proxy}, condition{
		mode: modes[random.IntN(len(modes))], delay: randomBetween(random, minHold, noticeTime), bytes: 1 + random.IntN(maxBytesBeforeReset),
	}, randomHold(random, 5*time.Second))
}

// pauseOneEndpoint stops an endpoint for a time.
func (b *testbed) pauseOneEndpoint(random *rand.Rand) {
	_ = b.pauseEndpoint(random.IntN(len(b.endpoints)), randomHold(random, maxSpare))
}

// renameOneEndpoint kills an endpoint and starts it again, often under another id.
func (b *testbed) renameOneEndpoint(random *rand.Rand) {
	_ = b.killEndpoint(random.IntN(len(b.endpoints)), random, randomBetween(random, time.Millisecond, noticeTime))
}

// slowHost lets the first host run for a small part of a time, without an excuse.
func (b *testbed) slowHost(random *rand.Rand) {
	process := b.hosts[0].command.Process
	_ = signalProcess(process, syscall.SIGSTOP)
	time.Sleep(randomBetween(random, 50*time.Millisecond, 250*time.Millisecond))
	_ = signalProcess(process, syscall.SIGCONT)
}

// pauseLastHost stops the last host for some seconds.
func (b *testbed) pauseLastHost(random *rand.Rand) {
	_ = b.pauseHost(b.hosts[len(b.hosts)-1], randomBetween(random, time.Second, 3*time.Second))
	time.Sleep(randomBetween(random, time.Second, 2*time.Second))
}

// Guards against endpoints that get requests in a time for which they asked a host to spare
// them, more time than is left, or a request more often than its route allows: while many
// requests wait for slots, permits, links and paused endpoints, hosts are slow, and entries
// and names change.
func TestEndpointsAreSparedUnderPressure(t *testing.T) {
	type fault = func(*testbed, *rand.Rand)
	for _, play := range []struct {
		name   string
		faults []fault
	}{
		{"callers", nil},
		{"permits and entries", []fault{(*testbed).limitOne, (*testbed).rewriteEntry}},
		{"links", []fault{(*testbed).harmOneLink, (*testbed).harmOneLink}},
		{"endpoints", []fault{(*testbed).pauseOneEndpoint, (*testbed).renameOneEndpoint}},
		{"hosts", []fault{(*testbed).slowHost, (*testbed).pauseLastHost}},
	} {
		t.Run(play.name, func(t *testing.T) {
			b := startTestbedWith(t, Options{Program: buildProgram(t), EndpointProgram: buildTree(t), Hosts: 2}, 8)
			c := newCallers(b)
			end := playEnd(t)
			var group sync.WaitGroup
			for number, inject := range append(play.faults, (*testbed).shedSome) {
				group.Go(func() {
					repeatFault(end, rand.New(rand.NewPCG(playSeed, uint64(number))), func(random *rand.Rand) { inject(b, random) })
				})
			}
			c.press(pressedCallers, end)
			group.Wait()
			time.Sleep(callerTimeout)
			c.checkNotices()
			c.checkDeadlines()
			c.checkAttempts()
			t.Logf("%d requests, %d refusals with Retry-After", len(c.ended), b.refusalsWithTime())
			assert.Equal(t, len(b.report.Violations), 0, "%q", b.report.Violations)
			assert.Assert(t, b.refusalsWithTime() > 0)
		})
	}
}

// refusalsWithTime counts the requests that endpoints refused with Retry-After.
func (b *testbed) refusalsWithTime() int {
	count := 0
	for _, endpoint := range b.endpoints {
		for _, exchange := range endpoint.Exchanges() {
			if exchange.RetryAfter != "" {
				count++
			}
		}
	}
	return count
}
