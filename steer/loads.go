package steer

import (
	"time"

	"filberthold/model"
)

// loadExpiry is how long the load report of another host counts. Hosts repeat
// their reports twice in that time; a crashed host does not.
const loadExpiry = 2500 * time.Millisecond

// EndpointID identifies an endpoint in messages between hosts. It is a
// 32-bit hash of the name and not the name, because traffic between availability
// zones is charged by the byte.
type EndpointID uint32

// Load is the number of requests that a host has in flight at an endpoint. Count
// is 255 if there are more.
type Load struct {
	Endpoint EndpointID
	Count    uint8
}

// hostLoads holds the request counts that another host reported. The
// peerInFlight of an endpoint is the sum of its counts over all hosts.
type hostLoads struct {
	// receivedAt is when the last report was received.
	receivedAt time.Time
	counts     map[*endpoint]uint8
}

func (h *hostLoads) set(target *endpoint, count uint8) {
	target.peerInFlight += int(count) - int(h.counts[target])
	if count == 0 {
		delete(h.counts, target)
		return
	}
	h.counts[target] = count
}

func (h *hostLoads) clear() {
	for target, count := range h.counts {
		target.peerInFlight -= int(count)
	}
	clear(h.counts)
}

func (e *endpoint) id() EndpointID { return EndpointID(e.hash >> 32) }

// ApplyLoads applies a load report of another host. A full report lists every
// endpoint at which the host has requests in flight.
func (s *Selector) ApplyLoads(host model.HostName, loads []Load, isFull bool, now time.Time) {
	reported := s.loadsByHost[host]
	if reported == nil {
		reported = &hostLoads{counts: make(map[*endpoint]uint8)}
		s.loadsByHost[host] = reported
	}
	reported.receivedAt = now
	if isFull {
		reported.clear()
	}
	for _, load := range loads {
		if target := s.byID[load.Endpoint]; target != nil {
			reported.set(target, load.Count)
		}
	}
}

// expireLoads removes the counts of hosts whose last report is too old.
func (s *Selector) expireLoads(now time.Time) {
	for host, reported := range s.loadsByHost {
		if now.Sub(reported.receivedAt) >= loadExpiry {
			reported.clear()
			delete(s.loadsByHost, host)
		}
	}
}

// removeLoads removes the counts that hosts reported for an endpoint whose
// incarnation has ended.
func (s *Selector) removeLoads(target *endpoint) {
	for _, reported := range s.loadsByHost {
		reported.set(target, 0)
	}
}

// Loads returns the load report of this host for other hosts: the counts that
// changed since the last call without isFull, or all that are not 0 if isFull is
// true.
func (s *Selector) Loads(isFull bool) []Load {
	var loads []Load
	for _, target := range s.endpoints {
		if isFull && target.inFlight == 0 || !isFull && target.inFlight == target.lastAnnounced {
			continue
		}
		if !isFull {
			target.lastAnnounced = target.inFlight
		}
		loads = append(loads, Load{Endpoint: target.id(), Count: uint8(min(target.inFlight, 255))})
	}
	return loads
}
