package soak

import "fmt"

// homeViolation returns what is wrong with the region in which a request arrived, or nothing.
func homeViolation(arrived keyedArrival) string {
	if organisationOf(arrived.key) == farOrganisation && arrived.region != farRegion {
		return fmt.Sprintf("arrived in the region %s, which is no home of %s", arrived.region, farOrganisation)
	}
	return ""
}
