package steer

import (
	"cmp"
	"maps"
	"slices"

	"filberthold/model"
)

// Flows tells for each region of callers which part of its requests each
// region of endpoints handles. The parts of a region add up to 1.
type Flows map[model.RegionName][]Flow

// Flow is the part of a region's requests that a region handles.
type Flow struct {
	Region model.RegionName
	// Fraction is in 0..1.
	Fraction float64
}

// PlanFlows divides the requests of all regions over the capacity of the
// service in each region. It loads every region alike and keeps as much as
// possible within its region, because links between regions are slow and their
// bytes are dear. It depends on capacity and usual demand only, not on the
// load of the moment, so that waves of load do not move requests between
// regions.
func PlanFlows(demand, capacity map[model.RegionName]float64) Flows {
	demand, capacity = normalised(demand), normalised(capacity)
	spare := make(map[model.RegionName]float64)
	allSpare := 0.0
	for region, part := range capacity {
		spare[region] = max(0, part-demand[region])
		allSpare += spare[region]
	}
	flows := make(Flows, len(demand))
	for _, origin := range slices.Sorted(maps.Keys(demand)) {
		flows[origin] = flowsOf(origin, demand[origin], capacity[origin], spare, allSpare)
	}
	return flows
}

// flowsOf lists the own region first, then the others by name, so that a small
// change of the parts moves few objects.
func flowsOf(origin model.RegionName, demand, capacity float64, spare map[model.RegionName]float64, allSpare float64) []Flow {
	local := 1.0
	if demand > 0 {
		local = min(1, capacity/demand)
	}
	if allSpare <= 0 && capacity > 0 {
		local = 1
	}
	flows := []Flow{{Region: origin, Fraction: local}}
	for _, region := range slices.Sorted(maps.Keys(spare)) {
		if region == origin || spare[region] <= 0 {
			continue
		}
		flows = append(flows, Flow{Region: region, Fraction: (1 - local) * spare[region] / allSpare})
	}
	return flows
}

func normalised(parts map[model.RegionName]float64) map[model.RegionName]float64 {
	total := 0.0
	for _, part := range parts {
		total += part
	}
	scaled := make(map[model.RegionName]float64, len(parts))
	for region, part := range parts {
		if total > 0 {
			scaled[region] = part / total
		}
	}
	return scaled
}

// pick returns the region for a point in 0..1 among the allowed regions.
func pick(flows []Flow, point float64, isAllowed func(model.RegionName) bool) (model.RegionName, bool) {
	total := 0.0
	for _, flow := range flows {
		if isAllowed(flow.Region) {
			total += flow.Fraction
		}
	}
	rest := point * total
	var last model.RegionName
	found := false
	for _, flow := range flows {
		if !isAllowed(flow.Region) || flow.Fraction <= 0 {
			continue
		}
		last, found = flow.Region, true
		if rest -= flow.Fraction; rest < 0 {
			break
		}
	}
	return last, found
}

// byName orders endpoints for stable results.
func byName(a, b *endpoint) int { return cmp.Compare(a.name, b.name) }
