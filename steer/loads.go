package steer

import (
	"time"

	"filberthold/model"
)

// loadMemory is how long what another host said of its requests counts. Hosts
// repeat it twice in that time; a host that has died does not.
const loadMemory = 2500 * time.Millisecond

// EndpointID names an endpoint in messages between hosts, where every byte
// between availability zones has its price.
type EndpointID uint32

// Load is the number of requests that a host has at an endpoint.
type Load struct {
	Endpoint EndpointID
	Count    uint8
}

// toldLoads is what another host said of its requests. Each endpoint's told is
// the sum of its counts over all hosts.
type toldLoads struct {
	at     time.Time
	counts map[*endpoint]uint8
}

func (t *toldLoads) set(one *endpoint, count uint8) {
	one.told += int(count) - int(t.counts[one])
	if count == 0 {
		delete(t.counts, one)
		return
	}
	t.counts[one] = count
}

func (t *toldLoads) clear() {
	for one, count := range t.counts {
		one.told -= int(count)
	}
	clear(t.counts)
}

func (e *endpoint) id() EndpointID { return EndpointID(e.hash >> 32) }

// ApplyLoads takes in what another host said of its requests. A full message
// names every endpoint at which the host has any.
func (s *Selector) ApplyLoads(host model.HostName, loads []Load, isFull bool, now time.Time) {
	said := s.told[host]
	if said == nil {
		said = &toldLoads{counts: make(map[*endpoint]uint8)}
		s.told[host] = said
	}
	said.at = now
	if isFull {
		said.clear()
	}
	for _, load := range loads {
		if one := s.byID[load.Endpoint]; one != nil {
			said.set(one, load.Count)
		}
	}
}

// expireTold forgets what hosts said that have been silent since.
func (s *Selector) expireTold(now time.Time) {
	for host, said := range s.told {
		if now.Sub(said.at) >= loadMemory {
			said.clear()
			delete(s.told, host)
		}
	}
}

// forgetTold forgets what hosts said of an endpoint that has ended.
func (s *Selector) forgetTold(one *endpoint) {
	for _, said := range s.told {
		said.set(one, 0)
	}
}

// Loads returns what other hosts have to know of this host's requests: what
// changed since the last call for changes, or all.
func (s *Selector) Loads(isFull bool) []Load {
	var loads []Load
	for _, one := range s.endpoints {
		if isFull && one.inFlight == 0 || !isFull && one.inFlight == one.announced {
			continue
		}
		if !isFull {
			one.announced = one.inFlight
		}
		loads = append(loads, Load{Endpoint: one.id(), Count: uint8(min(one.inFlight, 255))})
	}
	return loads
}
