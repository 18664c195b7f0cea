package share

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"filberthold/model"
)

// proposer is a slot that is matched with an owner; see match.
type proposer struct {
	slot Slot
	hash uint64
	// ranked holds the candidates to which the slot has not been proposed yet, best
	// first. It is nil before the first proposal.
	ranked []rankedCandidate
}

// rankedCandidate is a candidate with its rendezvous weight for a slot.
type rankedCandidate struct {
	candidate *candidate
	weight    uint64
}

// candidate is a host that accepts up to capacity slots.
type candidate struct {
	host     model.HostName
	hash     uint64
	capacity int
	accepted []*proposer
}

// weight is the rendezvous weight of a slot and a host.
func weight(proposer *proposer, candidate *candidate) uint64 {
	return mix(proposer.hash ^ candidate.hash)
}

// match assigns slots to candidates by deferred acceptance (Gale-Shapley), with
// rendezvous weights as the preferences of both sides. The result depends only on
// the weights, so a change of hosts moves few slots, although every candidate has a
// fixed capacity.
func (a *Assignment) match(proposers []*proposer, candidates []*candidate) {
	candidates = slices.DeleteFunc(candidates, func(c *candidate) bool { return c.capacity == 0 })
	pending := slices.Clone(proposers)
	for len(pending) > 0 {
		proposer := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if proposer.ranked == nil {
			proposer.ranked = rank(proposer, candidates)
		}
		if displaced := propose(proposer); displaced != nil {
			pending = append(pending, displaced)
		}
	}
	for _, candidate := range candidates {
		for _, proposer := range candidate.accepted {
			a.owner[proposer.slot] = candidate.host
		}
	}
	// A slot without an owner is matched with other candidates later. The rankings
	// of one region need not stay in memory while the next region is matched.
	for _, proposer := range proposers {
		proposer.ranked = nil
	}
}

// propose proposes a slot to its candidates in order until one accepts it. It
// returns the slot that the candidate rejects in exchange, or nil.
func propose(proposer *proposer) *proposer {
	for len(proposer.ranked) > 0 {
		target := proposer.ranked[0].candidate
		proposer.ranked = proposer.ranked[1:]
		if len(target.accepted) < target.capacity {
			target.accepted = append(target.accepted, proposer)
			return nil
		}
		worst := 0
		for i := range target.accepted {
			if weight(target.accepted[i], target) < weight(target.accepted[worst], target) {
				worst = i
			}
		}
		if displaced := target.accepted[worst]; weight(displaced, target) < weight(proposer, target) {
			target.accepted[worst] = proposer
			return displaced
		}
	}
	return nil
}

// rank returns the candidates of a slot, sorted by descending weight. Weights are
// computed once: with 680 hosts they dominate the time of an assignment.
func rank(proposer *proposer, candidates []*candidate) []rankedCandidate {
	ranked := make([]rankedCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		ranked = append(ranked, rankedCandidate{candidate: candidate, weight: weight(proposer, candidate)})
	}
	slices.SortFunc(ranked, func(a, b rankedCandidate) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(a.candidate.host, b.candidate.host)
	})
	return ranked
}

// divideSlots returns the hosts as candidates. Their capacities differ by at most
// one and add up to total. The hash of service and host selects the hosts that get
// one more, so they are not the same hosts in every service.
func divideSlots(service model.ServiceName, hosts []model.Host, total int) []*candidate {
	candidates := make([]*candidate, 0, len(hosts))
	for _, host := range hosts {
		candidates = append(candidates, &candidate{host: host.Name(), hash: hashOf(string(host.Name()))})
	}
	order := slices.Clone(candidates)
	serviceHash := hashOf(string(service))
	slices.SortFunc(order, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(mix(a.hash^serviceHash), mix(b.hash^serviceHash)), cmp.Compare(a.host, b.host))
	})
	for position, candidate := range order {
		candidate.capacity = part(total, len(order), position)
	}
	return candidates
}

func hashOfSlot(slot Slot) uint64 {
	return hashOf(string(slot.Endpoint) + "/" + strconv.Itoa(slot.Index))
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return mix(hash.Sum64())
}

// mix is the finalizer of SplitMix64. With FNV alone, similar names have similar
// high bits, which would correlate the weights.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
