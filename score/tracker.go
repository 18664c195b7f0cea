// Package score keeps what one host has observed of each endpoint, chooses
// between endpoints, and bounds hedged requests and retries.
package score

import (
	"math"
	"time"

	"filberthold/model"
)

const (
	// decayTime is the time in which a peak of the response time falls to 37%
	// of its distance from the median. Stragglers are slow for moments, so an
	// endpoint is tried again after about a second.
	decayTime = time.Second
	// failureDecayTime is longer, because a failure costs a caller more than a
	// slow response does.
	failureDecayTime = 5 * time.Second
	// failureWeight makes an endpoint look as if that many more requests were
	// in flight for each recent failure.
	failureWeight = 4
	// failingStreak is the number of failures in a row after which an endpoint
	// is avoided, for failingPause after the last one.
	failingStreak = 3
	failingPause  = 3 * time.Second
	// hedgeMedians bounds the delay of a hedge in medians of the response time.
	hedgeMedians = 1.5
	// stragglerMedians is the response time in medians from which an endpoint is
	// a straggler. Jitter and a cold cache stay below it.
	stragglerMedians = 3
	// firstWeight is the part of its full weight with which an endpoint starts.
	firstWeight = 0.1
)

// Tracker holds the observations of one host. It is not safe for concurrent use.
type Tracker struct {
	endpoints map[model.EndpointName]*observed
	services  map[model.ServiceName]*LatencyWindow
}

type observed struct {
	service model.ServiceName
	// inFlight holds each attempt in flight.
	inFlight map[uint64]flight
	// reported is the number of busy slots in the latest load report.
	reported int
	// peak is the peak-sensitive mean of the response time at peakAt: a longer
	// response replaces it, and it decays towards the median of the service.
	peak   time.Duration
	peakAt time.Time
	// failures is the decayed number of failures at failedAt.
	failures float64
	failedAt time.Time
	// streak counts the failures since the last answer.
	streak int
	// rampFrom is the time of the first attempt.
	rampFrom  time.Time
	lastUsed  time.Time
	slowStart time.Duration
}

// flight is an attempt in flight.
type flight struct {
	start time.Time
	// hasResponded is true if the response header has arrived. The rest of the
	// response depends on its length and says little about the endpoint.
	hasResponded bool
}

// NewTracker returns a board without observations.
func NewTracker() *Tracker {
	return &Tracker{endpoints: make(map[model.EndpointName]*observed), services: make(map[model.ServiceName]*LatencyWindow)}
}

// Add makes an endpoint known. Its weight ramps up from its first attempt
// during slowStart; 0 gives full weight at once. A known endpoint keeps its
// observations.
func (t *Tracker) Add(endpoint model.EndpointName, service model.ServiceName, slowStart time.Duration) {
	if t.endpoints[endpoint] != nil {
		return
	}
	t.endpoints[endpoint] = &observed{service: service, inFlight: make(map[uint64]flight), slowStart: slowStart}
	if t.services[service] == nil {
		t.services[service] = &LatencyWindow{}
	}
}

// Remove drops an endpoint, so that its next incarnation starts slowly.
func (t *Tracker) Remove(endpoint model.EndpointName) { delete(t.endpoints, endpoint) }

// RecordSent reports that an attempt was sent.
func (t *Tracker) RecordSent(endpoint model.EndpointName, attempt uint64, now time.Time) {
	seen := t.endpoints[endpoint]
	if seen == nil {
		return
	}
	seen.inFlight[attempt] = flight{start: now}
	seen.lastUsed = now
	if seen.rampFrom.IsZero() {
		seen.rampFrom = now
	}
}

// RecordResult reports the end of an attempt. Of an attempt that was cancelled it
// is known only that it took at least this long.
func (t *Tracker) RecordResult(endpoint model.EndpointName, attempt uint64, result Result, now time.Time) {
	seen := t.endpoints[endpoint]
	if seen == nil {
		return
	}
	sent, exists := seen.inFlight[attempt]
	if !exists {
		return
	}
	delete(seen.inFlight, attempt)
	switch result {
	case Answered:
		seen.streak = 0
		if !sent.hasResponded {
			t.answered(seen, now.Sub(sent.start), now)
		}
	case Cancelled:
		if !sent.hasResponded {
			seen.raise(now.Sub(sent.start), t.median(seen.service), now, false)
		}
	case Failed:
		seen.failures = seen.recentFailures(now) + 1
		seen.failedAt = now
		seen.streak++
	}
}

