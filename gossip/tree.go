package gossip

import (
	"cmp"
	"net/netip"
	"slices"

	"filberthold/hashes"
	"filberthold/member"
	"filberthold/model"
)

// treeCount is the number of trees by which a region's hosts pass on conditions. Each
// message takes both, so that a host which is gone or frozen delays none.
const treeCount = 2

// tree is an order of the hosts of a region in which they pass on messages. The first host
// is the relay: it collects messages and sends them to the second one, and a host with the
// index i sends them to those with 2i and 2i+1.
type tree struct {
	hosts []treeHost
}

type treeHost struct {
	name   model.HostName
	ip     netip.Addr
	weight uint64
}

// newTrees returns the trees of the region of the hosts. The second tree is the first one
// in reverse, so that a host passes messages on in one of them only.
func newTrees(hosts []member.Heartbeat) [treeCount]tree {
	first := make([]treeHost, len(hosts))
	for i, host := range hosts {
		first[i] = treeHost{name: host.Host, ip: host.IP, weight: hashes.Mix(hashes.Sum(string(host.Host)))}
	}
	slices.SortFunc(first, func(a, b treeHost) int {
		if order := cmp.Compare(a.weight, b.weight); order != 0 {
			return order
		}
		return cmp.Compare(a.name, b.name)
	})
	second := slices.Clone(first)
	slices.Reverse(second)
	return [treeCount]tree{{first}, {second}}
}

// relay returns the address of the host that collects messages, or the zero address if
// there is none.
func (t tree) relay() netip.Addr {
	if len(t.hosts) == 0 {
		return netip.Addr{}
	}
	return t.hosts[0].ip
}

// next returns the addresses to which a host passes messages on.
func (t tree) next(name model.HostName) []netip.Addr {
	index := slices.IndexFunc(t.hosts, func(host treeHost) bool { return host.name == name })
	var next []netip.Addr
	for _, child := range []int{2 * index, 2*index + 1} {
		if index >= 0 && child != index && child < len(t.hosts) {
			next = append(next, t.hosts[child].ip)
		}
	}
	return next
}
