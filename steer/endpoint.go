package steer

import (
	"math"
	"net/netip"
	"time"

	"filberthold/model"
	"filberthold/roster"
)

const (
	// reportDecay is the time in which what a load report says of other hosts'
	// requests fades: most of them have ended by then.
	reportDecay = 200 * time.Millisecond
	// slownessDecay is the time in which a slow response fades. Endpoints are
	// slowed by their neighbours for moments.
	slownessDecay = 1500 * time.Millisecond
	// failureDecay is the time in which failures fade.
	failureDecay = 3 * time.Second
	// suspicion is how long an endpoint that could not be reached is avoided.
	suspicion = time.Second
	// maxSuspicion bounds the pause after repeated failures to reach it.
	maxSuspicion = 4 * time.Second
)

// endpoint is what this host knows of an endpoint from the roster and from its
// own requests.
type endpoint struct {
	name      model.EndpointName
	service   model.ServiceName
	address   netip.AddrPort
	zone      model.ZoneName
	region    model.RegionName
	slots     int
	born      int64
	hash      uint64
	coldUntil time.Time
	pacer     pacer

	// inFlight is the number of this host's requests at the endpoint.
	inFlight int
	// announced is the number that other hosts know.
	announced int
	// told is the number of requests that other hosts have at the endpoint by
	// their own word.
	told int
	// others is the number of other hosts' requests at reportedAt.
	others     float64
	reportedAt time.Time
	// slowness is the decayed ratio of response time to the service's median.
	slowness float64
	slowAt   time.Time
	// failures and successes are decayed counts at countedAt.
	failures  float64
	successes float64
	countedAt time.Time
	// streak counts the failures to reach the endpoint since its last answer.
	streak       int
	suspectUntil time.Time
}

func newEndpoint(known roster.Endpoint) *endpoint {
	made := &endpoint{name: known.Name, hash: hash64(string(known.Name)), slowness: 1}
	made.update(known)
	return made
}

// update takes over what the roster says. A new incarnation starts without
// observations.
func (e *endpoint) update(known roster.Endpoint) {
	if e.born != known.Incarnation {
		*e = endpoint{name: e.name, hash: e.hash, slowness: 1, born: known.Incarnation}
	}
	e.service, e.address, e.zone, e.region = known.Service, known.Address, known.Zone, known.Region
	e.slots = known.Slots
	if known.ColdUntil.After(e.coldUntil) {
		e.coldUntil = known.ColdUntil
	}
}

// load is the expected number of requests at the endpoint.
func (e *endpoint) load(now time.Time) float64 {
	return float64(e.inFlight) + max(float64(e.told), e.others*fade(now.Sub(e.reportedAt), reportDecay))
}

// report takes in a load report, which counts this host's requests too.
func (e *endpoint) report(busy int, now time.Time) {
	e.others = max(0, float64(busy-e.inFlight))
	e.reportedAt = now
}

func (e *endpoint) currentSlowness(now time.Time) float64 {
	return 1 + (e.slowness-1)*fade(now.Sub(e.slowAt), slownessDecay)
}

// observeTime takes in a response time in relation to the median.
func (e *endpoint) observeTime(ratio float64, now time.Time) {
	const weight = 0.4
	// A single long piece of work says little about the endpoint.
	const maxRatio = 4
	current := e.currentSlowness(now)
	e.slowness = max(1, current+(min(ratio, maxRatio)-current)*weight)
	e.slowAt = now
}

func (e *endpoint) count(hasFailed bool, now time.Time) {
	kept := fade(now.Sub(e.countedAt), failureDecay)
	e.failures *= kept
	e.successes *= kept
	e.countedAt = now
	if hasFailed {
		e.failures++
		return
	}
	e.successes++
}

// failureRate is the part of recent requests that failed. Two imagined
// successes keep a single failure from looking like an outage.
func (e *endpoint) failureRate(now time.Time) float64 {
	const imagined = 2
	failures := e.failures * fade(now.Sub(e.countedAt), failureDecay)
	return failures / (failures + e.successes*fade(now.Sub(e.countedAt), failureDecay) + imagined)
}

// noteUnreachable suspects the endpoint for longer with each failure in a row.
func (e *endpoint) noteUnreachable(now time.Time) {
	e.streak++
	e.suspectUntil = now.Add(min(suspicion*time.Duration(e.streak), maxSuspicion))
}

func (e *endpoint) isCold(now time.Time) bool { return now.Before(e.coldUntil) }

// isAvailable reports whether the endpoint takes requests at its full rate.
func (e *endpoint) isAvailable(now time.Time) bool { return !e.isSuspect(now) && !e.isCold(now) }

func (e *endpoint) isSuspect(now time.Time) bool { return now.Before(e.suspectUntil) }

func fade(elapsed, over time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(over))
}

// pacer is a token bucket that spaces the requests to a cold endpoint.
type pacer struct {
	// nextAt is the time from which the next request may go out.
	nextAt time.Time
}

func (p *pacer) isOpen(now time.Time) bool { return !now.Before(p.nextAt) }

func (p *pacer) take(rate float64, now time.Time) {
	p.nextAt = now.Add(time.Duration(float64(time.Second) / max(rate, 0.1)))
}
