package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against more store readers than hosts can believe in, and against a host without
// a reader or a source, while around a hand-over three groups of hosts know different
// hosts. Each group elects one reader; who reads the store decides nothing else, because
// rows carry versions.
func TestThreeListsOfHostsElectThreeReadersAtMost(t *testing.T) {
	const hosts, groups, seed = 12, 3, 7
	random := rand.New(rand.NewPCG(seed, 0))
	conditions := ReadConditions{SinceStart: time.Hour}
	most := 0
	for range 2000 {
		var all []Heartbeat
		for i := range hosts {
			all = append(all, newHeartbeat(fmt.Sprint("h", i, "-", random.IntN(1000)), "za", "north"))
		}
		lists := make([][]Heartbeat, groups)
		for group := range lists {
			lists[group] = slices.DeleteFunc(slices.Clone(all), func(Heartbeat) bool { return random.IntN(3) == 0 })
		}
		var readers []model.HostName
		for i, self := range all {
			others := slices.DeleteFunc(slices.Clone(lists[i%groups]), func(other Heartbeat) bool { return other.Host == self.Host })
			isReader := ShouldReadStore(self, others, conditions)
			sources := Sources(self, others)
			assert.Equal(t, isReader, len(sources) == 0, "seed %d: %s", seed, self.Host)
			// A host always has itself in its list.
			if isReader && slices.ContainsFunc(lists[i%groups], func(listed Heartbeat) bool { return listed.Host == self.Host }) {
				readers = append(readers, self.Host)
			}
		}
		assert.Assert(t, len(readers) <= groups, "seed %d: %v", seed, readers)
		most = max(most, len(readers))
	}
	assert.Equal(t, most, groups, "three readers at once did not occur")
}
