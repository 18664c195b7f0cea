package fakes_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthold/fakes"
	"filberthold/plat"

	"gotest.tools/v3/assert"
)

// Guards against a fault switch that has no effect, which would make every
// failure test that uses it pass without proof.
func TestPlatformFaults(t *testing.T) {
	platform := fakes.NewPlatform()
	server := httptest.NewServer(platform)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client, other := plat.NewNamedClient(address, "a"), plat.NewNamedClient(address, "b")
	defer client.Close()
	defer other.Close()
	ctx := t.Context()
	write := plat.Write{Key: "k", Value: []byte("v")}

	platform.SetDown(true)
	_, err := client.Commit(ctx, write)
	assert.ErrorIs(t, err, plat.ErrUnavailable)
	platform.SetDown(false)

	platform.SetDownFor("a", true)
	_, err = client.Get(ctx, "k")
	assert.ErrorIs(t, err, plat.ErrUnavailable)
	_, err = other.Get(ctx, "k")
	assert.ErrorIs(t, err, plat.ErrAbsent)
	platform.SetDownFor("a", false)

	platform.DropResponses(1)
	_, err = client.Commit(ctx, write)
	assert.Assert(t, err != nil)
	row, err := client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")

	platform.SetLimits(0, 1)
	assert.NilError(t, client.PutObject(ctx, "o1", nil))
	assert.ErrorIs(t, client.PutObject(ctx, "o2", nil), plat.ErrLimited)

	platform.SetMember(plat.Member{Name: "m", State: plat.Live})
	platform.SetMemberLag(time.Hour)
	list, err := client.Members(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Members), 0)
	platform.SetMemberLag(0)
	list, err = client.Members(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Members), 1)
}
