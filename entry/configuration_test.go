package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
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

// newConfiguration returns a configuration that records which revisions it
// has put into force.
func newConfiguration(client configurationStore) (*ConfigWatcher, *[]uint64) {
	adopted := &[]uint64{}
	state := peers.NewState("host", "1")
	return &ConfigWatcher{
		log: slog.New(slog.DiscardHandler), store: client, state: state, offers: ring.New[offer](offerCapacity),
		confirmed: func(*model.Deployment) {},
		adopt: func(_ context.Context, deployment *model.Deployment, head revise.RevisionID, body []byte) error {
			*adopted = append(*adopted, deployment.Revision())
			state.Publish(head, body)
			return nil
		},
	}, adopted
}

// Guards against a slow peer that brings back an old revision, and against
// bodies that are damaged, not parsable or not those of the store.
func TestOldRevisionAfterNewerOne(t *testing.T) {
	configuration, adopted := newConfiguration(nil)
	invalid := []byte("unknownKey = 1\n")
	offers := []offer{
		{head: revise.RevisionIDOf(3, bodyOf(3)), body: bodyOf(3)},
		{head: revise.RevisionIDOf(2, bodyOf(2)), body: bodyOf(2)},
		{head: revise.RevisionIDOf(5, bodyOf(5)), body: bodyOf(5)},
		{head: revise.RevisionIDOf(4, bodyOf(4)), body: bodyOf(4)},
		{head: revise.RevisionIDOf(5, bodyOf(6)), body: bodyOf(6)},
		{head: revise.RevisionIDOf(6, bodyOf(6)), body: bodyOf(7)},
		{head: revise.RevisionIDOf(7, invalid), body: invalid},
		{head: revise.RevisionIDOf(6, bodyOf(6)), body: bodyOf(6)},
	}
	var failed []int
	for i, offered := range offers {
		if err := configuration.consider(t.Context(), offered); err != nil {
			failed = append(failed, i)
		}
	}
	assert.DeepEqual(t, *adopted, []uint64{3, 5, 6})
	assert.DeepEqual(t, failed, []int{4, 5, 6})
}

// Guards against a host that takes work after the store and all peers are
// gone, and against one that stops when only the store is.
func TestCutOffFromTheStore(t *testing.T) {
	platform := fakes.NewPlatform()
	server := httptest.NewServer(platform)
	defer server.Close()
	client := store.NewNamedClient(strings.TrimPrefix(server.URL, "http://"), "host")
	defer client.Close()
	ctx := t.Context()
	_, err := revise.Accept(ctx, client, 0, bodyOf(1))
	assert.NilError(t, err)
	configuration, adopted := newConfiguration(client)
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

	assert.NilError(t, configuration.poll(ctx, at(0)))
	offered, err := configuration.offers.Get(ctx)
	assert.NilError(t, err)
	assert.NilError(t, configuration.consider(ctx, offered))
	assert.DeepEqual(t, *adopted, []uint64{1})
	assert.Assert(t, configuration.state.Confirmed(at(3)), "the store named the revision")
	assert.NilError(t, configuration.poll(ctx, at(3)))
	assert.Assert(t, configuration.state.Confirmed(at(6)), "the store named it again")

	platform.SetDownFor("host", true)
	assert.ErrorIs(t, configuration.poll(ctx, at(6)), store.ErrUnavailable)
	configuration.state.ReceiveDigest(peers.Digest{Host: "peer", Revision: 1}, at(6))
	assert.Assert(t, configuration.state.Confirmed(at(9)), "a peer is heard")
	assert.Assert(t, !configuration.state.Confirmed(at(10)), "neither store nor peers")
	platform.SetDownFor("host", false)
	assert.NilError(t, configuration.poll(ctx, at(12)))
	assert.Assert(t, configuration.state.Confirmed(at(12)), "the store is back")
}
