package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a final answer that denies a proper request because the host missed
// the change that allows it.
func TestRequestIsNotDeniedByOutdatedConfiguration(t *testing.T) {
	const version = 1
	longBody := strings.Repeat("x", 2<<20)
	cases := []struct {
		name         string
		age          time.Duration
		newestConfig uint64
		path, body   string
		expected     int
	}{
		{"unknown route", 0, version, "/unknown/", "", http.StatusNotFound},
		{"unknown route, rows too old", 2 * time.Second, version, "/unknown/", "", http.StatusServiceUnavailable},
		{"unknown route, another host has a newer configuration", 0, version + 1, "/unknown/", "", http.StatusServiceUnavailable},
		{"long body", 0, version, "/submit/", longBody, http.StatusRequestEntityTooLarge},
		{"long body, rows too old", 2 * time.Second, version, "/submit/", longBody, http.StatusServiceUnavailable},
		{"known route, rows too old", 2 * time.Second, version, "/read/", "", http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ts := startTestServer(t, 1)
			ts.server.freshness.OperatorAge = func() time.Duration { return c.age }
			ts.server.freshness.NewestConfig = func() uint64 { return c.newestConfig }
			request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", ts.address, c.path), strings.NewReader(c.body))
			assert.NilError(t, err)
			request.Host = "a.example"
			response, err := http.DefaultTransport.RoundTrip(request)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, response.StatusCode, c.expected)
			hasRetryAfter := response.Header.Get("Retry-After") != ""
			assert.Equal(t, hasRetryAfter, c.expected == http.StatusServiceUnavailable)
		})
	}
}
