package place

import "filberthold/model"

// leavingSet holds the endpoints that get no new requests. A leaving mark applies
// to one incarnation of an endpoint and stays until a newer incarnation is
// reported.
type leavingSet struct {
	// marks holds the incarnation of each leaving endpoint, or "" if the mark is
	// from a response, which does not contain the incarnation.
	marks map[model.EndpointName]string
	// replaced holds the incarnations that a newer one has replaced. A late mark
	// for one of them is ignored, because it does not apply to the newer one.
	replaced map[model.EndpointName]map[string]bool
}

func newLeavingSet() *leavingSet {
	return &leavingSet{
		marks:    make(map[model.EndpointName]string),
		replaced: make(map[model.EndpointName]map[string]bool),
	}
}

func (s *leavingSet) has(endpoint model.EndpointName) bool {
	_, exists := s.marks[endpoint]
	return exists
}

// mark marks an incarnation of an endpoint as leaving. It ignores an
// incarnation that was replaced. An empty incarnation does not overwrite an
// earlier mark.
func (s *leavingSet) mark(endpoint model.EndpointName, incarnation string) {
	if s.replaced[endpoint][incarnation] || (incarnation == "" && s.has(endpoint)) {
		return
	}
	s.marks[endpoint] = incarnation
}

// unmark removes the mark of an earlier incarnation. It reports whether there was
// one.
func (s *leavingSet) unmark(endpoint model.EndpointName, incarnation string) bool {
	marked, exists := s.marks[endpoint]
	if !exists || (marked != "" && marked == incarnation) {
		return false
	}
	delete(s.marks, endpoint)
	if marked != "" {
		if s.replaced[endpoint] == nil {
			s.replaced[endpoint] = make(map[string]bool)
		}
		s.replaced[endpoint][marked] = true
	}
	return true
}

// unmark makes an endpoint available again. Its new incarnation has cold caches,
// so it gets a slow start.
func (c *Core) unmark(event Unmarked) {
	delete(c.spare, event.Endpoint)
	if !c.leaving.unmark(event.Endpoint, event.Incarnation) || c.deployment == nil {
		return
	}
	endpoint, exists := c.deployment.Endpoint(event.Endpoint)
	if !exists {
		return
	}
	service, _ := c.deployment.Service(endpoint.Service())
	c.tracker.Remove(event.Endpoint)
	c.tracker.Add(event.Endpoint, service.Name(), service.SlowStart())
}
