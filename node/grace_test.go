package node

import (
	"testing"
	"testing/synctest"
	"time"

	"filberthold/platform"
	"filberthold/relay"

	"gotest.tools/v3/assert"
)

// outage is longer than the heartbeats after which entries may have expired.
const outage = 4 * time.Second

// isEndpointUsed reports whether the host uses the endpoint i-1, and removes it from the
// host to find out.
func (rt *replicaTest) isEndpointUsed() bool {
	return rt.core.RemoveEntry("i-1", time.Time{})
}

// follow applies the changes of another host since this host's version.
func (rt *replicaTest) follow(source *replicaTest) {
	changes, _ := source.replica.endpoints.Since(rt.replica.endpoints.Version())
	changes.Age = source.replica.endpoints.Age(time.Now())
	rt.replica.applyUpdate(relay.Update{Endpoints: changes, ReceivedAt: time.Now()}, "source")
}

// read reads the endpoints from the store.
func (rt *replicaTest) read(store *reader) {
	rt.t.Helper()
	assert.NilError(rt.t, store.readEndpoints(rt.t.Context(), time.Now()))
}

// isRemovalRelayed reports whether a follower at a version gets the removal of i-1.
func (rt *replicaTest) isRemovalRelayed(after platform.Version) bool {
	changes, _ := rt.replica.endpoints.Since(after)
	for _, row := range changes.Rows {
		if row.Key == "i-1" && row.IsRemoved {
			return true
		}
	}
	return false
}

// graceTest is a store reader in its grace period, because it was without news for long,
// and a follower. The entry of the endpoint i-1 was removed in the grace period.
type graceTest struct {
	reader, follower *replicaTest
	store            *reader
}

// newGraceTest returns a test in which the follower had news of the store until the end
// of the reader's outage, or had none either.
func newGraceTest(t *testing.T, followerHadNews bool) *graceTest {
	g := &graceTest{reader: newReplicaTest(t), follower: newReplicaTest(t)}
	g.store = g.reader.newReader(func(platform.Table) bool { return true })
	g.reader.read(g.store)
	g.follower.follow(g.reader)
	time.Sleep(outage)
	if followerHadNews {
		g.follower.replica.endpoints.Confirm(g.follower.replica.endpoints.Version(), time.Now())
	}
	g.reader.read(g.store)
	g.follower.follow(g.reader)
	g.reader.store.Remove(platform.EndpointTable, "i-1")
	g.reader.read(g.store)
	return g
}

// Guards against requests to an endpoint that has left, by hosts that follow a store
// reader which holds the removal back after an outage of its own. If another host became
// the reader before the end of the grace period, the removal never reached them.
func TestFollowerWithoutOutageAppliesHeldRemovalAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGraceTest(t, true)
		known := g.follower.replica.endpoints.Version()
		g.follower.follow(g.reader)
		assert.Equal(t, g.follower.replica.endpoints.Version(), g.reader.replica.endpoints.Version())
		assert.Assert(t, g.follower.isRemovalRelayed(known))
		assert.Assert(t, !g.follower.isEndpointUsed())
		assert.Assert(t, g.reader.isEndpointUsed())
	})
}

// Guards against a follower that keeps an endpoint for good because the reader that holds
// its removal back ends within the grace period, and against one that drops it although
// the follower saw the outage too.
func TestFollowerEndsGracePeriodByItself(t *testing.T) {
	for _, passed := range []time.Duration{renewalGrace - time.Millisecond, renewalGrace} {
		synctest.Test(t, func(t *testing.T) {
			g := newGraceTest(t, false)
			g.follower.follow(g.reader)
			time.Sleep(passed)
			g.follower.replica.expireEndpoints()
			assert.Equal(t, g.follower.isEndpointUsed(), passed < renewalGrace)
		})
	}
}

// Guards against a follower that lacks an endpoint which wrote its entry again within the
// grace period, whether the follower saw the outage or not.
func TestEntryWrittenAgainInGracePeriodReachesFollowers(t *testing.T) {
	for _, followerHadNews := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := newGraceTest(t, followerHadNews)
			g.follower.follow(g.reader)
			g.reader.store.Put(platform.EndpointTable, "i-1", `{"service":"s","address":"127.0.0.1:1","zone":"za","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,"sequence":2,"born":1}`)
			g.reader.read(g.store)
			g.follower.follow(g.reader)
			time.Sleep(renewalGrace)
			for _, host := range []*replicaTest{g.reader, g.follower} {
				host.replica.expireEndpoints()
				assert.Assert(t, !host.isRemovalRelayed(platform.Version{}))
				assert.Assert(t, host.isEndpointUsed())
			}
		})
	}
}

// Guards against a host that starts within the grace period without the endpoints that
// the others still use, and against one that keeps them for good.
func TestStartedHostEndsGracePeriodOfItsSource(t *testing.T) {
	for _, passed := range []time.Duration{renewalGrace - time.Millisecond, renewalGrace} {
		synctest.Test(t, func(t *testing.T) {
			g := newGraceTest(t, false)
			time.Sleep(renewalGrace / 2)
			started := newReplicaTest(t)
			started.follow(g.reader)
			time.Sleep(passed - renewalGrace/2)
			started.replica.expireEndpoints()
			assert.Equal(t, started.isEndpointUsed(), passed < renewalGrace)
		})
	}
}

// Guards against a held removal that is applied again, with a longer grace period, by a
// read of the whole table.
func TestReadOfWholeTableDoesNotProlongGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGraceTest(t, false)
		g.follower.follow(g.reader)
		time.Sleep(renewalGrace / 2)
		g.reader.store.DropHistory()
		g.reader.read(g.store)
		g.follower.follow(g.reader)
		time.Sleep(renewalGrace / 2)
		for _, host := range []*replicaTest{g.reader, g.follower} {
			host.replica.expireEndpoints()
			assert.Assert(t, !host.isEndpointUsed())
		}
	})
}
