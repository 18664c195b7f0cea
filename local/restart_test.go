package local_test

import (
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"filberthold/config"
	"filberthold/local"

	"gotest.tools/v3/assert"
)

// Guards against a host that does not become ready while the store is down,
// although its peers have the configuration, and against a host that accepts
// requests an hour after the last confirmation of its revision.
func TestHostStartsWhileTheStoreIsDown(t *testing.T) {
	text, err := os.ReadFile("../deployments/guild/deployment.toml")
	assert.NilError(t, err)
	document, err := config.ParseDocument("guild", text)
	assert.NilError(t, err)
	cluster, err := local.Start(local.Options{Document: document, Hosts: 4, Log: io.Discard})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, cluster.Close()) })
	assert.NilError(t, cluster.WaitReady(t.Context()))

	cluster.Platform().SetDown(true)
	host := cluster.Deployment().Hosts()[0]
	assert.NilError(t, cluster.RestartHost(host.Name()))
	assert.NilError(t, cluster.WaitReady(t.Context()))
	call(t, host, http.MethodGet, "specbook", "")
	now := time.Now()
	assert.Assert(t, cluster.AcceptsRequests(host.Name(), now), "peers confirm the revision")
	assert.Assert(t, !cluster.AcceptsRequests(host.Name(), now.Add(time.Hour)), "the revision is not confirmed for an hour")
}
