package steer

import (
	"math"
	"net/netip"
	"time"

	"filberthold/hashes"
	"filberthold/model"
	"filberthold/roster"
)

const (
	// reportDecay is the time constant with which the other hosts' requests
	// in a load report decay: most of them have ended by then.
	reportDecay = 200 * time.Millisecond
	// slownessDecay is the time constant with which the slowness of an endpoint
	// decays. Other workloads on the same machine slow endpoints down for short
	// times.
	slownessDecay = 1500 * time.Millisecond
	// failureDecay is the time constant with which counted results decay.
	failureDecay = 3 * time.Second
	// suspectTime is how long an endpoint is avoided after it was unreachable.
	suspectTime = time.Second
	// maxSuspectTime bounds that time when it is unreachable repeatedly.
	maxSuspectTime = 4 * time.Second
)

// endpoint holds the state of an endpoint: its registration in the roster, and
// the load, latency and failures that this host and its peers observed.
type endpoint struct {
	name        model.EndpointName
	service     model.ServiceName
	address     netip.AddrPort
	zone        model.ZoneName
	region      model.RegionName
	slots       int
	incarnation int64
	hash        uint64
	coldUntil   time.Time
	pacer       pacer
	// rate is what this host knows of the limit that the endpoint names.
	rate rateState
	// spare is the time for which the endpoint asked to be spared.
	spare spareState

	// isUsable is true while the endpoint is one of those that Update got and is not
	// leaving. Requests may still be in flight when it is false.
	isUsable bool
	// inFlight is the number of this host's requests at the endpoint.
	inFlight int
	// lastAnnounced is the value of inFlight that was last sent to other hosts.
	lastAnnounced int
	// peerInFlight is the number of requests that other hosts report to have in
	// flight at the endpoint.
	peerInFlight int
	// reportedOthers is the number of other hosts' requests at reportedAt, by the
	// endpoint's load report.
	reportedOthers float64
	reportedAt     time.Time
	// slowness is the ratio of response time to the service's median at slownessAt.
	// It is at least 1 and decays towards 1.
	slowness   float64
	slownessAt time.Time
	// speedLog is the logarithm of the slowness at speedAt by the work of the requests, if
	// their costs are learned. It decays towards 0.
	speedLog float64
	speedAt  time.Time
	// running is the work of this host's requests at the endpoint, if it is known.
	running []Work
	// failures and successes are decayed counts at countedAt.
	failures  float64
	successes float64
	countedAt time.Time
	// unreachableCount counts how often the endpoint was unreachable since its last
	// response.
	unreachableCount int
	suspectUntil     time.Time
	// answeredAt is when the endpoint last answered a request of this host.
	answeredAt time.Time
	// silentUntil is the time until which requests may still arrive that ended without an
	// answer. It is zero if the endpoint has answered one that was sent after them.
	silentUntil time.Time
}

func newEndpoint(registered roster.Endpoint) *endpoint {
	created := &endpoint{name: registered.Name, hash: hashes.Sum(string(registered.Name)), slowness: 1}
	created.update(registered)
	return created
}

// update applies the endpoint's registration. A new incarnation starts without
// observations.
func (e *endpoint) update(registered roster.Endpoint) {
	if e.incarnation != registered.Incarnation {
		*e = endpoint{name: e.name, hash: e.hash, slowness: 1, incarnation: registered.Incarnation}
	}
	e.service, e.address, e.zone, e.region = registered.Service, registered.Address, registered.Zone, registered.Region
	e.slots = registered.Slots
	if registered.ColdUntil.After(e.coldUntil) {
		e.coldUntil = registered.ColdUntil
	}
}

// load is the expected number of requests at the endpoint.
func (e *endpoint) load(now time.Time) float64 {
	return float64(e.inFlight) + max(float64(e.peerInFlight), e.reportedOthers*decay(now.Sub(e.reportedAt), reportDecay))
}

