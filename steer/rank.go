package steer

import (
	"math"
	"slices"
)

// hash64 is FNV-1a with a final mix: without the mix, names that differ in
// their last letter only get close values, and one endpoint wins most objects.
func hash64(texts ...string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for _, text := range texts {
		for i := range len(text) {
			sum = (sum ^ uint64(text[i])) * prime
		}
		sum = (sum ^ 0xff) * prime
	}
	return mix(sum)
}

func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// unit maps a hash to a point in 0..1, exclusive.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// weightOf is the weight of an endpoint for an object in weighted rendezvous
// hashing: an object stays where it is while other endpoints come and go.
func weightOf(object uint64, candidate *endpoint) float64 {
	return -float64(candidate.slots) / math.Log(unit(mix(object^candidate.hash)))
}

// rank orders endpoints for an object, the preferred one first.
func rank(object uint64, endpoints []*endpoint) []*endpoint {
	type weighted struct {
		endpoint *endpoint
		weight   float64
	}
	order := make([]weighted, len(endpoints))
	for i, candidate := range endpoints {
		order[i] = weighted{candidate, weightOf(object, candidate)}
	}
	slices.SortFunc(order, func(a, b weighted) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return byName(a.endpoint, b.endpoint)
	})
	ranked := make([]*endpoint, len(order))
	for i, entry := range order {
		ranked[i] = entry.endpoint
	}
	return ranked
}
