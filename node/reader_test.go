package node

import (
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/proxy"
	"filberthold/relay"

	"gotest.tools/v3/assert"
)

const readyEntry = `{"service":"s","address":"127.0.0.1:1","zone":"za","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}`

// startReader returns a reader that has read two endpoints.
func startReader(t *testing.T, heartbeatInterval time.Duration) (*fake.Store, *reader) {
	t.Helper()
	fakeStore := fake.NewStore()
	server := httptest.NewServer(fakeStore)
	t.Cleanup(server.Close)
	log := slog.New(slog.DiscardHandler)
	core := proxy.NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, proxy.DefaultRetryLimit())
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), netip.Addr{})
	r := newReader(log, store, newStoreReplica(log, core, heartbeatInterval), newIntervals(platform.Settings{}), func(platform.Table) bool { return true },
		startIsOver, func() time.Duration { return 0 })
	fakeStore.Put(platform.EndpointTable, "i-1", readyEntry)
	fakeStore.Put(platform.EndpointTable, "i-2", readyEntry)
	assert.NilError(t, r.readEndpoints(t.Context(), time.Now()))
	return fakeStore, r
}

// relayedEntries returns the number of entries that are relayed to other hosts.
func relayedEntries(r *reader) int {
	changes, _ := r.replica.endpoints.Since(platform.Version{})
	present := 0
	for _, row := range changes.Rows {
		if !row.IsRemoved {
			present++
		}
	}
	return present
}

// Guards against a grace period for removals after the store refused only this
// host. Other hosts had kept it up to date, and it sent a request to an endpoint
// 2.1 s after the endpoint had left.
func TestRemovalAppliesAtOnceIfOthersReadStore(t *testing.T) {
	fakeStore, r := startReader(t, time.Second)
	r.markStoreLost(storeError{})
	fakeStore.Remove(platform.EndpointTable, "i-1")
	r.replica.applyUpdate(relay.Update{Endpoints: relay.Changes{Version: platform.Version{Era: 1, Number: 2}}, ReceivedAt: time.Now()}, "h2")
	assert.NilError(t, r.readEndpoints(t.Context(), time.Now()))
	assert.Equal(t, relayedEntries(r), 1)
}

// Guards against dropping endpoints whose entries expired during a store outage
// for all hosts: the endpoints write them again.
func TestRemovalHasGracePeriodAfterOutage(t *testing.T) {
	// With a negative heartbeat interval each replica counts as outdated.
	fakeStore, r := startReader(t, -time.Second)
	fakeStore.Remove(platform.EndpointTable, "i-1")
	assert.NilError(t, r.readEndpoints(t.Context(), time.Now()))
	assert.Equal(t, relayedEntries(r), 2)
}

// Guards against a grace period that starts when a host takes over as store
// reader. After a gap of 1.6 s such a host sent a request to an endpoint 2.6 s
// after the endpoint had left. A grace period ends two seconds after an outage.
func TestReaderTakeoverIsNoOutage(t *testing.T) {
	_, r := startReader(t, time.Second)
	now := time.Now()
	r.replica.endpoints.Confirm(platform.Version{Era: 1, Number: 2}, now)
	assert.Assert(t, r.replica.graceUntil(now.Add(1600*time.Millisecond), 1).Before(now))
	outage := now.Add(4 * time.Second)
	assert.Equal(t, r.replica.graceUntil(outage, 1), outage.Add(renewalGrace))
	r.replica.endpoints.Confirm(platform.Version{Era: 1, Number: 2}, outage)
	assert.Equal(t, r.replica.graceUntil(outage.Add(time.Second), 1), outage.Add(renewalGrace))
}

// Guards against dropping an endpoint whose entry the store lost, at once, because the
// store returned from an older copy after an outage too short for a grace period.
func TestEndpointThatReturnedStoreLostHasGracePeriod(t *testing.T) {
	fakeStore, r := startReader(t, time.Second)
	older := fakeStore.Copy()
	fakeStore.Put(platform.EndpointTable, "i-3", readyEntry)
	assert.NilError(t, r.readEndpoints(t.Context(), time.Now()))
	fakeStore.Restore(older)
	assert.NilError(t, r.readEndpoints(t.Context(), time.Now()))
	assert.Equal(t, relayedEntries(r), 3)
	assert.NilError(t, r.readEndpoints(t.Context(), time.Now()))
	r.replica.expireEndpoints()
	assert.Equal(t, relayedEntries(r), 3)
}

type storeError struct{}

func (storeError) Error() string { return "the store refused the host" }
