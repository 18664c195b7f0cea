package steer

import (
	"slices"
	"time"

	"filberthold/model"
)

const (
	// spillCreditPerRequest is the spillover credit that each new request adds; a
	// request sent to another region than planned costs 1. maxSpillCredit bounds
	// the credit. Both keep small how much the fraction of a region's requests that
	// is sent elsewhere changes from one time window to the next.
	spillCreditPerRequest = 0.08
	maxSpillCredit        = 2.0
)

// bestNearby chooses an endpoint with a free slot in the host's availability
// zone, or else in its region. Exports have long responses: transferring one
// from elsewhere costs more than better use of the slots there gains.
func (s *Selector) bestNearby(state *serviceState, object uint64, query Query, now time.Time, seen *observations) choice {
	if !query.AllowsRegion(s.region) {
		return choice{}
	}
	for _, endpoints := range [][]*endpoint{state.inZone, state.byRegion[s.region]} {
		best := s.best(state, endpoints, object, query, now, seen)
		if best.endpoint != nil && best.endpoint.load(now) < float64(best.endpoint.slots) {
			return best
		}
		if best.endpoint != nil {
			seen.pass(best.endpoint, best.rank, hasNoFreeSlot)
		}
	}
	return choice{}
}

// bestSpillover chooses an endpoint in another region for a request that the
// planned region cannot take. If that region is only overloaded, each such
// request costs credit. If none of its endpoints is up, all of its requests
// spill over. It reports whether the choice costs credit.
func (s *Selector) bestSpillover(state *serviceState, plannedRegion model.RegionName, object uint64, query Query, now time.Time, seen *observations) (choice, bool) {
	isDown := !slices.ContainsFunc(state.byRegion[plannedRegion], func(candidate *endpoint) bool { return candidate.isUp(now) })
	if s.spillCredit < 1 && !isDown {
		return choice{}, false
	}
	best := s.bestElsewhere(state, plannedRegion, object, query, now, seen)
	return best, best.endpoint != nil && !isDown
}

func (s *Selector) bestElsewhere(state *serviceState, plannedRegion model.RegionName, object uint64, query Query, now time.Time, seen *observations) choice {
	var others []*endpoint
	for region, endpoints := range state.byRegion {
		if region != plannedRegion && query.AllowsRegion(region) {
			others = append(others, endpoints...)
		}
	}
	slices.SortFunc(others, compareNames)
	return s.best(state, others, object, query, now, seen)
}
