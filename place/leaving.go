package place

import "filberthold/model"

// leavingSet holds the endpoints that take no new work. A mark is sticky for
// an incarnation of an endpoint.
type leavingSet struct {
	// marks holds the incarnation of each leaving endpoint, or "" if the mark
	// came from a response that does not name one.
	marks map[model.EndpointName]string
	// replaced holds the incarnations that a newer one has replaced, so that a
	// late mark for one of them does not stop the newer one.
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

func (s *leavingSet) mark(endpoint model.EndpointName, incarnation string) {
	if s.replaced[endpoint][incarnation] || (incarnation == "" && s.has(endpoint)) {
		return
	}
	s.marks[endpoint] = incarnation
}

// unmark reports whether the endpoint takes work again.
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

// unmark takes an endpoint back into use. Its new incarnation has cold caches,
// so it starts slowly.
func (c *Core) unmark(event Unmarked) {
	if !c.leaving.unmark(event.Endpoint, event.Incarnation) || c.deployment == nil {
		return
	}
	endpoint, exists := c.deployment.Endpoint(event.Endpoint)
	if !exists {
		return
	}
	service, _ := c.deployment.Service(endpoint.Service())
	c.board.Remove(event.Endpoint)
	c.board.Add(event.Endpoint, service.Name(), service.SlowStart())
}
