package soak

import (
	"slices"
	"time"
)

// quotaBound is the largest number of requests of limitedOrganisation in a quotaWindow, over
// all hosts.
func quotaBound() float64 {
	return (quotaPerSecond*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
}

// checkQuota checks the bound in each window. Hosts send a request to an endpoint between its
// caller's sending and its arrival, so requests count if both are in the window.
func (c *callers) checkQuota(arrivals []keyedArrival) {
	firsts := make(map[string]keyedArrival)
	for _, arrived := range arrivals {
		first, exists := firsts[arrived.attempt]
		if organisationOf(arrived.key) == limitedOrganisation && (!exists || arrived.ArrivedAt.Before(first.ArrivedAt)) {
			firsts[arrived.attempt] = arrived
		}
	}
	counted := make([]keyedArrival, 0, len(firsts))
	for _, first := range firsts {
		counted = append(counted, first)
	}
	most, start := mostOfQuota(counted)
	c.testbed.mu.Lock()
	c.testbed.report.Checked["most requests in a window of the quota"] = most
	c.testbed.mu.Unlock()
	if float64(most) > quotaBound() {
		c.testbed.recordViolation("%d requests of %s ran in the %s from %s (%.0f allowed)", most, limitedOrganisation, quotaWindow, start.Format(logTime), quotaBound())
	}
}

// mostOfQuota returns the largest number of requests that were sent and arrived within a
// quotaWindow, and its start.
func mostOfQuota(arrivals []keyedArrival) (most int, start time.Time) {
	slices.SortFunc(arrivals, func(a, b keyedArrival) int { return a.sentAt.Compare(b.sentAt) })
	for i, first := range arrivals {
		end := first.sentAt.Add(quotaWindow)
		count := 0
		for _, arrived := range arrivals[i:] {
			if arrived.sentAt.After(end) {
				break
			}
			if !arrived.ArrivedAt.After(end) {
				count++
			}
		}
		if count > most {
			most, start = count, first.sentAt
		}
	}
	return most, start
}
