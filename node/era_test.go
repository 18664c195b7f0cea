package node

import (
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/relay"

	"gotest.tools/v3/assert"
)

// callLatency is how long a call to the store takes in the tests of this file.
const callLatency = 10 * time.Millisecond

// putConfigs writes configurations of a range of versions.
func (rt *replicaTest) putConfigs(first, last int) {
	for version := first; version <= last; version++ {
		rt.store.Put(platform.OperatorTable, platform.ConfigKey, fake.VersionedConfig(version))
	}
}

// startReplicaTest returns a test whose reader reaches the store.
func startReplicaTest(t *testing.T) *replicaTest {
	rt := newReplicaTest(t)
	rt.transport.SetLatency(callLatency)
	rt.startReader(func(platform.Table) bool { return true })
	return rt
}

// returnOlderStore lets the store return from a copy without the configurations 2 to 5,
// which are in force. It returns the version of the rows before the return.
func (rt *replicaTest) returnOlderStore() platform.Version {
	older := rt.store.Copy()
	rt.putConfigs(2, 5)
	time.Sleep(applyTime)
	known := rt.replica.operator.Version()
	rt.store.Restore(older)
	time.Sleep(applyTime)
	return known
}

// Guards against a configuration that is never in force because the store returned
// from an older copy and gives out versions that the replica has already seen.
func TestConfigurationAfterReturnOfStoreIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := startReplicaTest(t)
		older := rt.store.Copy()
		rt.putConfigs(2, 5)
		time.Sleep(applyTime)
		assert.Equal(t, rt.configVersion(), uint64(5))
		rt.store.Restore(older)
		time.Sleep(applyTime)
		assert.Equal(t, rt.configVersion(), uint64(5))
		rt.putConfigs(5, 6)
		time.Sleep(applyTime)
		assert.Equal(t, rt.configVersion(), uint64(6))
	})
}

// Guards against changes that a host misses because it was cut off from the store
// during one or two returns from an older copy, after which the store's versions have
// passed those that the host has seen.
func TestChangesBelowVersionOfEarlierEraAreApplied(t *testing.T) {
	for returns := 1; returns <= 2; returns++ {
		synctest.Test(t, func(t *testing.T) {
			rt := newReplicaTest(t)
			rt.transport.SetLatency(callLatency)
			var isCut atomic.Bool
			rt.startReader(func(platform.Table) bool { return !isCut.Load() })
			older := rt.store.Copy()
			rt.putConfigs(2, 5)
			time.Sleep(applyTime)
			isCut.Store(true)
			time.Sleep(applyTime)
			for range returns {
				rt.store.Restore(older)
			}
			rt.store.Put(platform.OperatorTable, "evacuate/za", "{}")
			rt.putConfigs(5, 9)
			isCut.Store(false)
			time.Sleep(applyTime)
			assert.Equal(t, rt.configVersion(), uint64(9))
			assert.DeepEqual(t, rt.evacuatedZones(), map[model.ZoneName]bool{"za": true})
		})
	}
}

// evacuatedZones returns the evacuated availability zones.
func (rt *replicaTest) evacuatedZones() map[model.ZoneName]bool {
	rt.replica.mu.Lock()
	defer rt.replica.mu.Unlock()
	return maps.Clone(rt.replica.evacuated)
}

// Guards against an acknowledged evacuation that ends because the store returned from
// a copy without it, before the operator has written it again, and against one that
// never ends because nobody writes it again.
func TestEvacuationThatReturnedStoreLostHasGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := startReplicaTest(t)
		older := rt.store.Copy()
		for _, zone := range []string{"za", "zb"} {
			rt.store.Put(platform.OperatorTable, "evacuate/"+zone, "{}")
		}
		time.Sleep(applyTime)
		rt.store.Restore(older)
		time.Sleep(applyTime)
		rt.replica.expireOperatorRows(time.Now())
		assert.DeepEqual(t, rt.evacuatedZones(), map[model.ZoneName]bool{"za": true, "zb": true})
		rt.store.Put(platform.OperatorTable, "evacuate/za", "{}")
		time.Sleep(operatorRenewalGrace)
		rt.replica.expireOperatorRows(time.Now())
		assert.DeepEqual(t, rt.evacuatedZones(), map[model.ZoneName]bool{"za": true})
		changes, _ := rt.replica.operator.Since(rt.replica.operator.Version())
		assert.Equal(t, len(changes.Rows), 1)
		assert.Assert(t, changes.Rows[0].IsRemoved)
	})
}

