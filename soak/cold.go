package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"filberthold/platform/fake"
)

const (
	// coldTimeStated is the cold time after a start that the configuration states.
	coldTimeStated = 3 * time.Second
	// coldPerSecond is the rate of a cold endpoint that the configuration states. An endpoint
	// tolerates coldRatio times that rate, and coldSlack requests more.
	coldPerSecond, coldRatio, coldSlack = 2.6, 1.5, 5
	// coldWindow is the window of that bound.
	coldWindow = time.Second
	// maxExtensions bounds how often a cold endpoint becomes cold anew before it is warm.
	maxExtensions = 2
)

// coldTime is a time in which the entries of an endpoint stated that it is cold.
type coldTime struct {
	endpoint int
	id       string
	from, to time.Time
}

// becomeColdTwice lets an endpoint become cold, warm, and cold again, and states both in its
// entries.
func (b *testbed) becomeColdTwice(index int, random *rand.Rand) {
	b.becomeCold(index, random.IntN(maxExtensions+1))
	b.sleep(randomBetween(random, 0, heartbeat))
	b.becomeCold(index, maxExtensions)
}

// becomeCold lets an endpoint be cold for coldTimeStated after the last of some extensions,
// one in each heartbeat.
func (b *testbed) becomeCold(index, extensions int) {
	from := time.Now()
	var end time.Time
	for extension := 0; extension <= extensions || time.Now().Before(end); extension++ {
		if extension <= extensions {
			end = time.Now().Add(coldTimeStated)
			b.setEndpoint(index, func(endpoint *fake.Endpoint) { endpoint.SetColdUntil(end) })
		}
		b.writeEntry(index, "ready")
		b.sleep(heartbeat)
	}
	b.writeEntry(index, "ready")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldTimes = append(b.coldTimes, coldTime{endpoint: index, id: b.endpoints[index].ID(), from: from, to: end})
}

// checkColdTimes checks that no endpoint got more requests in a second than a cold one
// tolerates, from drainTime after it became cold. Only those count that were sent within that
// second.
func (c *callers) checkColdTimes() {
	sentAt := make(map[string]time.Time, len(c.ended))
	for _, request := range c.ended {
		sentAt[request.attempt] = request.sentAt
	}
	for _, cold := range c.testbed.coldTimes {
		var sent []sentTimes
		for _, exchange := range c.testbed.endpoints[cold.endpoint].Exchanges() {
			if at, exists := sentAt[exchange.Attempt]; exists && exchange.ID == cold.id {
				sent = append(sent, sentTimes{at, exchange.ArrivedAt})
			}
		}
		if count, end := mostInWindow(sent, cold.from.Add(drainTime), cold.to, c.testbed.knewColdTime(cold)); float64(count) > coldBound {
			c.testbed.recordViolation("%s, cold from %s, got %d requests in the second until %s",
				cold.id, cold.from.Format(logTime), count, end.Format(logTime))
		}
		if isKnown := c.testbed.knewColdTime(cold); isKnown(cold.from.Add(drainTime + coldWindow)) {
			c.testbed.count(c.testbed.report.Checked, "cold times")
		}
	}
}

// coldBound is the largest number of requests that a cold endpoint may get in coldWindow.
const coldBound = coldPerSecond*coldRatio + coldSlack

// sentTimes are the times at which a caller sent a request and an endpoint got it.
type sentTimes struct{ sentAt, arrivedAt time.Time }

// mostInWindow returns the largest number of requests that were sent and arrived within a
// coldWindow between two times, and the end of that window. Windows that are not to be judged
// are left out.
func mostInWindow(sent []sentTimes, from, to time.Time, isJudged func(end time.Time) bool) (most int, end time.Time) {
	slices.SortFunc(sent, func(a, b sentTimes) int { return a.arrivedAt.Compare(b.arrivedAt) })
	for i, last := range sent {
		start := last.arrivedAt.Add(-coldWindow)
		if start.Before(from) || last.arrivedAt.After(to) || !isJudged(last.arrivedAt) {
			continue
		}
		count := 0
		for _, each := range sent[:i+1] {
			if each.sentAt.After(start) {
				count++
			}
		}
		if count > most {
			most, end = count, last.arrivedAt
		}
	}
	return most, end
}

// knewColdTime returns a function that reports whether all hosts knew of a cold time before a
// window that ends at a time: no process was paused and none lost the store since stableWindow
// before.
func (b *testbed) knewColdTime(cold coldTime) func(end time.Time) bool {
	return func(end time.Time) bool {
		return !slices.ContainsFunc(b.hosts, func(host *hostProcess) bool {
			since := cold.from.Add(-stableWindow)
			return host.wasPaused(since, end) || host.storeProxy.hadFault(since, end)
		})
	}
}
