package steer

import (
	"cmp"
	"maps"
	"slices"

	"filberthold/model"
)

// Flows holds, for each region of callers, the fraction of its requests that
// each region of endpoints handles. The fractions of a region add up to 1.
type Flows map[model.RegionName][]Flow

// Flow is the fraction of a region's requests that Region handles.
type Flow struct {
	Region model.RegionName
	// Fraction is in 0..1.
	Fraction float64
}

// PlanFlows distributes the requests of all regions over the capacity of the
// service in each region. It loads every region equally and keeps as many
// requests as possible in their region, because links between regions are slow
// and their traffic is expensive. It depends on capacity and usual demand only,
// not on the current load, so short load peaks move no requests between regions.
func PlanFlows(demand, capacity map[model.RegionName]float64) Flows {
	demand, capacity = normalised(demand), normalised(capacity)
	spare := make(map[model.RegionName]float64)
	totalSpare := 0.0
	for region, fraction := range capacity {
		spare[region] = max(0, fraction-demand[region])
		totalSpare += spare[region]
	}
	flows := make(Flows, len(demand))
	for _, origin := range slices.Sorted(maps.Keys(demand)) {
		flows[origin] = flowsFrom(origin, demand[origin], capacity[origin], spare, totalSpare)
	}
	return flows
}

// flowsFrom returns the flows of the origin's requests, with the origin first
// and the other regions by name. In this order a small change of the fractions
// moves few objects.
func flowsFrom(origin model.RegionName, demand, capacity float64, spare map[model.RegionName]float64, totalSpare float64) []Flow {
	localFraction := 1.0
	if demand > 0 {
		localFraction = min(1, capacity/demand)
	}
	if totalSpare <= 0 && capacity > 0 {
		localFraction = 1
	}
	flows := []Flow{{Region: origin, Fraction: localFraction}}
	for _, region := range slices.Sorted(maps.Keys(spare)) {
		if region == origin || spare[region] <= 0 {
			continue
		}
		flows = append(flows, Flow{Region: region, Fraction: (1 - localFraction) * spare[region] / totalSpare})
	}
	return flows
}

// normalised scales the values so that they add up to 1.
func normalised(values map[model.RegionName]float64) map[model.RegionName]float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	scaled := make(map[model.RegionName]float64, len(values))
	for region, value := range values {
		if total > 0 {
			scaled[region] = value / total
		}
	}
	return scaled
}

// pickRegion returns the allowed region at a point in 0..1, in proportion to the
// fractions of the allowed regions.
func pickRegion(flows []Flow, point float64, isAllowed func(model.RegionName) bool) (model.RegionName, bool) {
	total := 0.0
	for _, flow := range flows {
		if isAllowed(flow.Region) {
			total += flow.Fraction
		}
	}
	remaining := point * total
	var last model.RegionName
	found := false
	for _, flow := range flows {
		if !isAllowed(flow.Region) || flow.Fraction <= 0 {
			continue
		}
		last, found = flow.Region, true
		if remaining -= flow.Fraction; remaining < 0 {
			break
		}
	}
	return last, found
}

// planRegion returns the region that handles a query from an origin. If the plan sends none
// of the origin's requests to the regions that the query may use, they are used by their
// slots. It returns false if none of them has an endpoint.
func (s *serviceState) planRegion(origin model.RegionName, point float64, query Query) (model.RegionName, bool) {
	if region, exists := pickRegion(s.flows[origin], point, query.AllowsRegion); exists {
		return region, true
	}
	return pickRegion(s.slotFlows, point, query.AllowsRegion)
}

// flowsBySlots returns flows to all regions in proportion to their slots.
func flowsBySlots(capacity map[model.RegionName]float64) []Flow {
	flows := make([]Flow, 0, len(capacity))
	for _, region := range slices.Sorted(maps.Keys(capacity)) {
		flows = append(flows, Flow{Region: region, Fraction: capacity[region]})
	}
	return flows
}

// hasEndpoint reports whether a region that a query may use has an endpoint.
func (s *serviceState) hasEndpoint(query Query) bool {
	return slices.ContainsFunc(s.endpoints, func(candidate *endpoint) bool { return query.AllowsRegion(candidate.region) })
}

// compareNames compares endpoints by name, for a deterministic order.
func compareNames(a, b *endpoint) int { return cmp.Compare(a.name, b.name) }