// Guards against a host that starts after the store returned from an older copy and
// gets an older configuration from the host that it follows, which has a newer one in
// force.
func TestConfigurationInForceIsRelayedAfterReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := startReplicaTest(t)
		rt.returnOlderStore()
		changes, _ := rt.replica.operator.Since(platform.Version{})
		started := newReplicaTest(t)
		started.replica.applyUpdate(relay.Update{Operator: changes, ReceivedAt: time.Now()}, "h2")
		assert.Equal(t, started.configVersion(), uint64(5))
	})
}

// Guards against rows that a follower keeps for good because the store lost them before
// the host that it follows had read them: an evacuation, and an endpoint.
func TestFollowerDropsRowsThatItsReaderNeverHad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newReplicaTest(t)
		version := func(era, number uint64) platform.Version { return platform.Version{Era: era, Number: number} }
		evacuation := platform.Row{Key: "evacuate/za", Value: []byte("{}"), Version: version(1, 48)}
		entry := platform.Row{Key: "i-9", Value: []byte(readyEntry), Version: version(1, 49)}
		rt.replica.applyUpdate(relay.Update{
			Operator:  relay.Changes{Rows: []platform.Row{evacuation}, Version: version(1, 50)},
			Endpoints: relay.Changes{Rows: []platform.Row{entry}, Version: version(1, 50)}, ReceivedAt: time.Now(),
		}, "h2")
		reader := newReplicaTest(t).replica
		for _, cache := range []*relay.Cache{reader.operator, reader.endpoints} {
			cache.Confirm(version(1, 45), time.Now())
			cache.Confirm(version(2, 40), time.Now())
		}
		operator, _ := reader.operator.Since(rt.replica.operator.Version())
		endpoints, _ := reader.endpoints.Since(rt.replica.endpoints.Version())
		rt.replica.applyUpdate(relay.Update{Operator: operator, Endpoints: endpoints, ReceivedAt: time.Now()}, "h2")
		assert.DeepEqual(t, rt.evacuatedZones(), map[model.ZoneName]bool{"za": true})
		time.Sleep(operatorRenewalGrace)
		rt.replica.expireOperatorRows(time.Now())
		rt.replica.expireEndpoints()
		assert.DeepEqual(t, rt.evacuatedZones(), map[model.ZoneName]bool{})
		changes, _ := rt.replica.endpoints.Since(platform.Version{})
		assert.Assert(t, changes.Rows[0].IsRemoved)
	})
}

// Guards against an evacuation that stays in force for good at the followers of the host
// that read the return of the store, because this host ends before the evacuation does,
// and against one that ends there before its grace period.
func TestFollowerEndsEvacuationThatReturnedStoreLost(t *testing.T) {
	for _, passed := range []time.Duration{operatorRenewalGrace - time.Millisecond, operatorRenewalGrace} {
		synctest.Test(t, func(t *testing.T) {
			reader, follower, started := newReplicaTest(t), newReplicaTest(t), newReplicaTest(t)
			older := reader.store.Copy()
			reader.store.Put(platform.OperatorTable, "evacuate/za", "{}")
			store := reader.newReader(func(platform.Table) bool { return true })
			assert.NilError(t, store.readOperator(t.Context()))
			follower.followOperator(reader)
			reader.store.Restore(older)
			assert.NilError(t, store.readOperator(t.Context()))
			follower.followOperator(reader)
			time.Sleep(operatorRenewalGrace / 2)
			started.followOperator(reader)
			time.Sleep(passed - operatorRenewalGrace/2)
			for _, host := range []*replicaTest{follower, started} {
				host.replica.expireOperatorRows(time.Now())
				assert.Equal(t, host.evacuatedZones()["za"], passed < operatorRenewalGrace)
			}
		})
	}
}

// followOperator applies the changes of another host's operator's rows since this host's
// version.
func (rt *replicaTest) followOperator(source *replicaTest) {
	changes, _ := source.replica.operator.Since(rt.replica.operator.Version())
	rt.replica.applyUpdate(relay.Update{Operator: changes, ReceivedAt: time.Now()}, "source")
}

// Guards against a configuration that is sent again to all followers at once, although
// they have it, because the store returned from an older copy.
func TestUnchangedConfigurationIsNotRelayedAgainAfterReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := startReplicaTest(t)
		known := rt.returnOlderStore()
		rt.putConfigs(5, 5)
		time.Sleep(applyTime)
		changes, _ := rt.replica.operator.Since(known)
		assert.Equal(t, changes.Version.Era, known.Era+1)
		assert.Equal(t, len(changes.Rows), 0)
	})
}
