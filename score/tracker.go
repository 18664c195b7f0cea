// Package score records what one host has observed of each endpoint, chooses
// between endpoints by these observations, and bounds hedged requests and
// retries.
package score

import (
	"math"
	"time"

	"filberthold/model"
)

const (
	// decayTime is the time in which a peak of the response time falls to 37%
	// of its distance from the median. Stragglers are slow for short times only,
	// so an endpoint is tried again after about a second.
	decayTime = time.Second
	// failureDecayTime is the time in which the count of failures falls to 37%.
	// It is longer than decayTime, because a failure costs a caller more than a
	// slow response does.
	failureDecayTime = 5 * time.Second
	// failureWeight is the number of requests in flight that raise the cost of an
	// endpoint as much as one recent failure.
	failureWeight = 4
	// failingAfter is the number of consecutive failures after which an
	// endpoint is avoided, for failingPause after the last one.
	failingAfter = 3
	failingPause = 3 * time.Second
	// hedgeMedians bounds the delay of a hedge, in medians of the response time.
	hedgeMedians = 1.5
	// stragglerMedians is the response time in medians from which an endpoint is
	// a straggler. Jitter and a cold cache stay below it.
	stragglerMedians = 3
	// firstWeight is the fraction of its full weight with which an endpoint
	// starts.
	firstWeight = 0.1
)

// Tracker holds the observations that one host has made of endpoints. It is not
// safe for concurrent use.
type Tracker struct {
	endpoints map[model.EndpointName]*observations
	services  map[model.ServiceName]*LatencyWindow
}

// observations holds the observations of an endpoint.
type observations struct {
	service model.ServiceName
	// inFlight holds each attempt in flight, by its number.
	inFlight map[uint64]attemptInFlight
	// reportedBusy is the number of busy slots in the latest load report.
	reportedBusy int
	// peak is the peak-sensitive mean of the response time at peakAt. A longer
	// response time replaces it; it decays towards the median of the service.
	peak   time.Duration
	peakAt time.Time
	// failures is the decayed number of failures at failedAt.
	failures float64
	failedAt time.Time
	// consecutiveFailures counts the failures since the last successful response.
	consecutiveFailures int
	// rampStart is the time of the first attempt.
	rampStart time.Time
	// lastUsed is when the latest attempt was sent.
	lastUsed time.Time
	// slowStart is the time after rampStart in which the weight reaches 1.
	slowStart time.Duration
}

// attemptInFlight is an attempt in flight.
type attemptInFlight struct {
	start time.Time
	// hasResponded is true if the response header has arrived. The time of the
	// rest depends on its length and is weak evidence of a slow endpoint.
	hasResponded bool
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{endpoints: make(map[model.EndpointName]*observations), services: make(map[model.ServiceName]*LatencyWindow)}
}

// Add adds an endpoint. Its weight ramps up during slowStart after its first
// attempt; with 0 it has its full weight at once. An endpoint that was added
// before keeps its observations.
func (t *Tracker) Add(endpoint model.EndpointName, service model.ServiceName, slowStart time.Duration) {
	if t.endpoints[endpoint] != nil {
		return
	}
	t.endpoints[endpoint] = &observations{service: service, inFlight: make(map[uint64]attemptInFlight), slowStart: slowStart}
	if t.services[service] == nil {
		t.services[service] = &LatencyWindow{}
	}
}

// Remove removes an endpoint and its observations. Its next incarnation begins
// with a slow start.
func (t *Tracker) Remove(endpoint model.EndpointName) { delete(t.endpoints, endpoint) }

// RecordSent records that an attempt was sent.
func (t *Tracker) RecordSent(endpoint model.EndpointName, attempt uint64, now time.Time) {
	observed := t.endpoints[endpoint]
	if observed == nil {
		return
	}
	observed.inFlight[attempt] = attemptInFlight{start: now}
	observed.lastUsed = now
	if observed.rampStart.IsZero() {
		observed.rampStart = now
	}
}

// RecordResult records the end of an attempt. The duration of a cancelled
// attempt is only a lower bound of the response time.
func (t *Tracker) RecordResult(endpoint model.EndpointName, attempt uint64, result Result, now time.Time) {
	observed := t.endpoints[endpoint]
	if observed == nil {
		return
	}
	sent, exists := observed.inFlight[attempt]
	if !exists {
		return
	}
	delete(observed.inFlight, attempt)
	switch result {
	case Answered:
		observed.consecutiveFailures = 0
		if !sent.hasResponded {
			t.recordResponseTime(observed, now.Sub(sent.start), now)
		}
	case Cancelled:
		if !sent.hasResponded {
			observed.recordTime(now.Sub(sent.start), t.median(observed.service), now, false)
		}
	case Failed:
		observed.failures = observed.recentFailures(now) + 1
		observed.failedAt = now
		observed.consecutiveFailures++
	}
}

