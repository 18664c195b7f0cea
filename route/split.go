package route

import (
	"maps"

	"filberthold/model"
)

// Splitter distributes the requests of each route over its services in
// proportion to their weights. It uses smooth weighted round robin instead of
// random choices, so that the shares are exact over few requests too. It is not
// safe for concurrent use.
type Splitter struct {
	// version is the version of the configuration to which credits belong.
	version uint64
	// credits holds, for each route and service, how far the service is behind
	// its share, in units of weight: one request counts as the total weight of the
	// route.
	credits map[string]map[model.ServiceName]float64
}

// NewSplitter returns a splitter without credits.
func NewSplitter() *Splitter {
	return &Splitter{credits: make(map[string]map[model.ServiceName]float64)}
}

// Pick returns the service for the next request of a route. A new version of the
// configuration clears all credits.
func (s *Splitter) Pick(version uint64, route Route) model.ServiceName {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	if version != s.version {
		s.version = version
		clear(s.credits)
	}
	credits := s.credits[route.Name]
	if credits == nil {
		credits = make(map[model.ServiceName]float64, len(route.Shares))
		s.credits[route.Name] = credits
	}
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
		credits[share.Service] += share.Weight
	}
	best := route.Shares[0].Service
	for _, share := range route.Shares[1:] {
		if credits[share.Service] > credits[best] {
			best = share.Service
		}
	}
	credits[best] -= total
	return best
}

// Next returns what Pick would return, without counting a request.
func (s *Splitter) Next(version uint64, route Route) model.ServiceName {
	copied := NewSplitter()
	if version == s.version {
		copied.version = version
		copied.credits[route.Name] = maps.Clone(s.credits[route.Name])
	}
	return copied.Pick(version, route)
}
