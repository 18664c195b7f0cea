package route

import (
	"testing"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// The shares must hold over a few requests too, not only on average.
func TestSplitterKeepsShares(t *testing.T) {
	splitter := NewSplitter()
	split := Route{Name: "r", Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[model.ServiceName]int{}
	for range 50 {
		counts[splitter.Pick(1, split)]++
	}
	assert.DeepEqual(t, counts, map[model.ServiceName]int{"a": 45, "b": 5})
}

func TestSplitterSendsNothingToWeightZero(t *testing.T) {
	splitter := NewSplitter()
	split := Route{Name: "r", Shares: []Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}}
	for range 20 {
		assert.Equal(t, splitter.Pick(1, split), model.ServiceName("a"))
	}
}

// A new version starts its shares anew: credit of the old one must not move
// requests in the new one.
func TestSplitterStartsAnewWithAVersion(t *testing.T) {
	splitter := NewSplitter()
	old := Route{Name: "r", Shares: []Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 99}}}
	for range 60 {
		splitter.Pick(1, old)
	}
	changed := Route{Name: "r", Shares: []Share{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}}
	counts := map[model.ServiceName]int{}
	for range 10 {
		counts[splitter.Pick(2, changed)]++
	}
	assert.Equal(t, counts["a"], 5)
}
