package lookup

import (
	"encoding/binary"
	"net/netip"

	"filberthold/model"
)

// Status tells how an entry host takes part in lookups.
type Status int

const (
	// Usable hosts are listed by distance.
	Usable Status = iota
	// Suspect hosts are listed after all usable ones.
	Suspect
	// Unusable hosts are not listed.
	Unusable
)

// NearestHosts returns up to limit hosts for a client, nearest first. Equally near
// hosts are ordered by a hash of the client, so that clients spread over them,
// and over the remaining ones when one fails.
func (t *Table) NearestHosts(client netip.Addr, limit int, standing func(model.HostName) Status) []model.Host {
	if len(t.sites) == 0 {
		return nil
	}
	client = client.Unmap()
	from := &t.sites[t.fallback]
	if found, exists := t.blocks.Lookup(client); exists {
		from = &t.sites[found.site]
	}
	hash := hashAddress(client)
	usable := make([]model.Host, 0, min(limit, len(t.hosts)))
	var doubtful []model.Host
	start := 0
	for _, end := range from.tiers {
		tier := from.order[start:end]
		start = end
		walk := newWalk(hash, len(tier))
		for range tier {
			host := t.hosts[tier[walk.next()]]
			switch standing(host.Name()) {
			case Usable:
				usable = append(usable, host)
			case Suspect:
				if len(doubtful) < limit {
					doubtful = append(doubtful, host)
				}
			case Unusable:
			}
			if len(usable) == limit {
				return usable
			}
		}
	}
	return append(usable, doubtful[:min(len(doubtful), limit-len(usable))]...)
}

// walk visits the numbers below a count once each, in an order that depends on
// a hash.
type walk struct {
	count, at, step uint64
}

func newWalk(hash uint64, count int) walk {
	if count == 0 {
		return walk{}
	}
	n := uint64(count)
	step := 1 + hash>>32%n
	for greatestCommonDivisor(step, n) != 1 {
		step++
	}
	return walk{count: n, at: hash % n, step: step}
}

func (w *walk) next() uint64 {
	at := w.at
	w.at = (w.at + w.step) % w.count
	return at
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

func hashOf(prefix netip.Prefix) uint64 {
	return mix(hashAddress(prefix.Addr()) + uint64(prefix.Bits()+1))
}

// mix is the finalizer of splitmix64, which spreads close values evenly.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
