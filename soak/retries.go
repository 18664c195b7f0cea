package soak

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"filberthold/platform/fake"
)

const (
	// retryRatio and retryWindow are of the retry limit of the hosts' settings: in each
	// window, endpoints may get retryRatio times the requests and a slack more arrivals
	// beyond the first of each request.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// checkRetries checks that the hosts together kept the retry limit, by what arrived at the
// endpoints.
func (c *callers) checkRetries() {
	var sent []time.Time
	isSent := make(map[string]bool)
	for _, request := range c.ended {
		if request.status == http.StatusNotFound {
			// It was on no route to the service.
			continue
		}
		sent = append(sent, request.sentAt)
		isSent[request.attempt] = true
	}
	slices.SortFunc(sent, time.Time.Compare)
	if retries, requests := retriesBeyondLimit(sent, c.repeats(isSent), cmp.Or(c.testbed.retrySlack, fake.DefaultRetrySlack)); retries > 0 {
		c.testbed.recordViolation("%d retries for %d requests arrived within %s", retries, requests, retryWindow)
	}
}

// retriesBeyondLimit returns the retries in the first window with more than the limit, and
// the requests that count there, or 0 if there is no such window. All times are sorted.
func retriesBeyondLimit(sent, repeats []time.Time, slack int) (retries, requests int) {
	for i, end := range repeats {
		start := end.Add(-retryWindow)
		retries = countBetween(repeats[:i+1], start, end)
		// Requests count in the window, or in an earlier one that had more of them.
		requests = 0
		for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countBetween(sent, start.Add(-shift), end.Add(-shift)))
		}
		if float64(retries) > retryRatio*float64(requests)+float64(slack) {
			return retries, requests
		}
	}
	return 0, 0
}

// repeats returns the times at which requests of the callers arrived at an endpoint for
// more than the first time.
func (c *callers) repeats(isSent map[string]bool) []time.Time {
	arrivals := make(map[string][]time.Time)
	for _, endpoint := range c.testbed.endpoints {
		for _, exchange := range endpoint.Exchanges() {
			if isSent[exchange.Attempt] {
				arrivals[exchange.Attempt] = append(arrivals[exchange.Attempt], exchange.ArrivedAt)
			}
		}
	}
	var repeats []time.Time
	for _, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		repeats = append(repeats, times[1:]...)
	}
	slices.SortFunc(repeats, time.Time.Compare)
	return repeats
}

// countBetween counts the sorted times that are after start and not after end.
func countBetween(times []time.Time, start, end time.Time) int {
	before := func(at, bound time.Time) int {
		if at.After(bound) {
			return 1
		}
		return -1
	}
	first, _ := slices.BinarySearchFunc(times, start, before)
	last, _ := slices.BinarySearchFunc(times, end, before)
	return last - first
}
