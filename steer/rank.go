package steer

import (
	"container/heap"
	"math"

	"filberthold/hashes"
)

// toUnitInterval maps a hash to a point in 0..1, exclusive.
func toUnitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// rendezvousWeight is the weight of an endpoint for an object in weighted
// rendezvous hashing: an object keeps its endpoint when other endpoints are
// added or removed.
func rendezvousWeight(object uint64, candidate *endpoint) float64 {
	return -float64(candidate.slots) / math.Log(toUnitInterval(hashes.Mix(object^candidate.hash)))
}

// ranking orders the endpoints for an object, the preferred one first. It is a
// heap and not a sorted list, because most choices need only the first few.
type ranking struct {
	heap []weighted
}

// weighted is an endpoint with its weight for the object.
type weighted struct {
	endpoint *endpoint
	weight   float64
}

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.heap) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool {
	a, b := r.heap[i], r.heap[j]
	if a.weight == b.weight {
		return a.endpoint.name < b.endpoint.name
	}
	return a.weight > b.weight
}

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) { r.heap[i], r.heap[j] = r.heap[j], r.heap[i] }

// Push implements heap.Interface.
func (r *ranking) Push(entry any) { r.heap = append(r.heap, entry.(weighted)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := r.heap[len(r.heap)-1]
	r.heap = r.heap[:len(r.heap)-1]
	return last
}

// start fills the ranking with the endpoints for an object.
func (r *ranking) start(object uint64, endpoints []*endpoint) {
	r.heap = r.heap[:0]
	for _, candidate := range endpoints {
		r.heap = append(r.heap, weighted{candidate, rendezvousWeight(object, candidate)})
	}
	heap.Init(r)
}

// next returns the next endpoint, or nil at the end.
func (r *ranking) next() *endpoint {
	if len(r.heap) == 0 {
		return nil
	}
	return heap.Pop(r).(weighted).endpoint
}
