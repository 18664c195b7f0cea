// Package costs learns how much work requests need from those that have ended, apart from
// the speed of the endpoints that ran them. The package is pure: it has no clock, goroutines
// or I/O.
package costs

import (
	"math"
	"time"
)

// Warmth is what a host knows of whether an endpoint has cached the object of a request.
type Warmth uint8

const (
	// NoObject means that the request has no object.
	NoObject Warmth = iota
	// Recent means that this host got a response for the object from the endpoint lately.
	Recent
	// Preferred means that the endpoint is the preferred one of the object, so that other
	// hosts may have sent requests for it there.
	Preferred
	// Other means that the endpoint is none of these.
	Other

	warmths = 4
)

const (
	// defaultWork is assumed for a service until a request has ended. assumedOther is the
	// work at an endpoint without the object, relative to Recent and Preferred ones.
	defaultWork  = 300 * time.Millisecond
	assumedOther = 3
	// leastOther is the logarithm of the least of that ratio. What is learned falls when
	// caches lose their objects; objects must not spread over the endpoints then.
	leastOther = 1.1
	// maxStep bounds the logarithm of the ratio by which a single request deviates in what
	// it teaches about its service, kind and warmth, so that requests of one caller for
	// heavy objects do not change what others are expected to need.
	maxStep = 1.4
	// maxObjectRatio bounds the logarithm of the work of an object relative to its kind.
	maxObjectRatio = 4.9
	// recentTime is how long an endpoint counts as Recent.
	recentTime = 10 * time.Second
	// The least weights of a new request in the decayed means. An object has few requests.
	serviceWeight, kindWeight, warmthWeight, objectWeight = 1.0 / 64, 1.0 / 32, 1.0 / 64, 0.2
)

// Request is what is known of a request before it is sent.
type Request struct {
	// Kind is a hash of route, method and body size class.
	Kind uint64
	// Object is a hash of the object, or 0.
	Object uint64
}

// Estimates is the expected work of a request, by warmth.
type Estimates [warmths]time.Duration

// Model holds what is known of the requests of a service, in tables of a fixed size. It is
// not safe for concurrent use.
type Model struct {
	// service, kinds, warmth and objects are decayed means of the logarithm of the work
	// in seconds. Each but the first is relative to the sum of those before it.
	service mean
	warmth  [warmths]mean
	kinds   table
	objects table
	recent  recentTable
	// seconds is the decayed mean of the work.
	seconds mean
}

// New returns a model without observations.
func New() *Model {
	m := &Model{kinds: newTable(kindEntries), objects: newTable(objectEntries), recent: newRecentTable()}
	m.service.value = math.Log(defaultWork.Seconds())
	m.seconds.value = defaultWork.Seconds()
	m.warmth[Other].value = math.Log(assumedOther)
	return m
}

// Estimate returns the expected work of a request. A request of a new kind is expected to
// need as much as the service's usual one.
func (m *Model) Estimate(request Request) Estimates {
	base := m.service.value + m.kinds.value(request.Kind) + m.objects.value(request.Object)
	var estimates Estimates
	for warmth := range estimates {
		estimates[warmth] = seconds(math.Exp(base + m.warmthValue(Warmth(warmth))))
	}
	return estimates
}

// warmthValue is the relative work at an endpoint. It is not less at one that is less likely
// to have the object, so that an error does not move objects to other endpoints.
func (m *Model) warmthValue(warmth Warmth) float64 {
	value := m.warmth[warmth].value
	switch warmth {
	case Preferred:
		return max(value, m.warmth[Recent].value)
	case Other:
		return max(value, m.warmthValue(Preferred)+leastOther)
	case NoObject, Recent:
	}
	return value
}

// MeanWork is the mean work of the service's requests.
func (m *Model) MeanWork() time.Duration { return seconds(m.seconds.value) }

// Learn records the work that a request needed.
func (m *Model) Learn(request Request, warmth Warmth, work time.Duration) {
	value := math.Log(max(work, time.Millisecond).Seconds())
	m.seconds.add(work.Seconds(), serviceWeight)
	kind, object := m.kinds.entry(request.Kind), m.objects.entry(request.Object)
	known := m.warmth[warmth].value + kind.value + object.value
	if m.service.count == 0 {
		m.service.add(value-m.warmth[warmth].value, serviceWeight)
	} else {
		m.service.addDeviation(value-known, serviceWeight)
	}
	m.warmth[warmth].addDeviation(value-m.service.value-kind.value-object.value, warmthWeight)
	kind.addDeviation(value-m.service.value-m.warmth[warmth].value-object.value, kindWeight)
	if request.Object == 0 {
		return
	}
	object.add(value-m.service.value-m.warmth[warmth].value-kind.value, objectWeight)
	object.value = min(maxObjectRatio, max(-maxObjectRatio, object.value))
}

// LearnAtLeast records that a request that did not end regularly would have needed at least
// that much work.
func (m *Model) LearnAtLeast(request Request, warmth Warmth, work time.Duration) {
	if work > m.Estimate(request)[warmth] {
		m.Learn(request, warmth, work)
	}
}

// WarmthAt returns the warmth of an endpoint for a request.
func (m *Model) WarmthAt(request Request, endpoint uint64, isPreferred bool, now time.Time) Warmth {
	switch {
	case request.Object == 0:
		return NoObject
	case m.recent.has(request.Object^endpoint, now):
		return Recent
	case isPreferred:
		return Preferred
	}
	return Other
}

// RecordAnswer records that an endpoint has handled a request.
func (m *Model) RecordAnswer(request Request, endpoint uint64, now time.Time) {
	if request.Object != 0 {
		m.recent.set(request.Object^endpoint, now)
	}
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// mean is a decayed mean. It begins as the mean of all values so far.
type mean struct {
	value float64
	count uint32
}

func (m *mean) add(value, leastWeight float64) {
	m.value += (value - m.value) * max(leastWeight, 1/float64(m.count+1))
	m.count++
}

// addDeviation adds a value relative to the others, of which the mean is expected to be
// about what is known: an unknown entry has weight 1 at its former value.
func (m *mean) addDeviation(value, leastWeight float64) {
	step := min(maxStep, max(-maxStep, value-m.value))
	m.value += step * max(leastWeight, 1/float64(m.count+2))
	m.count++
}
