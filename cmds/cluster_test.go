package cmds_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"filberthold/config"
	"filberthold/local"

	"gotest.tools/v3/assert"
)

// Guards against a request of a running deployment that the archive cannot
// explain, and against chains that a graceful shutdown leaves open.
func TestEveryRequestOfClusterIsExplained(t *testing.T) {
	text, err := os.ReadFile("../deployments/hlukodenik/deployment.toml")
	assert.NilError(t, err)
	document, err := config.ParseDocument("deployment.toml", text)
	assert.NilError(t, err)
	cluster, err := local.Start(local.Options{Document: document, Hosts: 2, Log: io.Discard})
	assert.NilError(t, err)
	assert.NilError(t, cluster.WaitReady(t.Context()))
	var requests []string
	for _, host := range cluster.Deployment().Hosts() {
		for _, service := range []string{"diary-view", "filing-desk", "export-yard"} {
			requests = append(requests, send(t, host.CallerAddress(), service))
		}
	}
	assert.NilError(t, cluster.StopHosts())
	assert.NilError(t, cluster.Close())

	platform := httptest.NewServer(cluster.Platform())
	t.Cleanup(platform.Close)
	address := strings.TrimPrefix(platform.URL, "http://")
	for _, request := range requests {
		code, out := run("explain", request, "--platform", address)
		assert.Equal(t, code, 0, out)
		assert.Assert(t, strings.Contains(out, "customer  resident-12") && strings.Contains(out, "outcome: served"), out)
	}
	code, out := run("verify", "--platform", address)
	assert.Equal(t, code, 0, out)
	assert.Equal(t, strings.Count(out, " 0 dropped, closed\n"), 2, out)
}

// send sends a request and returns its ID.
func send(t *testing.T, address, service string) string {
	t.Helper()
	url := fmt.Sprintf("http://%s/s/%s/x", address, service)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", address)
	request.Header.Set("Filberthold-Customer", "resident-12")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	id := response.Header.Get("Filberthold-Request")
	assert.Assert(t, id != "", "%s", body)
	return id
}
