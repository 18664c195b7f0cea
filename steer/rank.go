package steer

import (
	"container/heap"
	"math"
)

// hash64 is FNV-1a with a final mix: without the mix, names that differ in
// their last letter only get close values, and one endpoint wins most objects.
func hash64(texts ...string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for _, text := range texts {
		for i := range len(text) {
			sum = (sum ^ uint64(text[i])) * prime
		}
		sum = (sum ^ 0xff) * prime
	}
	return mix(sum)
}

func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// unit maps a hash to a point in 0..1, exclusive.
func unit(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// weightOf is the weight of an endpoint for an object in weighted rendezvous
// hashing: an object stays where it is while other endpoints come and go.
func weightOf(object uint64, candidate *endpoint) float64 {
	return -float64(candidate.slots) / math.Log(unit(mix(object^candidate.hash)))
}

// ranking lists endpoints for an object, the preferred one first. Most choices
// look at the first few only, so that it is a heap and not a sorted list.
type ranking struct {
	heap []weighted
}

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

// start begins the list of endpoints for an object.
func (r *ranking) start(object uint64, endpoints []*endpoint) {
	r.heap = r.heap[:0]
	for _, candidate := range endpoints {
		r.heap = append(r.heap, weighted{candidate, weightOf(object, candidate)})
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
