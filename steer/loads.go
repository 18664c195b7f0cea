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

// told is what another host said of its requests at an endpoint.
type told struct {
	count uint8
	at    time.Time
}

func (e *endpoint) id() EndpointID { return EndpointID(e.hash >> 32) }

// TakeLoads takes in what another host said of its requests. A full message
// names every endpoint at which the host has any.
func (s *Steerer) TakeLoads(host model.HostName, loads []Load, isFull bool, now time.Time) {
	if isFull {
		for _, one := range s.endpoints {
			delete(one.told, host)
		}
	}
	byID := make(map[EndpointID]uint8, len(loads))
	for _, load := range loads {
		byID[load.Endpoint] = load.Count
	}
	for _, one := range s.endpoints {
		count, isNamed := byID[one.id()]
		if !isNamed {
			continue
		}
		if one.told == nil {
			one.told = make(map[model.HostName]told)
		}
		one.told[host] = told{count: count, at: now}
	}
}

// Loads returns what other hosts have to know of this host's requests: what
// changed since the last call for changes, or all.
func (s *Steerer) Loads(isFull bool) []Load {
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

// toldLoad is the number of requests that other hosts have at the endpoint by
// their own word.
func (e *endpoint) toldLoad(now time.Time) float64 {
	sum := 0.0
	for _, one := range e.told {
		if now.Sub(one.at) < loadMemory {
			sum += float64(one.count)
		}
	}
	return sum
}
