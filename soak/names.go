package soak

import (
	"fmt"
	"strings"

	"filberthold/platform/fake"
)

// nameViolation returns what is wrong with the organisation that a request named at its
// endpoint, or nothing.
func nameViolation(arrived keyedArrival) string {
	switch {
	case arrived.HasKey:
		return "an endpoint got the key"
	case arrived.Organisation != organisationOf(arrived.key):
		return fmt.Sprintf("arrived for the organisation %q with a key of %q", arrived.Organisation, organisationOf(arrived.key))
	}
	return ""
}

// organisationOf returns the organisation whose name begins a key, or "" if the key is of none.
func organisationOf(key string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(key, fake.KeyPrefix), "-")
	switch name {
	case rotatingOrganisation, limitedOrganisation, farOrganisation:
		return name
	}
	return ""
}

// checkExemptRoutes checks that requests on routes without keys name no organisation.
func (c *callers) checkExemptRoutes() {
	for attempt, arrivals := range c.arrivals() {
		for _, arrived := range arrivals {
			if violation := exemptViolation(arrived.Exchange); violation != "" {
				c.testbed.recordViolation("%s: %s", attempt, violation)
			}
		}
	}
}

// exemptViolation returns what is wrong with a request on a route without keys, or nothing.
func exemptViolation(exchange fake.Exchange) string {
	switch {
	case exchange.HasKey:
		return "an endpoint got the key on a route that needs none"
	case exchange.Organisation != "":
		return fmt.Sprintf("arrived for the organisation %q on a route that needs no key", exchange.Organisation)
	}
	return ""
}
