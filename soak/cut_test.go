package soak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against cuts that separate no hosts, that leave kinds of cuts out, or that are not
// the same for the same seed.
func TestDrawnCutsSeparateHosts(t *testing.T) {
	const maxDuration = 10 * time.Second
	for hosts := 2; hosts <= 5; hosts++ {
		sizes, directions, longest := make(map[int]bool), make(map[cutDirection]bool), time.Duration(0)
		for seed := range uint64(400) {
			cut := drawCut(rand.New(rand.NewPCG(seed, 1)), hosts, maxDuration)
			again := drawCut(rand.New(rand.NewPCG(seed, 1)), hosts, maxDuration)
			assert.Assert(t, slices.Equal(cut.group, again.group) && cut.direction == again.direction && cut.duration == again.duration)
			slices.Sort(cut.group)
			assert.Equal(t, len(slices.Compact(cut.group)), len(cut.group), "seed %d: %v", seed, cut)
			assert.Assert(t, cut.group[0] >= 0 && cut.group[len(cut.group)-1] < hosts, "seed %d: %v", seed, cut)
			assert.Assert(t, cut.duration >= minHold && cut.duration <= maxDuration, "seed %d: %v", seed, cut)
			sizes[len(cut.group)], directions[cut.direction] = true, true
			longest = max(longest, cut.duration)
		}
		assert.Equal(t, len(sizes), hosts-1, "%d hosts: sizes %v", hosts, sizes)
		assert.Assert(t, !sizes[0] && !sizes[hosts])
		assert.Equal(t, len(directions), int(cutDirections))
		assert.Assert(t, longest > maxDuration/2, "%s", longest)
	}
}

// Guards against a cut that disturbs hosts on the same side, or that loses the wrong
// direction.
func TestCutLosesOnlyItsDirection(t *testing.T) {
	inside, leaves, enters, outside := hostPair{1, 3}, hostPair{1, 0}, hostPair{0, 3}, hostPair{0, 2}
	for name, test := range map[string]struct {
		cut  hostCut
		lost []hostPair
	}{
		"none":     {hostCut{}, nil},
		"both":     {hostCut{group: []int{3, 1}, direction: bothDirections}, []hostPair{leaves, enters}},
		"outgoing": {hostCut{group: []int{3, 1}, direction: outgoing}, []hostPair{leaves}},
		"incoming": {hostCut{group: []int{3, 1}, direction: incoming}, []hostPair{enters}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, pair := range []hostPair{inside, leaves, enters, outside} {
				assert.Equal(t, test.cut.loses(pair), slices.Contains(test.lost, pair), "%v", pair)
			}
		})
	}
}