// RecordResponse records that the response header of an attempt has arrived. Its
// time counts as the response time, and the time of the body does not.
func (t *Tracker) RecordResponse(endpoint model.EndpointName, attempt uint64, now time.Time) {
	observed := t.endpoints[endpoint]
	if observed == nil {
		return
	}
	sent, exists := observed.inFlight[attempt]
	if !exists || sent.hasResponded {
		return
	}
	sent.hasResponded = true
	observed.inFlight[attempt] = sent
	t.recordResponseTime(observed, now.Sub(sent.start), now)
}

// recordResponseTime records the response time of an attempt.
func (t *Tracker) recordResponseTime(observed *observations, elapsed time.Duration, now time.Time) {
	t.services[observed.service].Add(elapsed)
	observed.recordTime(elapsed, t.median(observed.service), now, true)
}

// RecordLoad records the busy slots in a load report of an endpoint. Reports are
// late and inaccurate, so they only decide between endpoints of equal cost.
func (t *Tracker) RecordLoad(endpoint model.EndpointName, busySlots int) {
	if observed := t.endpoints[endpoint]; observed != nil {
		observed.reportedBusy = busySlots
	}
}

// Result is how an attempt ended.
type Result int

const (
	// Answered means that the endpoint responded; the response time is recorded.
	Answered Result = iota + 1
	// Cancelled means that the attempt was cancelled; its duration is a lower
	// bound of the response time.
	Cancelled
	// Failed means that the attempt failed; the failure raises the endpoint's
	// cost.
	Failed
)

// recordTime sets the peak to a longer response time, and to the mean of the
// peak and a shorter one, so that one fast response does not hide a slow
// endpoint. A shorter time that is only a lower bound (isExact is false) is
// ignored.
func (o *observations) recordTime(elapsed, median time.Duration, now time.Time, isExact bool) {
	current := o.responseTime(median, now)
	switch {
	case elapsed > current:
		o.peak, o.peakAt = elapsed, now
	case isExact:
		o.peak, o.peakAt = (current+elapsed)/2, now
	}
}

// responseTime is the decayed peak of the response time, or the median if there
// is none.
func (o *observations) responseTime(median time.Duration, now time.Time) time.Duration {
	if o.peakAt.IsZero() {
		return median
	}
	return median + time.Duration(float64(o.peak-median)*decay(now.Sub(o.peakAt), decayTime))
}

func (o *observations) recentFailures(now time.Time) float64 {
	return o.failures * decay(now.Sub(o.failedAt), failureDecayTime)
}

// weight is the fraction of its full weight that an endpoint has reached in its
// slow start.
func (o *observations) weight(now time.Time) float64 {
	if o.slowStart <= 0 {
		return 1
	}
	if o.rampStart.IsZero() {
		return firstWeight
	}
	fraction := float64(now.Sub(o.rampStart)) / float64(o.slowStart)
	return min(1, max(firstWeight, fraction))
}

// cost is the expected time until an endpoint has served one more request. An
// attempt that is in flight for longer than the mean raises the cost
// immediately, because a straggler reports nothing until it responds.
func (t *Tracker) cost(observed *observations, now time.Time) float64 {
	expected := t.expectedTime(observed, now)
	load := float64(len(observed.inFlight)) + 1 + failureWeight*observed.recentFailures(now)
	return max(1, float64(expected)) * load / observed.weight(now)
}

// expectedTime is the expected response time of the next request. The age of a
// request in flight without a response is a lower bound.
func (t *Tracker) expectedTime(observed *observations, now time.Time) time.Duration {
	expected := observed.responseTime(t.median(observed.service), now)
	for _, sent := range observed.inFlight {
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

// IsFailing reports whether at least failingAfter attempts at an endpoint have
// failed since its last successful response, the last one less than failingPause
// ago. After that pause the endpoint is tried again.
func (t *Tracker) IsFailing(endpoint model.EndpointName, now time.Time) bool {
	observed := t.endpoints[endpoint]
	return observed != nil && observed.consecutiveFailures >= failingAfter && now.Sub(observed.failedAt) < failingPause
}

// IsStraggling reports whether an endpoint is slow at the moment: its expected
// response time, or the age of a request in flight without a response, exceeds
// stragglerMedians medians of its service.
func (t *Tracker) IsStraggling(endpoint model.EndpointName, now time.Time) bool {
	observed := t.endpoints[endpoint]
	if observed == nil {
		return false
	}
	median, ok := t.services[observed.service].Quantile(50)
	return ok && t.expectedTime(observed, now) > stragglerMedians*median
}

// HedgeDelay returns the time after which a read of a service is hedged, and
// false while there are too few response times. It is their p95, but at most
// hedgeMedians medians: when more than 5% of the responses come from
// stragglers, the p95 is a straggler's response time, and hedging would stop
// when it is needed most.
func (t *Tracker) HedgeDelay(service model.ServiceName) (time.Duration, bool) {
	window := t.services[service]
	if window == nil {
		return 0, false
	}
	p95, ok := window.Quantile(95)
	median, _ := window.Quantile(50)
	return min(p95, time.Duration(hedgeMedians*float64(median))), ok
}

// decay returns the factor by which a value has decayed exponentially after
// elapsed.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
