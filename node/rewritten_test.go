package node

import (
	"strings"
	"testing"
	"testing/synctest"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/roster"

	"gotest.tools/v3/assert"
)

// beside returns the replica of another host at the same store.
func (rt *replicaTest) beside() *replicaTest {
	rt.t.Helper()
	other := newReplicaTest(rt.t)
	other.store, other.transport = rt.store, fake.NewTransport(rt.store)
	return other
}

// readOperator reads the changes of the operator's rows from the store.
func (rt *replicaTest) readOperator() {
	rt.t.Helper()
	assert.NilError(rt.t, rt.newReader(func(platform.Table) bool { return true }).readOperator(rt.t.Context()))
}

// Guards against a follower that never gets a configuration: it had the one before from
// another host, and the host that it follows got both of them in one response of the
// store. In a played day three to five hosts kept the configuration before for good.
func TestFollowerGetsConfigurationThatItsReaderReadWithTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newReplicaTest(t)
		second, follower := first.beside(), first.beside()
		for _, host := range []*replicaTest{first, second, follower} {
			host.readOperator()
		}
		first.putConfigs(2, 2)
		first.readOperator()
		follower.followOperator(first)
		assert.Equal(t, follower.configVersion(), uint64(2))
		first.putConfigs(3, 3)
		second.readOperator()
		follower.followOperator(second)
		assert.Equal(t, follower.replica.operator.Version(), second.replica.operator.Version())
		assert.Equal(t, follower.configVersion(), uint64(3))
	})
}

// Guards against a follower without an evacuation that was taken back and written again:
// the host that it follows knows only the first and the last of these writes, which have
// the same value.
func TestFollowerGetsEvacuationThatWasWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newReplicaTest(t)
		second, follower := first.beside(), first.beside()
		evacuate := func() { first.store.Put(platform.OperatorTable, "evacuate/za", "{}") }
		evacuate()
		for _, host := range []*replicaTest{first, second, follower} {
			host.readOperator()
		}
		first.store.Remove(platform.OperatorTable, "evacuate/za")
		first.readOperator()
		follower.followOperator(first)
		assert.DeepEqual(t, follower.evacuatedZones(), map[model.ZoneName]bool{})
		evacuate()
		first.readOperator()
		second.followOperator(first)
		follower.followOperator(second)
		assert.DeepEqual(t, follower.evacuatedZones(), map[model.ZoneName]bool{"za": true})
	})
}

// Guards against a follower that never gets a configuration which the store lost and the
// operator wrote again: the host that it follows had it before.
func TestFollowerGetsConfigurationThatItsReaderHadBeforeReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newReplicaTest(t)
		second, follower := first.beside(), first.beside()
		older := first.store.Copy()
		first.putConfigs(2, 2)
		first.readOperator()
		first.store.Restore(older)
		first.readOperator()
		second.readOperator()
		follower.followOperator(second)
		assert.Equal(t, follower.configVersion(), uint64(1))
		first.putConfigs(2, 2)
		first.readOperator()
		follower.followOperator(first)
		assert.Equal(t, follower.configVersion(), uint64(2))
	})
}

// entryOf returns an entry of i-1 in a state.
func entryOf(state, sequence string) string {
	return strings.NewReplacer(`"ready"`, `"`+state+`"`, `"sequence":1`, `"sequence":`+sequence).Replace(readyEntry)
}

// hasEntry reports whether the host has applied an entry of i-1.
func (rt *replicaTest) hasEntry(value string) bool {
	rt.t.Helper()
	entry, err := platform.DecodeEntry(platform.Row{Key: "i-1", Value: []byte(value)})
	assert.NilError(rt.t, err)
	return rt.core.ApplyEntry(entry) == roster.Unchanged
}

// readEndpoints reads the changes of the endpoints from the store.
func (rt *replicaTest) readEndpoints() {
	rt.t.Helper()
	rt.read(rt.newReader(func(platform.Table) bool { return true }))
}

// Guards against requests to an endpoint that is draining: the store lost this, and the
// endpoint wrote it again, which was no change for the host that the follower follows.
func TestFollowerGetsStateThatItsReaderHadBeforeReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newReplicaTest(t)
		second, follower := first.beside(), first.beside()
		first.readEndpoints()
		older := first.store.Copy()
		first.store.Put(platform.EndpointTable, "i-1", entryOf("draining", "2"))
		first.readEndpoints()
		first.store.Restore(older)
		first.readEndpoints()
		second.readEndpoints()
		follower.follow(second)
		first.store.Put(platform.EndpointTable, "i-1", entryOf("draining", "3"))
		first.readEndpoints()
		follower.follow(first)
		assert.Assert(t, follower.hasEntry(entryOf("draining", "3")))
	})
}

// Guards against requests to an endpoint that has left: the store brought its entry back
// and lost it again, before the host that the follower follows read the store.
func TestFollowerGetsRemovalBeforeItsReaderSawReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newReplicaTest(t)
		second, follower := first.beside(), first.beside()
		first.readEndpoints()
		older := first.store.Copy()
		first.store.Remove(platform.EndpointTable, "i-1")
		first.readEndpoints()
		first.store.Restore(older)
		second.readEndpoints()
		follower.follow(second)
		first.store.Remove(platform.EndpointTable, "i-1")
		first.readEndpoints()
		follower.follow(first)
		assert.Equal(t, follower.replica.endpoints.Version(), first.replica.endpoints.Version())
		assert.Assert(t, !follower.isEndpointUsed())
	})
}

// Guards against an evacuation that one host keeps for good: the store brought it back, and
// it ended again before the host that the follower follows read the store.
func TestFollowerGetsEndOfEvacuationBeforeItsReaderSawReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newReplicaTest(t)
		second, follower := first.beside(), first.beside()
		first.store.Put(platform.OperatorTable, "evacuate/za", "{}")
		first.readOperator()
		older := first.store.Copy()
		first.store.Remove(platform.OperatorTable, "evacuate/za")
		first.readOperator()
		first.store.Restore(older)
		second.readOperator()
		follower.followOperator(second)
		assert.DeepEqual(t, follower.evacuatedZones(), map[model.ZoneName]bool{"za": true})
		first.store.Remove(platform.OperatorTable, "evacuate/za")
		first.readOperator()
		follower.followOperator(first)
		assert.DeepEqual(t, follower.evacuatedZones(), map[model.ZoneName]bool{})
	})
}

// Guards against a follower that lacks an endpoint whose entry expired and was written
// again: the host that it follows got the last of these writes from another host, for
// which it was a change, and took it for a renewal.
func TestFollowerGetsEntryThatWasWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := newReplicaTest(t)
		second, follower := first.beside(), first.beside()
		for _, host := range []*replicaTest{first, second, follower} {
			host.readEndpoints()
		}
		first.store.Remove(platform.EndpointTable, "i-1")
		first.readEndpoints()
		follower.follow(first)
		first.store.Put(platform.EndpointTable, "i-1", entryOf("ready", "2"))
		first.readEndpoints()
		second.follow(first)
		follower.follow(second)
		assert.Equal(t, follower.replica.endpoints.Version(), first.replica.endpoints.Version())
		assert.Assert(t, follower.isEndpointUsed())
	})
}
