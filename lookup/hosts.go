package lookup

import (
	"encoding/binary"
	"net/netip"

	"filberthold/model"
)

// Status determines whether and where an entry host is listed in lookups.
type Status int

const (
	// Usable hosts are listed by distance.
	Usable Status = iota
	// Suspect hosts may be unreachable. They are listed after all usable ones.
	Suspect
	// Unusable hosts are not listed.
	Unusable
)

// NearestHosts returns up to limit hosts for a client, nearest first. A hash of
// the client determines the order of equally near hosts. This spreads the clients
// over them, and over the remaining ones if one fails.
func (t *Table) NearestHosts(client netip.Addr, limit int, status func(model.HostName) Status) []model.Host {
	if len(t.sites) == 0 {
		return nil
	}
	client = client.Unmap()
	from := &t.sites[t.fallback]
	if block, exists := t.blocks.Lookup(client); exists {
		from = &t.sites[block.site]
	}
	hash := hashAddress(client)
	usable := make([]model.Host, 0, min(limit, len(t.hosts)))
	var suspect []model.Host
	start := 0
	for _, end := range from.tiers {
		tier := from.order[start:end]
		start = end
		permutation := newPermutation(hash, len(tier))
		for range tier {
			host := t.hosts[tier[permutation.next()]]
			switch status(host.Name()) {
			case Usable:
				usable = append(usable, host)
			case Suspect:
				if len(suspect) < limit {
					suspect = append(suspect, host)
				}
			case Unusable:
			}
			if len(usable) == limit {
				return usable
			}
		}
	}
	return append(usable, suspect[:min(len(suspect), limit-len(usable))]...)
}

// permutation iterates over the numbers below count in an order that depends on a
// hash. It starts at position and adds step modulo count. It reaches each number
// once, because step and count have no common divisor.
type permutation struct {
	count, position, step uint64
}

func newPermutation(hash uint64, count int) permutation {
	if count == 0 {
		return permutation{}
	}
	n := uint64(count)
	step := 1 + hash>>32%n
	for greatestCommonDivisor(step, n) != 1 {
		step++
	}
	return permutation{count: n, position: hash % n, step: step}
}

func (p *permutation) next() uint64 {
	current := p.position
	p.position = (p.position + p.step) % p.count
	return current
}

func greatestCommonDivisor(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func hashAddress(address netip.Addr) uint64 {
	bytes := address.As16()
	return mix(binary.BigEndian.Uint64(bytes[:8])) ^ mix(binary.BigEndian.Uint64(bytes[8:])+1)
}

func hashPrefix(prefix netip.Prefix) uint64 {
	return mix(hashAddress(prefix.Addr()) + uint64(prefix.Bits()+1))
}

// mix is the finalizer of splitmix64, which maps close values to evenly
// distributed ones.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
