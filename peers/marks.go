package peers

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"filberthold/model"
)

// maxMarksPerEndpoint bounds the marked incarnations of one endpoint. All hosts
// keep the highest ones, so that their sets converge. Older incarnations no
// longer run.
const maxMarksPerEndpoint = 4

// markSet holds the leaving marks that a host has set or received. No frame
// removes a mark, and a mark does not apply to a new incarnation of the
// endpoint.
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
	if len(incarnations) == maxMarksPerEndpoint {
		lowest := slices.Min(incarnations)
		if mark.Incarnation < lowest {
			return false
		}
		s.remove(LeavingMark{Endpoint: mark.Endpoint, Incarnation: lowest})
	}
	s.byEndpoint[mark.Endpoint] = append(s.byEndpoint[mark.Endpoint], mark.Incarnation)
	s.count++
	s.hash += hashOf(mark)
	return true
}

func (s *markSet) remove(mark LeavingMark) {
	s.byEndpoint[mark.Endpoint] = slices.DeleteFunc(s.byEndpoint[mark.Endpoint],
		func(incarnation string) bool { return incarnation == mark.Incarnation })
	s.count--
	s.hash -= hashOf(mark)
}

// retain removes the marks of endpoints for which isConfigured returns false.
func (s *markSet) retain(isConfigured func(model.EndpointName) bool) {
	for endpoint, incarnations := range s.byEndpoint {
		if isConfigured(endpoint) {
			continue
		}
		for _, incarnation := range slices.Clone(incarnations) {
			s.remove(LeavingMark{Endpoint: endpoint, Incarnation: incarnation})
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
