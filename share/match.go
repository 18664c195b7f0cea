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
	// next is the number of candidates that the slot has already asked.
	next int
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
	ranked := make(map[*seat][]*candidate, len(seats))
	for _, seat := range seats {
		seat.next = 0
	}
	for len(pending) > 0 {
		seat := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if ranked[seat] == nil {
			ranked[seat] = rank(seat, candidates)
		}
		if loser := settle(seat, ranked[seat]); loser != nil {
			pending = append(pending, loser)
		}
	}
	for _, candidate := range candidates {
		for _, seat := range candidate.held {
			a.owner[seat.slot] = candidate.host
		}
	}
}

// settle offers a slot to its candidates in order, and returns the slot that
// loses its place, if one does.
func settle(seat *seat, ranked []*candidate) *seat {
	for seat.next < len(ranked) {
		asked := ranked[seat.next]
		seat.next++
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

func rank(seat *seat, candidates []*candidate) []*candidate {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(weight(seat, b), weight(seat, a)), cmp.Compare(a.host, b.host))
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
