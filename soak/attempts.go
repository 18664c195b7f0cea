package soak

import (
	"slices"

	"filberthold/platform/fake"
)

// maxArrivals is the maxAttempts of the routes.
const maxArrivals = 2

// arrival is a request of a caller that arrived at an endpoint behind a proxy.
type arrival struct {
	fake.Exchange
	proxy *faultProxy
}

// arrivals returns the arrivals of each attempt in the order of their times. Requests that
// name no attempt are left out.
func (c *callers) arrivals() map[string][]arrival {
	arrivals := make(map[string][]arrival)
	for i, endpoint := range c.testbed.endpoints {
		for _, exchange := range endpoint.Exchanges() {
			if exchange.Attempt != "" {
				arrivals[exchange.Attempt] = append(arrivals[exchange.Attempt], arrival{exchange, c.testbed.endpointProxies[i]})
			}
		}
	}
	for _, sorted := range arrivals {
		slices.SortFunc(sorted, func(a, b arrival) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	}
	return arrivals
}

// checkAttempts checks that no request reached endpoints more often than its route allows.
func (c *callers) checkAttempts() {
	for attempt, arrivals := range c.arrivals() {
		if len(arrivals) > maxArrivals {
			c.testbed.recordViolation("%s: arrived %d times, more than %d times", attempt, len(arrivals), maxArrivals)
		}
	}
}
