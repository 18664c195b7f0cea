package entry

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"

	"filberthold/fakes"
	"filberthold/place"
	"filberthold/share"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

// Guards against a release that does not reach hosts that were not connected at
// the time, and against one that the host's next incarnation overwrites.
func TestReleasesReachDisconnectedHostsThroughTable(t *testing.T) {
	server := httptest.NewServer(fakes.NewPlatform())
	defer server.Close()
	client := store.NewClient(server.Listener.Addr().String())
	defer client.Close()
	var reported []place.Event
	report := func(_ context.Context, event place.Event) error { reported = append(reported, event); return nil }
	release := func(index int, revision uint64) share.Release {
		return share.Release{Host: "a", Slot: share.Slot{Endpoint: "e", Index: index}, Revision: revision}
	}
	for _, unstored := range [][]share.Release{{release(0, 2), release(1, 3)}, {release(1, 2), release(2, 4)}} {
		writer := newReleaseSync(slog.New(slog.DiscardHandler), "a", client, report)
		writer.unstored = unstored
		assert.NilError(t, writer.write(t.Context()))
		assert.NilError(t, writer.readRows(t.Context()))
	}
	assert.Equal(t, len(reported), 0, "a host reported its own releases")
	reader := newReleaseSync(slog.New(slog.DiscardHandler), "b", client, report)
	for range 2 { // A row that has not changed is not reported again.
		assert.NilError(t, reader.readRows(t.Context()))
	}
	assert.DeepEqual(t, reported, []place.Event{
		place.ReleaseHeard{Release: release(0, 2)}, place.ReleaseHeard{Release: release(1, 3)}, place.ReleaseHeard{Release: release(2, 4)},
	})
}