// RecordResponse reports the response header of an attempt whose body follows. Its
// time counts in place of the time of the whole response.
func (t *Tracker) RecordResponse(endpoint model.EndpointName, attempt uint64, now time.Time) {
	seen := t.endpoints[endpoint]
	if seen == nil {
		return
	}
	sent, exists := seen.inFlight[attempt]
	if !exists || sent.hasResponded {
		return
	}
	sent.hasResponded = true
	seen.inFlight[attempt] = sent
	t.answered(seen, now.Sub(sent.start), now)
}

func (t *Tracker) answered(seen *observed, elapsed time.Duration, now time.Time) {
	t.services[seen.service].Add(elapsed)
	seen.raise(elapsed, t.median(seen.service), now, true)
}

// RecordLoad records the busy slots of a load report. Reports lag and mislead, so
// they only decide between endpoints of equal cost.
func (t *Tracker) RecordLoad(endpoint model.EndpointName, busySlots int) {
	if seen := t.endpoints[endpoint]; seen != nil {
		seen.reported = busySlots
	}
}

// Result tells what an attempt says about its endpoint.
type Result int

const (
	// Answered attempts give a response time.
	Answered Result = iota + 1
	// Cancelled attempts give a lower bound of the response time.
	Cancelled
	// Failed attempts count against the endpoint.
	Failed
)

// raise takes a longer response time at once and a shorter one by half, so
// that one fast response does not hide a slow endpoint.
func (o *observed) raise(elapsed, median time.Duration, now time.Time, exact bool) {
	current := o.responseTime(median, now)
	switch {
	case elapsed > current:
		o.peak, o.peakAt = elapsed, now
	case exact:
		o.peak, o.peakAt = (current+elapsed)/2, now
	}
}

func (o *observed) responseTime(median time.Duration, now time.Time) time.Duration {
	if o.peakAt.IsZero() {
		return median
	}
	return median + time.Duration(float64(o.peak-median)*decay(now.Sub(o.peakAt), decayTime))
}

func (o *observed) recentFailures(now time.Time) float64 {
	return o.failures * decay(now.Sub(o.failedAt), failureDecayTime)
}

// weight is the part of its full weight that an endpoint has reached.
func (o *observed) weight(now time.Time) float64 {
	if o.slowStart <= 0 {
		return 1
	}
	if o.rampFrom.IsZero() {
		return firstWeight
	}
	part := float64(now.Sub(o.rampFrom)) / float64(o.slowStart)
	return min(1, max(firstWeight, part))
}

// cost is the expected time until an endpoint has served one more request. An
// attempt in flight for longer than the mean counts at once, because a
// straggler reports nothing until it answers.
func (t *Tracker) cost(seen *observed, now time.Time) float64 {
	expected := t.expected(seen, now)
	load := float64(len(seen.inFlight)) + 1 + failureWeight*seen.recentFailures(now)
	return max(1, float64(expected)) * load / seen.weight(now)
}

// expected is the response time that the next request can expect. The age of a
// request in flight without a response is a lower bound.
func (t *Tracker) expected(seen *observed, now time.Time) time.Duration {
	expected := seen.responseTime(t.median(seen.service), now)
	for _, sent := range seen.inFlight {
		if !sent.hasResponded {
			expected = max(expected, now.Sub(sent.start))
		}
	}
	return expected
}

func (t *Tracker) median(service model.ServiceName) time.Duration {
	median, _ := t.services[service].Quantile(50)
	return median
}

// IsFailing reports whether an endpoint has failed several times in a row and
// not long ago. After a pause it is tried again.
func (t *Tracker) IsFailing(endpoint model.EndpointName, now time.Time) bool {
	seen := t.endpoints[endpoint]
	return seen != nil && seen.streak >= failingStreak && now.Sub(seen.failedAt) < failingPause
}

// IsStraggling reports whether an endpoint is slow at the moment: its expected
// response time, or the age of a request in flight without a response, is
// several medians of its service.
func (t *Tracker) IsStraggling(endpoint model.EndpointName, now time.Time) bool {
	seen := t.endpoints[endpoint]
	if seen == nil {
		return false
	}
	median, known := t.services[seen.service].Quantile(50)
	return known && t.expected(seen, now) > stragglerMedians*median
}

// HedgeDelay returns the time after which a read of a service is hedged, and
// false while too few response times are known. It is their p95, but at most
// hedgeMedians medians: when more than 5% of the responses come from
// stragglers, the p95 is a straggler's response time and hedging would stop
// when it is needed most.
func (t *Tracker) HedgeDelay(service model.ServiceName) (time.Duration, bool) {
	window := t.services[service]
	if window == nil {
		return 0, false
	}
	p95, known := window.Quantile(95)
	median, _ := window.Quantile(50)
	return min(p95, time.Duration(hedgeMedians*float64(median))), known
}

func decay(elapsed, over time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(over))
}