// applyLoadReport applies a load report of the endpoint. Its busy count
// includes this host's requests.
func (e *endpoint) applyLoadReport(busy int, now time.Time) {
	e.reportedOthers = max(0, float64(busy-e.inFlight))
	e.reportedAt = now
}

func (e *endpoint) currentSlowness(now time.Time) float64 {
	return 1 + (e.slowness-1)*decay(now.Sub(e.slownessAt), slownessDecay)
}

// recordTimeRatio records the ratio of a response time to the service's median.
func (e *endpoint) recordTimeRatio(ratio float64, now time.Time) {
	const weight = 0.4
	// A single long request is weak evidence of a slow endpoint.
	const maxRatio = 4
	current := e.currentSlowness(now)
	e.slowness = max(1, current+(min(ratio, maxRatio)-current)*weight)
	e.slownessAt = now
}

// countResult counts the result of a request.
func (e *endpoint) countResult(hasFailed bool, now time.Time) {
	factor := decay(now.Sub(e.countedAt), failureDecay)
	e.failures *= factor
	e.successes *= factor
	e.countedAt = now
	if hasFailed {
		e.failures++
		return
	}
	e.successes++
}

// failureRate is the fraction of recent requests that failed. Two assumed
// successes keep a single failure from counting as an outage.
func (e *endpoint) failureRate(now time.Time) float64 {
	const assumedSuccesses = 2
	failures := e.failures * decay(now.Sub(e.countedAt), failureDecay)
	return failures / (failures + e.successes*decay(now.Sub(e.countedAt), failureDecay) + assumedSuccesses)
}

// markUnreachable makes the endpoint suspect, for longer with each consecutive
// failure to reach it.
func (e *endpoint) markUnreachable(now time.Time) {
	e.unreachableCount++
	e.suspectUntil = now.Add(min(suspectTime*time.Duration(e.unreachableCount), maxSuspectTime))
}

// recordAnswer records that the endpoint answered a request.
func (e *endpoint) recordAnswer(now time.Time) { e.answeredAt, e.silentUntil = now, time.Time{} }

// MaxHoldTime is how long after its end a request that got no answer may still arrive at
// its endpoint, which is stopped or behind a link that holds bytes.
const MaxHoldTime = 2 * time.Minute

// recordSilence records that a request that was sent at a time ended without an answer.
func (e *endpoint) recordSilence(sentAt, now time.Time) {
	if !e.answeredAt.After(sentAt) {
		e.silentUntil = now.Add(MaxHoldTime)
	}
}

// mayHold reports whether the endpoint, or the link to it, may hold a request for long
// before it arrives. Retries that are held would arrive at once, although the retry limit
// allows them over a longer time.
func (e *endpoint) mayHold(query Query, now time.Time) bool {
	return query.IsRepeat() && now.Before(e.silentUntil)
}

func (e *endpoint) isCold(now time.Time) bool { return now.Before(e.coldUntil) }

// isUp reports whether the endpoint is reachable and warm.
func (e *endpoint) isUp(now time.Time) bool { return !e.isSuspect(now) && !e.isCold(now) }

// isAvailable reports whether the endpoint accepts requests now, unless its slots
// are taken.
func (e *endpoint) isAvailable(now time.Time) bool {
	return e.isUp(now) && !e.rate.isDeferred(now) && !e.spare.isHeld(now)
}

func (e *endpoint) isSuspect(now time.Time) bool { return now.Before(e.suspectUntil) }

// decay returns the factor by which a value has decayed exponentially after
// elapsed.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// pacer is a token bucket that spaces the requests to a cold endpoint.
type pacer struct {
	// nextAt is the time from which the next request may be sent.
	nextAt time.Time
}

func (p *pacer) canSend(now time.Time) bool { return !now.Before(p.nextAt) }

// recordSent delays the next request by 1/rate. rate is in requests per second,
// and at least 0.1 is used.
func (p *pacer) recordSent(rate float64, now time.Time) {
	p.nextAt = now.Add(time.Duration(float64(time.Second) / max(rate, 0.1)))
}
