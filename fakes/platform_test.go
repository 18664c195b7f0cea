package fakes_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthold/fakes"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

// Guards against an injected fault that has no effect. Tests that use it would
// pass without testing anything.
func TestInjectedFaultsTakeEffect(t *testing.T) {
	platform := fakes.NewPlatform()
	server := httptest.NewServer(platform)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client, other := store.NewNamedClient(address, "a"), store.NewNamedClient(address, "b")
	defer client.Close()
	defer other.Close()
	ctx := t.Context()
	write := store.Write{Key: "k", Value: []byte("v")}

	platform.SetDown(true)
	_, err := client.Commit(ctx, write)
	assert.ErrorIs(t, err, store.ErrUnavailable)
	platform.SetDown(false)

	platform.SetDownFor("a", true)
	_, err = client.Get(ctx, "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = other.Get(ctx, "k")
	assert.ErrorIs(t, err, store.ErrAbsent)
	platform.SetDownFor("a", false)

	platform.DropResponses(1)
	_, err = client.Commit(ctx, write)
	assert.Assert(t, err != nil)
	row, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")

	platform.SetLimits(0, 1)
	assert.NilError(t, client.PutObject(ctx, "o1", nil))
	assert.ErrorIs(t, client.PutObject(ctx, "o2", nil), store.ErrLimited)

	platform.SetMember(store.Member{Name: "m", State: store.Live})
	platform.SetMemberLag(time.Hour)
	list, err := client.Members(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Members), 0)
	platform.SetMemberLag(0)
	list, err = client.Members(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Members), 1)
}
