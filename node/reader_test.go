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

const entryOf = `{"service":"s","address":"127.0.0.1:1","zone":"za","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}`

// startReader returns a reader that has read two endpoints.
func startReader(t *testing.T, heartbeat time.Duration) (*fake.Store, *reader) {
	t.Helper()
	stand := fake.NewStore()
	server := httptest.NewServer(stand)
	t.Cleanup(server.Close)
	log := slog.New(slog.DiscardHandler)
	core := proxy.NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, proxy.DefaultRetryLimit())
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), netip.Addr{})
	made := newReader(log, store, newKnowledge(log, core), newPace(0), heartbeat, func() bool { return true },
		func() time.Duration { return 0 })
	stand.Put(platform.EndpointTable, "i-1", entryOf)
	stand.Put(platform.EndpointTable, "i-2", entryOf)
	assert.NilError(t, made.readEndpoints(t.Context(), time.Now()))
	return stand, made
}

// presentEntries returns how many entries the other hosts are told of.
func presentEntries(r *reader) int {
	changes, _ := r.known.endpoints.Since(0)
	present := 0
	for _, row := range changes.Rows {
		if !row.IsRemoved {
			present++
		}
	}
	return present
}

// A host that the store had turned away doubted each removal for two seconds,
// although other hosts had kept it up to date, and sent a request to an
// endpoint 2.1 s after it had left.
func TestRemovalCountsAtOnceIfOthersReadTheStore(t *testing.T) {
	stand, made := startReader(t, time.Second)
	made.lose(storeError{})
	stand.Remove(platform.EndpointTable, "i-1")
	made.known.takeUpdate(relay.Update{Endpoints: relay.Changes{Version: 2}}, time.Now())
	assert.NilError(t, made.readEndpoints(t.Context(), time.Now()))
	assert.Equal(t, presentEntries(made), 1)
}

// After an outage of the store for all hosts, entries that lapsed come back.
func TestRemovalIsDoubtedAfterAnOutage(t *testing.T) {
	stand, made := startReader(t, -time.Second)
	stand.Remove(platform.EndpointTable, "i-1")
	assert.NilError(t, made.readEndpoints(t.Context(), time.Now()))
	assert.Equal(t, presentEntries(made), 2)
}

// A host that took the reading over after 1.6 s doubted a removal for two
// seconds from then on and sent a request to an endpoint 2.6 s after it had
// left. A short gap is no outage, and the doubt ends two seconds after it.
func TestTakingOverIsNoOutage(t *testing.T) {
	_, made := startReader(t, time.Second)
	now := time.Now()
	made.known.endpoints.Confirm(2, now)
	assert.Assert(t, made.doubtUntil(now.Add(1600*time.Millisecond)).Before(now))
	outage := now.Add(4 * time.Second)
	assert.Equal(t, made.doubtUntil(outage), outage.Add(renewalTime))
	made.known.endpoints.Confirm(2, outage)
	assert.Equal(t, made.doubtUntil(outage.Add(time.Second)), outage.Add(renewalTime))
}

type storeError struct{}

func (storeError) Error() string { return "the store turned the host away" }
