package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"

	"filberthold/common"
	"filberthold/config"
	"filberthold/fakes"
	"filberthold/place"
	"filberthold/revise"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// Guards against a host that has unearned retries again after each start: only a start that
// the store confirms as the first one of the host is reported as such.
func TestOnlyFirstStartOfHostHasRetryReserve(t *testing.T) {
	text, err := os.ReadFile("../deployments/guild/deployment.toml")
	assert.NilError(t, err)
	deployment, err := config.ParseDeployment("guild", text, 1)
	assert.NilError(t, err)
	platform := fakes.NewPlatform()
	var isDown atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isDown.Load() {
			http.Error(w, "down", http.StatusBadGateway)
			return
		}
		platform.ServeHTTP(w, r)
	}))
	defer server.Close()
	for _, step := range []struct {
		name              string
		host              int
		isDown, isRestart bool
	}{
		{"first start", 0, false, false},
		{"restart", 0, false, true},
		{"first start of another host", 1, false, false},
		{"first start, store is down", 2, true, true},
		{"restart, store is down", 0, true, true},
	} {
		isDown.Store(step.isDown)
		base, err := common.NewBase(config.Settings{
			Host: string(deployment.Hosts()[step.host].Name()), PlatformAddress: server.Listener.Addr().String(),
			Log: config.LogSettings{Level: "error"},
		}, io.Discard)
		assert.NilError(t, err)
		host := newHost(base, upstrm.NewClient("a"))
		for range 2 {
			assert.NilError(t, host.adopt(t.Context(), deployment, revise.RevisionIDOf(1, text), text))
		}
		first, err := host.dispatcher.events.Get(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, first.(place.Adopted).IsRestart, step.isRestart, step.name)
		next, err := host.dispatcher.events.Get(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, next.(place.Adopted).IsRestart, false, "%s: next revision", step.name)
		host.platform.Close()
	}
}
