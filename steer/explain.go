package steer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"filberthold/hashes"
	"filberthold/model"
)

// Explanation is what Choose would decide on a query, and why.
type Explanation struct {
	Decision Decision
	// OwnRegion is the region of the host. PlannedRegion is empty if no endpoint is in an
	// allowed region.
	OwnRegion, PlannedRegion model.RegionName
	// RegionReason tells why the request goes to its region.
	RegionReason string
	// Candidates are the endpoints of the service: the chosen one, those that the choice
	// looked at, in the order of their ranks, and the others of the planned region first.
	Candidates []Candidate
}

// Candidate is an endpoint of the service of an explained query.
type Candidate struct {
	Endpoint model.EndpointName
	Zone     model.ZoneName
	Region   model.RegionName
	Slots    int
	// Load is the number of requests expected at the endpoint.
	Load         float64
	NetworkDelay time.Duration
	ExpectedTime time.Duration
	// Rank is the rank for the object among the endpoints that were compared, or among those
	// of its region; 0 is the preferred endpoint.
	Rank     int
	IsChosen bool
	// Reason is why the endpoint was passed over. It is empty for the chosen one.
	Reason string
	// wasSeen is true if the choice looked at the endpoint.
	wasSeen bool
}

// Explain returns what Choose would decide on a query now. The decision counts in the
// snapshot.
func (s *Snapshot) Explain(query Query, now time.Time) Explanation {
	state := s.selector.services[query.Service]
	if state == nil || len(state.endpoints) == 0 {
		return Explanation{OwnRegion: s.selector.region, Decision: noEndpoint()}
	}
	s.selector.prepare(query, now)
	seen := &observations{ranks: make(map[*endpoint]int), reasons: make(map[*endpoint]passReason)}
	picked := s.selector.pick(state, query, now, seen)
	explained := Explanation{
		OwnRegion: s.selector.region, PlannedRegion: picked.plannedRegion,
		RegionReason: s.selector.regionReason(state, picked, query),
		Candidates:   s.selector.candidates(state, picked, seen, query, now),
	}
	explained.Decision = s.selector.take(state, picked, query, now)
	return explained
}

// candidates describes the endpoints of a service after a choice.
func (s *Selector) candidates(state *serviceState, picked pick, seen *observations, query Query, now time.Time) []Candidate {
	var candidates []Candidate
	object := s.objectHash(query)
	for region, endpoints := range state.byRegion {
		s.ranking.start(object, endpoints)
		for rank := 0; rank < len(endpoints); rank++ {
			target := s.ranking.next()
			described := Candidate{
				Endpoint: target.name, Zone: target.zone, Region: region, Slots: target.slots, Load: target.load(now),
				NetworkDelay: s.networkDelay(target), Rank: rank, IsChosen: target == picked.endpoint,
			}
			reason, wasSeen := seen.reasons[target]
			switch {
			case described.IsChosen:
				described.Rank = picked.rank
			case wasSeen:
				described.Rank, described.wasSeen, described.Reason = seen.ranks[target], true, reason.String()
			default:
				described.Reason = s.unseenReason(region, picked, query)
			}
			described.ExpectedTime = s.expectedTime(state, target, described.Rank, query, now)
			candidates = append(candidates, described)
		}
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return compareCandidates(a, b, picked.plannedRegion) })
	return candidates
}

func compareCandidates(a, b Candidate, planned model.RegionName) int {
	place := func(c Candidate) int {
		switch {
		case c.IsChosen:
			return 0
		case c.wasSeen:
			return 1
		case c.Region == planned:
			return 2
		}
		return 3
	}
	return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Endpoint, b.Endpoint))
}

// unseenReason is why a choice did not look at an endpoint in a region.
func (s *Selector) unseenReason(region model.RegionName, picked pick, query Query) string {
	switch {
	case !query.AllowsRegion(region):
		return "not in an allowed region"
	case picked.isNearby:
		return "an endpoint nearby has a free slot for the export"
	case region != picked.plannedRegion && picked.endpoint == nil && s.spillCredit < 1:
		return "not in the planned region, and no spillover credit is left"
	case region != picked.plannedRegion && picked.endpoint != nil && !picked.isSpillover:
		return "not in the planned region"
	}
	return "affinity keeps the object elsewhere"
}

// regionReason tells why a request goes to its region.
func (s *Selector) regionReason(state *serviceState, picked pick, query Query) string {
	if picked.plannedRegion == "" {
		return "no endpoint is in a region that the route and the organisation allow"
	}
	reason := s.planReason(state, picked.plannedRegion, query)
	switch {
	case picked.isNearby:
		return reason + "; an endpoint nearby has a free slot for the export"
	case picked.costsSpillCredit:
		return reason + fmt.Sprintf("; it goes to another region because no endpoint there can take it, which uses 1 of %.2f spillover credit", s.spillCredit)
	case picked.isSpillover:
		return reason + "; it goes to another region because no endpoint there is reachable and warm"
	}
	return reason
}

func (s *Selector) planReason(state *serviceState, planned model.RegionName, query Query) string {
	total, fraction := 0.0, 0.0
	for _, flow := range state.flows[s.region] {
		if query.AllowsRegion(flow.Region) {
			total += flow.Fraction
		}
		if flow.Region == planned {
			fraction = flow.Fraction
		}
	}
	if total <= 0 || fraction <= 0 {
		return "the plan names no allowed region, so allowed regions are used by their slots"
	}
	if fraction >= total {
		return fmt.Sprintf("the plan sends all of these requests of %s to it", s.region)
	}
	what := "request"
	if query.hasObject() {
		what = "object"
	}
	point := toUnitInterval(hashes.Mix(s.objectHash(query)))
	return fmt.Sprintf("the plan sends %.0f%% of these requests of %s to it; this %s is at %.2f of 1", 100*fraction/total, s.region, what, point)
}
