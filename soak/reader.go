package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

const (
	// minOutage and maxOutage bound the pause after which a reader of the store takes missing
	// entries for expired ones: more than two heartbeats.
	minOutage, maxOutage = 2200 * time.Millisecond, 4 * time.Second
	// readerWait bounds the wait until a host reads the store again.
	readerWait = time.Second
	// maxSettle bounds the time until the entry of an endpoint changes, in which the other
	// hosts learn who reads again, and maxGrace the time from then to the second fault of the
	// reader. Together they are the time for which a reader holds removals back.
	maxSettle, maxGrace = time.Second, time.Second
	// minStay and maxStayBehind bound how long an endpoint serves after drainTime.
	minStay, maxStayBehind = time.Second, 4 * time.Second
)

// departure is the leaving of an endpoint that goes on to serve.
type departure struct {
	endpoint int
	id       string
	// at is when the store accepted the entry's change, and end when the endpoint returned.
	at, end time.Time
}

// aimAtReader changes the target of a fault so that it includes the host that reads the
// entries of the endpoints.
func (b *testbed) aimAtReader(targetIndex int) int {
	reader := b.store.LastReader(platform.EndpointTable)
	for i := range b.hosts {
		if b.hosts[(targetIndex+i)%len(b.hosts)].settings.IP == reader {
			return targetIndex + i
		}
	}
	return targetIndex
}

// changeReader pauses the reader of the store until it takes the pause for an outage, lets an
// endpoint leave when the host reads again, and disturbs the host once more. The endpoint
// returns under another id.
func (b *testbed) changeReader(host *hostProcess, index int, random *rand.Rand, duration time.Duration) error {
	if err := b.pauseHost(host, randomBetween(random, minOutage, maxOutage)); err != nil {
		return err
	}
	b.waitUntilReader(host)
	b.sleep(randomBetween(random, 0, maxSettle))
	leaving := b.startDeparture(index, random)
	b.sleep(randomBetween(random, 0, maxGrace))
	err := b.disturbReader(host, random.IntN(4), duration)
	b.endDeparture(leaving, random)
	return err
}

// startDeparture lets an endpoint leave that goes on to serve.
func (b *testbed) startDeparture(index int, random *rand.Rand) departure {
	leaving := departure{endpoint: index, id: b.endpoints[index].ID()}
	if random.IntN(4) == 0 {
		b.writeEntry(index, "draining")
	} else {
		b.store.Remove(platform.EndpointTable, leaving.id)
	}
	leaving.at = time.Now()
	return leaving
}

// endDeparture lets the endpoint return under another id, some time after the hosts must have
// stopped using it.
func (b *testbed) endDeparture(leaving departure, random *rand.Rand) {
	b.sleep(time.Until(leaving.at.Add(drainTime + randomBetween(random, minStay, maxStayBehind))))
	leaving.end = time.Now()
	b.mu.Lock()
	b.departures = append(b.departures, leaving)
	b.mu.Unlock()
	b.store.Remove(platform.EndpointTable, leaving.id)
	newID := fmt.Sprintf("i-%d-%d", leaving.endpoint, random.IntN(1_000_000))
	b.setEndpoint(leaving.endpoint, func(endpoint *fake.Endpoint) { endpoint.Rename(newID) })
	b.writeEntry(leaving.endpoint, "ready")
}

func (b *testbed) pauseHost(host *hostProcess, duration time.Duration) error {
	if err := host.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	b.sleep(duration)
	return host.signal(syscall.SIGCONT)
}

func (b *testbed) waitUntilReader(host *hostProcess) {
	for end := time.Now().Add(readerWait); time.Now().Before(end); b.sleep(10 * time.Millisecond) {
		if b.store.LastReader(platform.EndpointTable) == host.settings.IP {
			return
		}
	}
}

// disturbReader kills, stops or pauses a host, or cuts it off from the store.
func (b *testbed) disturbReader(host *hostProcess, kind int, duration time.Duration) error {
	switch kind {
	case 0:
		if err := host.kill(); err != nil {
			return err
		}
	case 1:
		if err := host.stop(); err != nil {
			return err
		}
	case 2:
		return b.pauseHost(host, duration)
	default:
		b.injectCondition([]*faultProxy{host.storeProxy}, condition{mode: blackhole}, duration)
		return nil
	}
	b.sleep(duration)
	return host.start()
}

// checkDepartures checks that no host in touch sent a request to an endpoint that had left
// more than drainTime before.
func (c *callers) checkDepartures() {
	requests := make(map[string]endedRequest, len(c.ended))
	for _, request := range c.ended {
		requests[request.attempt] = request
	}
	for _, leaving := range c.testbed.departures {
		for _, host := range c.testbed.hosts {
			if host.isInTouch(leaving.at.Add(drainTime), leaving.at.Add(-stableWindow)) {
				c.testbed.count(c.testbed.report.Checked, "departures")
			}
		}
		for _, exchange := range c.testbed.endpoints[leaving.endpoint].Exchanges() {
			request, exists := requests[exchange.Attempt]
			if !exists || exchange.ID != leaving.id {
				continue
			}
			c.testbed.checkDeparture(leaving, sentRequest{request, exchange})
		}
	}
}

// checkDeparture checks one request to an endpoint.
func (b *testbed) checkDeparture(leaving departure, sent sentRequest) {
	arrivedAt := sent.exchange.ArrivedAt
	isHeldUp := b.endpointProxies[leaving.endpoint].hadFault(arrivedAt.Add(-stableWindow), arrivedAt)
	if !leaving.isLate(arrivedAt) || isHeldUp || !sent.host.isInTouch(arrivedAt, leaving.at.Add(-stableWindow)) {
		return
	}
	b.recordViolation("%s: sent by %s to %s, which had left %s before", sent.attempt, sent.host.settings.Name, leaving.id, arrivedAt.Sub(leaving.at))
}

// isLate reports whether no request may arrive at an endpoint at a time.
func (d departure) isLate(at time.Time) bool {
	return at.After(d.at.Add(drainTime)) && at.Before(d.end)
}
