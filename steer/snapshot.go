package steer

import (
	"slices"
	"time"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"
)

// Snapshot is a copy of a selector, on which choices can be tried without an effect on the
// selector. Even reading the median of response times changes a selector: it determines when
// the samples are sorted next.
type Snapshot struct {
	selector *Selector
}

// Snapshot returns a copy of the selector. It shares notices and hosts, which no choice
// changes, so it must not be used concurrently with the selector.
func (s *Selector) Snapshot() *Snapshot {
	copied := *s
	copied.ranking = ranking{}
	twins := make(map[*endpoint]*endpoint, len(s.endpoints))
	twin := func(original *endpoint) *endpoint {
		if twins[original] == nil {
			other := *original
			other.running = slices.Clone(original.running)
			twins[original] = &other
		}
		return twins[original]
	}
	copied.endpoints = make(map[model.EndpointName]*endpoint, len(s.endpoints))
	for name, each := range s.endpoints {
		copied.endpoints[name] = twin(each)
	}
	copied.byID = make(map[EndpointID]*endpoint, len(s.byID))
	for id, each := range s.byID {
		copied.byID[id] = twin(each)
	}
	copied.services = make(map[model.ServiceName]*serviceState, len(s.services))
	for name, state := range s.services {
		copied.services[name] = state.copy(twin)
	}
	copied.loadsByHost = make(map[model.HostName]*hostLoads, len(s.loadsByHost))
	for name, reported := range s.loadsByHost {
		counts := make(map[*endpoint]uint8, len(reported.counts))
		for target, count := range reported.counts {
			counts[twin(target)] = count
		}
		copied.loadsByHost[name] = &hostLoads{receivedAt: reported.receivedAt, counts: counts}
	}
	return &Snapshot{selector: &copied}
}

// copy returns a copy in which each endpoint is replaced by its twin.
func (s *serviceState) copy(twin func(*endpoint) *endpoint) *serviceState {
	twinsOf := func(endpoints []*endpoint) []*endpoint {
		var twins []*endpoint
		for _, each := range endpoints {
			twins = append(twins, twin(each))
		}
		return twins
	}
	copied := *s
	copied.endpoints, copied.inZone = twinsOf(s.endpoints), twinsOf(s.inZone)
	copied.byRegion = make(map[model.RegionName][]*endpoint, len(s.byRegion))
	for region, endpoints := range s.byRegion {
		copied.byRegion[region] = twinsOf(endpoints)
	}
	copied.latencies = s.latencies.Clone()
	return &copied
}

// Update applies the usable endpoints as Selector.Update does.
func (s *Snapshot) Update(config *route.Config, endpointRoster *roster.Roster, names []model.ServiceName, now time.Time) {
	s.selector.Update(config, endpointRoster, names, now)
}

// HasClearedNotices reports what Selector.HasClearedNotices would.
func (s *Snapshot) HasClearedNotices(now time.Time) bool { return s.selector.HasClearedNotices(now) }

// HeldSlots returns what Selector.HeldSlots would.
func (s *Snapshot) HeldSlots(service model.ServiceName) HeldSlots {
	return s.selector.HeldSlots(service)
}
