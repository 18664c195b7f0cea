package peers

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"filberthold/model"
)

// rings is the number of orders in which each host has two neighbours. Three
// rings give 6 peers, which keeps digests near 1 KB a second for each host.
const rings = 3

// Subset returns the peers of a host: its neighbours in the order of names and
// in two orders of rendezvous hashes. The relation is symmetric, so that one
// connection serves both hosts, and the graph is close to a random regular
// one, so that a change reaches 680 hosts in about 4 hops.
func Subset(self model.HostName, hosts []model.Host) []model.Host {
	var picks []model.Host
	for ring := range rings {
		order := orderOf(ring, hosts)
		index := slices.IndexFunc(order, func(place ringPlace) bool { return place.host.Name() == self })
		if index < 0 {
			return nil
		}
		for _, step := range []int{1, len(order) - 1} {
			neighbour := order[(index+step)%len(order)].host
			isKnown := slices.ContainsFunc(picks, func(host model.Host) bool { return host.Name() == neighbour.Name() })
			if neighbour.Name() != self && !isKnown {
				picks = append(picks, neighbour)
			}
		}
	}
	return picks
}

// ringPlace is the place of a host on a ring.
type ringPlace struct {
	hash uint64
	host model.Host
}

// orderOf returns the hosts in the order of a ring. Ring 0 is ordered by name.
func orderOf(ring int, hosts []model.Host) []ringPlace {
	order := make([]ringPlace, len(hosts))
	for i, host := range hosts {
		order[i].host = host
		if ring > 0 {
			digest := sha256.Sum256(append([]byte{byte(ring)}, host.Name()...))
			order[i].hash = binary.BigEndian.Uint64(digest[:])
		}
	}
	slices.SortFunc(order, func(a, b ringPlace) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host.Name(), b.host.Name()))
	})
	return order
}
