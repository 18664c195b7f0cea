package local_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"filberthold/config"
	"filberthold/fakes"
	"filberthold/local"
	"filberthold/model"

	"gotest.tools/v3/assert"
)

// Guards against a fault anywhere on the path from a caller to an upstream and
// back, for every class and both deployments.
func TestEveryClassIsServedEndToEnd(t *testing.T) {
	cases := []struct{ deployment, read, submit, export string }{
		{"hlukodenik", "diary-view", "filing-desk", "export-yard"},
		{"guild", "specbook", "orderdesk", "patternvault"},
	}
	for _, test := range cases {
		t.Run(test.deployment, func(t *testing.T) {
			text, err := os.ReadFile("../deployments/" + test.deployment + "/deployment.toml")
			assert.NilError(t, err)
			document, err := config.ParseDocument(test.deployment, text)
			assert.NilError(t, err)
			cluster, err := local.Start(local.Options{Document: document, Hosts: 3, Log: t.Output()})
			assert.NilError(t, err)
			t.Cleanup(func() { assert.Check(t, cluster.Close()) })
			assert.NilError(t, cluster.WaitReady(t.Context()))

			host := cluster.Deployment().Hosts()[0]
			call(t, host, http.MethodGet, test.read, "")
			call(t, host, http.MethodPost, test.submit, "key-1")
			body := call(t, host, http.MethodGet, test.export, "")
			assert.Equal(t, body, string(fakes.ExportContent("/x", len(body))))
			assert.Equal(t, cluster.Counters().Executions("key-1"), 1)
			assert.Equal(t, cluster.Counters().Started(), 3, "%q", cluster.Counters().FirstRequests())
		})
	}
}

func call(t *testing.T, host model.Host, method, service, key string) string {
	t.Helper()
	url := "http://" + host.CallerAddress() + "/s/" + service + "/x"
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader("body"))
	assert.NilError(t, err)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get("Filberthold-Outcome"), string(model.Served), "%s", body)
	return string(body)
}
