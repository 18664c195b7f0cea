package peers

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"filberthold/model"
)

// maxMarksOfEndpoint bounds the incarnations of one endpoint that are kept.
// All hosts keep the highest ones, so that their sets become equal. Older
// incarnations no longer run.
const maxMarksOfEndpoint = 4

// markSet holds the leaving marks of a host. Marks are sticky: no message
// removes one, and a new incarnation of the endpoint is not covered by it.
type markSet struct {
	byEndpoint map[model.EndpointName][]string
	count      int
	hash       uint64
}

func newMarkSet() *markSet { return &markSet{byEndpoint: make(map[model.EndpointName][]string)} }

// add reports whether the mark is new.
func (s *markSet) add(mark LeavingMark) bool {
	incarnations := s.byEndpoint[mark.Endpoint]
	if slices.Contains(incarnations, mark.Incarnation) {
		return false
	}
	if len(incarnations) == 0 && s.count >= maxMarks {
		return false
	}
	if len(incarnations) == maxMarksOfEndpoint {
		lowest := slices.Min(incarnations)
		if mark.Incarnation < lowest {
			return false
		}
		s.drop(LeavingMark{Endpoint: mark.Endpoint, Incarnation: lowest})
	}
	s.byEndpoint[mark.Endpoint] = append(s.byEndpoint[mark.Endpoint], mark.Incarnation)
	s.count++
	s.hash += hashOf(mark)
	return true
}

func (s *markSet) drop(mark LeavingMark) {
	s.byEndpoint[mark.Endpoint] = slices.DeleteFunc(s.byEndpoint[mark.Endpoint],
		func(incarnation string) bool { return incarnation == mark.Incarnation })
	s.count--
	s.hash -= hashOf(mark)
}

// retain drops the marks of endpoints that are no longer configured.
func (s *markSet) retain(keeps func(model.EndpointName) bool) {
	for endpoint, incarnations := range s.byEndpoint {
		if keeps(endpoint) {
			continue
		}
		for _, incarnation := range slices.Clone(incarnations) {
			s.drop(LeavingMark{Endpoint: endpoint, Incarnation: incarnation})
		}
		delete(s.byEndpoint, endpoint)
	}
}

// all returns the marks in a fixed order.
func (s *markSet) all() []LeavingMark {
	marks := make([]LeavingMark, 0, s.count)
	for endpoint, incarnations := range s.byEndpoint {
		for _, incarnation := range incarnations {
			marks = append(marks, LeavingMark{Endpoint: endpoint, Incarnation: incarnation})
		}
	}
	slices.SortFunc(marks, func(a, b LeavingMark) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return marks
}

func hashOf(mark LeavingMark) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, string(mark.Endpoint)+"\x00"+mark.Incarnation)
	return hash.Sum64()
}
