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

// Guards against a release that is lost to hosts that were not connected when
// it was made, and against one that a later process under the same name erases.
func TestReleasesReachOthersThroughTheTable(t *testing.T) {
	server := httptest.NewServer(fakes.NewPlatform())
	defer server.Close()
	client := store.NewClient(server.Listener.Addr().String())
	defer client.Close()
	var heard []place.Event
	report := func(_ context.Context, event place.Event) error { heard = append(heard, event); return nil }
	release := func(index int, revision uint64) share.Release {
		return share.Release{Host: "a", Slot: share.Slot{Endpoint: "e", Index: index}, Revision: revision}
	}
	for _, unstored := range [][]share.Release{{release(0, 2), release(1, 3)}, {release(1, 2), release(2, 4)}} {
		process := newReleaseRows(slog.New(slog.DiscardHandler), "a", client, report)
		process.unstored = unstored
		assert.NilError(t, process.write(t.Context()))
		assert.NilError(t, process.readRows(t.Context()))
	}
	assert.Equal(t, len(heard), 0, "a host heard its own releases")
	other := newReleaseRows(slog.New(slog.DiscardHandler), "b", client, report)
	for range 2 { // A row that has not changed is not reported again.
		assert.NilError(t, other.readRows(t.Context()))
	}
	assert.DeepEqual(t, heard, []place.Event{
		place.ReleaseHeard{Release: release(0, 2)}, place.ReleaseHeard{Release: release(1, 3)}, place.ReleaseHeard{Release: release(2, 4)},
	})
}
