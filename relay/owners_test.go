package relay

import (
	"fmt"
	"testing"
	"time"

	"filberthold/platform"

	"gotest.tools/v3/assert"
)

// Guards against a follower that goes back to an older row, or misses a removal, because
// around a hand-over three hosts relay the store to it at once, each with what it has read
// so far, in any order and more than once, to polls that the follower sent before.
func TestRowsOfThreeRelaysArriveInAnyOrder(t *testing.T) {
	rows := []platform.Row{
		row("a", 1), row("b", 2), row("a", 3), {Key: "b", Version: at(4), IsRemoved: true}, row("c", 5),
		{Key: "a", Version: at(6), IsRemoved: true}, row("b", 7), {Key: "c", Version: at(8), IsRemoved: true}, row("a", 9),
	}
	known := []int{3, 6, len(rows)}
	var orders [][]int
	permute(nil, []int{0, 1, 2, 0, 2}, &orders)
	for _, order := range orders {
		follower := NewCache()
		var highest platform.Version
		for _, relay := range order {
			source := NewCache()
			for _, read := range rows[:known[relay]] {
				source.Put(read, true)
			}
			version := at(uint64(known[relay]))
			source.Confirm(version, time.Now())
			// The follower sent its poll before it knew anything.
			changes, _ := source.Since(platform.Version{})
			for _, relayed := range changes.Rows {
				follower.Put(relayed, true)
			}
			follower.Confirm(changes.Version, time.Now())
			if highest.Number < version.Number {
				highest = version
			}
			assert.Equal(t, follower.Version(), highest, "order %v", order)
			assertRows(t, follower, rows[:highest.Number], fmt.Sprint(order))
		}
	}
}

// permute appends all orders of the rest behind a beginning.
func permute(beginning, rest []int, orders *[][]int) {
	if len(rest) == 0 {
		*orders = append(*orders, beginning)
		return
	}
	for i, next := range rest {
		others := append(append([]int(nil), rest[:i]...), rest[i+1:]...)
		permute(append(append([]int(nil), beginning...), next), others, orders)
	}
}

// assertRows checks that a cache has the last row of each key.
func assertRows(t *testing.T, cache *Cache, written []platform.Row, order string) {
	t.Helper()
	last := make(map[string]platform.Row)
	for _, row := range written {
		last[row.Key] = row
	}
	changes, _ := cache.Since(platform.Version{})
	assert.Equal(t, len(changes.Rows), len(last), order)
	for _, got := range changes.Rows {
		assert.Equal(t, got.Version, last[got.Key].Version, order)
		assert.Equal(t, got.IsRemoved, last[got.Key].IsRemoved, order)
	}
}
