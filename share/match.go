package share

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"filberthold/model"
)

// seat is a slot that looks for an owner.
type seat struct {
	slot Slot
	hash uint64
	// ranked holds the candidates that the slot has not asked yet, or nil before
	// the first.
	ranked []ranking
}

// ranking is a candidate with its weight for a slot.
type ranking struct {
	candidate *candidate
	weight    uint64
}

// candidate is a host that takes up to room slots.
type candidate struct {
	host model.HostName
	hash uint64
	room int
	held []*seat
}

// weight is the rendezvous weight of a slot and a host.
func weight(seat *seat, candidate *candidate) uint64 { return mix(seat.hash ^ candidate.hash) }

// match assigns slots to candidates by deferred acceptance over rendezvous
// weights. The result depends on the weights alone, so a change of hosts moves
// few slots, although every candidate has a fixed room.
func (a *Assignment) match(seats []*seat, candidates []*candidate) {
	candidates = slices.DeleteFunc(candidates, func(c *candidate) bool { return c.room == 0 })
	pending := slices.Clone(seats)
	for len(pending) > 0 {
		seat := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if seat.ranked == nil {
			seat.ranked = rank(seat, candidates)
		}
		if loser := settle(seat); loser != nil {
			pending = append(pending, loser)
		}
	}
	for _, candidate := range candidates {
		for _, seat := range candidate.held {
			a.owner[seat.slot] = candidate.host
		}
	}
	// A slot that is left asks other candidates later, and the rankings of one
	// region need not stay in memory while the next is matched.
	for _, seat := range seats {
		seat.ranked = nil
	}
}

// settle offers a slot to its candidates in order, and returns the slot that
// loses its place, if one does.
func settle(seat *seat) *seat {
	for len(seat.ranked) > 0 {
		asked := seat.ranked[0].candidate
		seat.ranked = seat.ranked[1:]
		if len(asked.held) < asked.room {
			asked.held = append(asked.held, seat)
			return nil
		}
		worst := 0
		for i := range asked.held {
			if weight(asked.held[i], asked) < weight(asked.held[worst], asked) {
				worst = i
			}
		}
		if loser := asked.held[worst]; weight(loser, asked) < weight(seat, asked) {
			asked.held[worst] = seat
			return loser
		}
	}
	return nil
}

// rank returns the candidates of a slot, those of most weight first. Weights
// are computed once: at 680 hosts they dominate the time of an assignment.
func rank(seat *seat, candidates []*candidate) []ranking {
	ranked := make([]ranking, 0, len(candidates))
	for _, candidate := range candidates {
		ranked = append(ranked, ranking{candidate: candidate, weight: weight(seat, candidate)})
	}
	slices.SortFunc(ranked, func(a, b ranking) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(a.candidate.host, b.candidate.host)
	})
	return ranked
}

// divide returns candidates whose rooms differ by at most one and add up to
// total. The hash of service and host decides who gets one more, so that the
// same hosts do not gain in every service.
func divide(service model.ServiceName, hosts []model.Host, total int) []*candidate {
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
		candidate.room = part(total, len(order), position)
	}
	return candidates
}

func slotHash(slot Slot) uint64 {
	return hashOf(string(slot.Endpoint) + "/" + strconv.Itoa(slot.Index))
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return mix(hash.Sum64())
}

// mix is the finalizer of SplitMix64. FNV alone leaves similar names with
// similar high bits, which would correlate the weights.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
