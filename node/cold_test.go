package node

import (
	"testing"
	"testing/synctest"
	"time"

	"filberthold/platform"
	"filberthold/relay"
	"filberthold/roster"

	"gotest.tools/v3/assert"
)

// coldTime is the time that the entry of an endpoint states which has just started.
const coldTime = 3 * time.Second

// Guards against endpoints that a host takes for cold because it got their first entries
// from another host, which has had them for long: it sends them almost nothing.
func TestColdTimeOfRelayedEntryHasPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const value = `{"service":"s","address":"127.0.0.1:1","zone":"za","slots":3,"state":"ready","coldRemainingMs":3000,"sequence":1,"born":1}`
		version := platform.Version{Era: 1, Number: 7}
		row := platform.Row{Key: "i-1", Value: []byte(value), Version: version}
		first, second, third := newReplicaTest(t), newReplicaTest(t), newReplicaTest(t)
		first.replica.applyUpdate(relay.Update{Endpoints: relay.Changes{Rows: []platform.Row{row}, Version: version}, ReceivedAt: time.Now()}, "reader")
		time.Sleep(coldTime / 3)
		second.follow(first)
		time.Sleep(coldTime / 3)
		third.follow(second)
		for _, host := range []*replicaTest{first, second, third} {
			entry, err := platform.DecodeEntry(row)
			assert.NilError(t, err)
			entry.Sequence, entry.ColdFor = 2, coldTime/3
			assert.Equal(t, host.core.ApplyEntry(entry), roster.Unchanged)
			entry.Sequence, entry.ColdFor = 3, coldTime/3+time.Millisecond
			assert.Equal(t, host.core.ApplyEntry(entry), roster.Updated)
		}
	})
}
