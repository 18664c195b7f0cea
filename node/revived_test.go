package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/relay"

	"gotest.tools/v3/assert"
)

// entryAt returns the entry of i-1 with a sequence.
func entryAt(sequence int) string {
	return fmt.Sprintf(`{"service":"s","address":"127.0.0.1:1","zone":"za","slots":3,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":1}`, sequence)
}

// revivalTest is a store whose copy has the entry of i-1 with sequence 40, and the removal
// of the entry after it. A reader has read the entry. A follower has it with sequence 1,
// because it gets changes only, and its removal.
type revivalTest struct {
	reader, follower *replicaTest
	older            fake.Copy
}

func newRevivalTest(t *testing.T, knowsReaderRemoval bool) *revivalTest {
	v := &revivalTest{reader: newHolder(t), follower: newReplicaTest(t)}
	v.follower.useStoreOf(v.reader)
	v.follower.followOperator(v.reader)
	v.follower.follow(v.reader)
	v.reader.store.Put(platform.EndpointTable, "i-1", entryAt(40))
	v.reader.readAll()
	v.older = v.reader.store.Copy()
	removal := newHolder(t)
	removal.useStoreOf(v.reader)
	removal.readAll()
	v.reader.store.Remove(platform.EndpointTable, "i-1")
	removal.readAll()
	v.follower.follow(removal)
	if knowsReaderRemoval {
		v.reader.readAll()
	}
	return v
}

// useStoreOf makes the host use the store of another one.
func (rt *replicaTest) useStoreOf(other *replicaTest) {
	rt.store, rt.transport = other.store, other.transport
}

// followWatching applies the changes of another host since this host's version, with the
// renewals that this host awaits.
func (rt *replicaTest) followWatching(source *replicaTest) {
	changes, _ := source.replica.endpoints.Since(rt.replica.endpoints.Version(), rt.replica.revivedKeys(time.Now())...)
	rt.replica.applyUpdate(relay.Update{Endpoints: changes, ReceivedAt: time.Now()}, "source")
}

// Guards against an endpoint that left and is in use again at hosts that ran on, or that
// start from one of these, because the store returned from a copy with a later entry than
// the host has seen, or because the host removed the endpoint long ago. An endpoint that
// still runs renews its entry and is used then.
func TestEntryThatReturnedStoreRevivesCountsOnceRenewed(t *testing.T) {
	for _, away := range []time.Duration{time.Second, 3 * time.Minute} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newRevivalTest(t, true)
				time.Sleep(away)
				for _, host := range []*replicaTest{v.reader, v.follower} {
					host.replica.expireEndpoints()
				}
				started := newHolderTest(t)
				started.startFrom(v.follower)
				hosts := []*replicaTest{v.reader, v.follower, started.replicaTest}
				v.reader.store.Restore(v.older)
				for i, host := range hosts {
					host.readAll()
					assert.Assert(t, !host.isEndpointUsed(), "host %d", i)
				}
				v.reader.store.Put(platform.EndpointTable, "i-1", entryAt(41))
				for _, host := range hosts {
					host.readAll()
					assert.Assert(t, host.isEndpointUsed())
					assert.Equal(t, len(host.replica.revivedKeys(time.Now())), 0)
				}
			})
		})
	}
}

// Guards against a host that never uses an endpoint again which it knew as removed,
// because the reader that it follows did not know that and relays no renewals.
func TestRenewalOfRevivedEntryIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newRevivalTest(t, false)
		v.reader.store.Restore(v.older)
		v.follower.readAll()
		v.reader.readAll()
		v.follower.followWatching(v.reader)
		assert.Assert(t, !v.follower.isEndpointUsed())
		v.reader.store.Put(platform.EndpointTable, "i-1", entryAt(41))
		v.reader.readAll()
		v.follower.followWatching(v.reader)
		assert.Assert(t, v.follower.isEndpointUsed())
	})
}

// Guards against polls that name endpoints which left for good.
func TestRenewalsAreAwaitedForLimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newRevivalTest(t, true)
		v.reader.store.Restore(v.older)
		v.follower.readAll()
		assert.Equal(t, len(v.follower.replica.revivedKeys(time.Now())), 1)
		time.Sleep(revivalWatch)
		assert.Equal(t, len(v.follower.replica.revivedKeys(time.Now())), 0)
	})
}
