package score

import (
	"math/rand/v2"
	"time"

	"filberthold/model"
)

// Policy is a way to choose between endpoints.
type Policy string

const (
	// FullScan takes the endpoint of least cost, and of equal ones the one with
	// fewer busy slots in its load report, then the one that was used longest
	// ago. It is the default: a host holds few slots.
	FullScan Policy = "fullScan"
	// TwoChoices takes the endpoint of less cost from two random ones.
	TwoChoices Policy = "twoChoices"
	// WeightedLeastRequest takes an endpoint with a probability that falls with its
	// requests in flight and rises with its weight.
	WeightedLeastRequest Policy = "weightedLeastRequest"
)

// Choose returns the index of one of the candidates, of which there must be at
// least one. Each candidate must be known to the board.
func (t *Tracker) Choose(policy Policy, candidates []model.EndpointName, random *rand.Rand, now time.Time) int {
	switch policy {
	case TwoChoices:
		return t.chooseOfTwo(candidates, random, now)
	case WeightedLeastRequest:
		return t.chooseWeighted(candidates, random, now)
	case FullScan:
	}
	best := 0
	for i := 1; i < len(candidates); i++ {
		if t.isBetter(candidates[i], candidates[best], now) {
			best = i
		}
	}
	return best
}

func (t *Tracker) isBetter(a, than model.EndpointName, now time.Time) bool {
	first, second := t.endpoints[a], t.endpoints[than]
	costA, costB := t.cost(first, now), t.cost(second, now)
	if costA != costB {
		return costA < costB
	}
	if first.reported != second.reported {
		return first.reported < second.reported
	}
	return first.lastUsed.Before(second.lastUsed)
}

func (t *Tracker) chooseOfTwo(candidates []model.EndpointName, random *rand.Rand, now time.Time) int {
	first := random.IntN(len(candidates))
	second := random.IntN(len(candidates))
	if t.isBetter(candidates[second], candidates[first], now) {
		return second
	}
	return first
}

func (t *Tracker) chooseWeighted(candidates []model.EndpointName, random *rand.Rand, now time.Time) int {
	weights := make([]float64, len(candidates))
	total := 0.0
	for i, name := range candidates {
		seen := t.endpoints[name]
		weights[i] = seen.weight(now) / float64(len(seen.inFlight)+1)
		total += weights[i]
	}
	pick := random.Float64() * total
	for i, weight := range weights {
		if pick -= weight; pick < 0 {
			return i
		}
	}
	return len(candidates) - 1
}
