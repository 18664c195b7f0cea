package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/fakes"
	"filberthold/model"
	"filberthold/peers"
	"filberthold/revise"
	"filberthold/ring"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

func bodyOf(number uint64) []byte { return fmt.Appendf(nil, "name = 'revision-%d'\n", number) }

// newConfigWatcher returns a watcher and the numbers of the revisions that it
// adopts.
func newConfigWatcher(source configStore) (*ConfigWatcher, *[]uint64) {
	adopted := &[]uint64{}
	state := peers.NewState("host", "1")
	return &ConfigWatcher{
		log: slog.New(slog.DiscardHandler), store: source, state: state, candidates: ring.New[candidate](candidateCapacity),
		onConfirmed: func(*model.Deployment) {},
		adopt: func(_ context.Context, deployment *model.Deployment, id revise.RevisionID, body []byte) error {
			*adopted = append(*adopted, deployment.Revision())
			state.Publish(id, body)
			return nil
		},
	}, adopted
}

// Guards against the adoption of an old revision from a slow peer, and of a body
// that is damaged, cannot be parsed or differs from the adopted body of the same
// number.
func TestOldOrInvalidRevisionsAreNotAdopted(t *testing.T) {
	watcher, adopted := newConfigWatcher(nil)
	invalid := []byte("unknownKey = 1\n")
	candidates := []candidate{
		{id: revise.RevisionIDOf(3, bodyOf(3)), body: bodyOf(3)},
		{id: revise.RevisionIDOf(2, bodyOf(2)), body: bodyOf(2)},
		{id: revise.RevisionIDOf(5, bodyOf(5)), body: bodyOf(5)},
		{id: revise.RevisionIDOf(4, bodyOf(4)), body: bodyOf(4)},
		{id: revise.RevisionIDOf(5, bodyOf(6)), body: bodyOf(6)},
		{id: revise.RevisionIDOf(6, bodyOf(6)), body: bodyOf(7)},
		{id: revise.RevisionIDOf(7, invalid), body: invalid},
		{id: revise.RevisionIDOf(6, bodyOf(6)), body: bodyOf(6)},
	}
	var failed []int
	for i, received := range candidates {
		if err := watcher.adoptIfNewer(t.Context(), received); err != nil {
			failed = append(failed, i)
		}
	}
	assert.DeepEqual(t, *adopted, []uint64{3, 5, 6})
	assert.DeepEqual(t, failed, []int{4, 5, 6})
}

// Guards against a host that accepts requests after it has lost the store and
// all peers, and against one that refuses them when only the store is lost.
func TestRevisionIsConfirmedWhileStoreOrPeerReportsIt(t *testing.T) {
	platform := fakes.NewPlatform()
	server := httptest.NewServer(platform)
	defer server.Close()
	client := store.NewNamedClient(strings.TrimPrefix(server.URL, "http://"), "host")
	defer client.Close()
	ctx := t.Context()
	_, err := revise.Accept(ctx, client, 0, bodyOf(1))
	assert.NilError(t, err)
	watcher, adopted := newConfigWatcher(client)
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

	assert.NilError(t, watcher.poll(ctx, at(0)))
	received, err := watcher.candidates.Get(ctx)
	assert.NilError(t, err)
	assert.NilError(t, watcher.adoptIfNewer(ctx, received))
	assert.DeepEqual(t, *adopted, []uint64{1})
	assert.Assert(t, watcher.state.Confirmed(at(3)), "the store reported the revision")
	assert.NilError(t, watcher.poll(ctx, at(3)))
	assert.Assert(t, watcher.state.Confirmed(at(6)), "the store reported it again")

	platform.SetDownFor("host", true)
	assert.ErrorIs(t, watcher.poll(ctx, at(6)), store.ErrUnavailable)
	watcher.state.ReceiveDigest(peers.Digest{Host: "peer", Revision: 1}, at(6))
	assert.Assert(t, watcher.state.Confirmed(at(9)), "a peer reported the revision")
	assert.Assert(t, !watcher.state.Confirmed(at(10)), "neither the store nor a peer reported it")
	platform.SetDownFor("host", false)
	assert.NilError(t, watcher.poll(ctx, at(12)))
	assert.Assert(t, watcher.state.Confirmed(at(12)), "the store is reachable again")
}

// Guards against a revision that a host never gets because each read of it ends before
// the whole revision has arrived.
func TestLargeRevisionArrivesOverSmallLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond = 100 << 10
		// The comment makes the body take 5 s.
		body := append(bodyOf(1), []byte("\n#"+strings.Repeat("x", 5*bytesPerSecond))...)
		link := fakes.NewLink(bytesPerSecond)
		server := &http.Server{Handler: fakes.NewPlatform()}
		done := make(chan error, 1)
		go func() { done <- server.Serve(link) }()
		t.Cleanup(func() {
			assert.NilError(t, server.Close())
			assert.ErrorIs(t, <-done, http.ErrServerClosed)
		})
		client := store.NewClientWithDial("platform:1", link.DialContext)
		_, err := revise.Accept(t.Context(), client, 0, body)
		assert.NilError(t, err)
		watcher, _ := newConfigWatcher(client)
		assert.NilError(t, watcher.poll(t.Context(), time.Now()))
		received, err := watcher.candidates.Get(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(received.body), len(body))
	})
}
