package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"filberthold/platform/fake"
)

const (
	// limitWindow is the window of the bound on requests to an endpoint with a rate limit. In
	// it, an endpoint tolerates limitRatio times what its limit allows, and limitSlack requests
	// more.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitNoticeTime is the time within which a host must keep a limit after it passed on a
	// response that names it.
	limitNoticeTime = 500 * time.Millisecond
	// minLimit and maxLimit bound the limits, in requests a second.
	minLimit, maxLimit = 1.0, 8.0
	// minLimitedTime and maxLimitedTime bound the time of a limit. A window fits behind
	// stableWindow.
	minLimitedTime = stableWindow + limitWindow + time.Second
	maxLimitedTime = minLimitedTime + 2*time.Second
)

// limitedTime is a time in which the responses of an endpoint named a rate limit.
type limitedTime struct {
	endpoint int
	id       string
	// perSecond is the limit in requests a second.
	perSecond float64
	// from is when the endpoint was told to name the limit, and to when it was told not to.
	from, to time.Time
}

// limitRate lets an endpoint name a rate limit in its responses for a time.
func (b *testbed) limitRate(index int, random *rand.Rand) {
	text := strconv.FormatFloat(minLimit+random.Float64()*(maxLimit-minLimit), 'f', 1, 64)
	limited := limitedTime{endpoint: index, id: b.endpoints[index].ID(), from: time.Now()}
	limited.perSecond, _ = strconv.ParseFloat(text, 64)
	b.setEndpoint(index, func(endpoint *fake.Endpoint) { endpoint.SetRateLimit(text) })
	b.sleep(randomBetween(random, minLimitedTime, maxLimitedTime))
	limited.to = time.Now()
	b.setEndpoint(index, func(endpoint *fake.Endpoint) { endpoint.SetRateLimit("") })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitedTimes = append(b.limitedTimes, limited)
}

// checkLimits checks that no endpoint with a rate limit got more requests in a limitWindow than
// it tolerates, from stableWindow after it first named the limit.
func (c *callers) checkLimits() {
	requests := make(map[string]endedRequest, len(c.ended))
	for _, request := range c.ended {
		requests[request.attempt] = request
	}
	for _, limited := range c.testbed.limitedTimes {
		var sent []sentRequest
		for _, exchange := range c.testbed.endpoints[limited.endpoint].Exchanges() {
			if request, exists := requests[exchange.Attempt]; exists && limited.includes(exchange) {
				sent = append(sent, sentRequest{request, exchange})
			}
		}
		counted := c.testbed.boundByLimit(limited, sent)
		if len(counted) > 0 && limited.to.Sub(limited.firstNamed(sent)) >= stableWindow+limitWindow {
			c.testbed.count(c.testbed.report.Checked, "limits")
		}
		if most, end := limited.mostArrivals(limited.firstNamed(sent), counted); float64(most) > limited.bound() {
			c.testbed.recordViolation("%s, limited to %v requests a second from %s, got %d requests in the %s until %s (%v allowed)",
				limited.id, limited.perSecond, limited.from.Format(logTime), most, limitWindow, end.Format(logTime), limited.bound())
		}
	}
}

// bound returns the largest number of requests that the endpoint may get in a limitWindow.
func (l limitedTime) bound() float64 {
	return limitRatio*l.perSecond*limitWindow.Seconds() + limitSlack
}

// includes reports whether a request arrived at the endpoint while it had the limit.
func (l limitedTime) includes(exchange fake.Exchange) bool {
	return exchange.ID == l.id && exchange.ArrivedAt.After(l.from) && exchange.ArrivedAt.Before(l.to)
}

// firstNamed returns when a response first named the limit, or the end of the limited time.
func (l limitedTime) firstNamed(sent []sentRequest) time.Time {
	first := l.to
	for _, request := range sent {
		if answeredAt := request.exchange.AnsweredAt; request.exchange.RateLimit != "" && !answeredAt.IsZero() && answeredAt.Before(first) {
			first = answeredAt
		}
	}
	return first
}

// mostArrivals returns the largest number of arrivals within a limitWindow that begins
// stableWindow after the limit was first named, or later, and the end of that window.
func (l limitedTime) mostArrivals(firstNamed time.Time, arrivals []time.Time) (most int, end time.Time) {
	slices.SortFunc(arrivals, time.Time.Compare)
	for _, last := range arrivals {
		start := last.Add(-limitWindow)
		if start.Before(firstNamed.Add(stableWindow)) || last.After(l.to) {
			continue
		}
		if count := countBetween(arrivals, start, last); count > most {
			most, end = count, last
		}
	}
	return most, end
}

// boundByLimit returns when those requests arrived whose hosts were bound by the limit: they
// had passed on a response that names it limitNoticeTime before, and were not interrupted
// since. Requests that a link may have delayed are left out.
func (b *testbed) boundByLimit(limited limitedTime, sent []sentRequest) []time.Time {
	told := make(map[*hostProcess][]time.Time)
	for _, request := range sent {
		if request.exchange.RateLimit != "" && request.isServedBy(request.exchange.ID) {
			told[request.host] = append(told[request.host], request.endedAt)
		}
	}
	var bound []time.Time
	for _, request := range sent {
		arrivedAt := request.exchange.ArrivedAt
		isTold := slices.ContainsFunc(told[request.host], func(at time.Time) bool {
			return !at.Add(limitNoticeTime).After(arrivedAt) && !request.host.wasStopped(at, arrivedAt)
		})
		if isTold && !b.endpointProxies[limited.endpoint].hadFault(arrivedAt.Add(-stableWindow), arrivedAt) {
			bound = append(bound, arrivedAt)
		}
	}
	return bound
}
