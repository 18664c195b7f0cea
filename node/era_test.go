package node

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"

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

// Guards against a configuration that is never in force because the store returned
// from an older copy and gives out versions that the replica has already seen.
func TestConfigurationAfterReturnOfStoreIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newReplicaTest(t)
		rt.transport.SetLatency(callLatency)
		rt.startReader(func(platform.Table) bool { return true })
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
			rt.replica.mu.Lock()
			defer rt.replica.mu.Unlock()
			assert.DeepEqual(t, rt.replica.evacuated, map[model.ZoneName]bool{"za": true})
		})
	}
}
