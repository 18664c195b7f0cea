// Package hashes computes hashes that are the same at every host.
package hashes

// Sum is FNV-1a with a final mix. Without the mix, names that differ in their last
// letter only have similar hashes.
func Sum(texts ...string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for _, text := range texts {
		for i := range len(text) {
			sum = (sum ^ uint64(text[i])) * prime
		}
		sum = (sum ^ 0xff) * prime
	}
	return Mix(sum)
}

// Mix spreads a value over all bits.
func Mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
