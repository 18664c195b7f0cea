package score

import (
	"math/rand/v2"
	"time"

	"filberthold/model"
)

// Policy is a load balancing policy.
type Policy string

const (
	// FullScan chooses the endpoint with the least cost. Among equal ones it
	// chooses the one with fewer busy slots in its load report, then the least
	// recently used one. It is the default, because a host holds few slots.
	FullScan Policy = "fullScan"
	// TwoChoices chooses the endpoint with less cost of two random ones.
	TwoChoices Policy = "twoChoices"
	// WeightedLeastRequest chooses an endpoint at random, with a probability that
	// falls with its requests in flight and rises with its weight.
	WeightedLeastRequest Policy = "weightedLeastRequest"
)

// Choose returns the index of the chosen candidate. There must be at least one,
// and each must have been added to the tracker.
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
	if first.reportedBusy != second.reportedBusy {
		return first.reportedBusy < second.reportedBusy
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
		observed := t.endpoints[name]
		weights[i] = observed.weight(now) / float64(len(observed.inFlight)+1)
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
