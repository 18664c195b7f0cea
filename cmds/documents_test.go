package cmds_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against problems in one file that hide those in another, and against an
// entry host that starts with an invalid document.
func TestCheckReportsProblemsOfEachFile(t *testing.T) {
	code, out := run("check", "../config/testdata/valid.toml", "../deployments/guild/entry.toml")
	assert.Equal(t, code, 0, out)
	code, out = run("check", "../config/testdata/invalid/caps.toml", "../config/testdata/valid.toml",
		"../config/testdata/invalid/settings-log.toml")
	assert.Equal(t, code, 3, out)
	golden.Assert(t, out, "check.txt")
	code, _ = run("check", "testdata/absent.toml")
	assert.Equal(t, code, 1)
	code, out = run("entry", "--settings", "../config/testdata/invalid/settings-log.toml")
	assert.Equal(t, code, 3, out)
}

// Guards against an invalid plan that is written to the answers, and against a
// configuration that differs from the one that the answers give.
func TestPlanIsCheckedBeforeAnswersAreWritten(t *testing.T) {
	original, err := os.ReadFile("../deployments/guild/answers.toml")
	assert.NilError(t, err)
	folder := t.TempDir()
	answers, deployment := filepath.Join(folder, "answers.toml"), filepath.Join(folder, "deployment.toml")
	assert.NilError(t, os.WriteFile(answers, original, 0o600))
	plan := func(region string) (int, string) {
		return run("plan", "drain", "--answers", answers, "--out", deployment, "--name", "empty-south",
			"--service", "specbook", "--from", region, "--start", "2026-03-01T22:00:00+11:00")
	}
	code, out := plan("east")
	assert.Equal(t, code, 3, out)
	kept, err := os.ReadFile(answers)
	assert.NilError(t, err)
	assert.Equal(t, string(kept), string(original))

	code, out = plan("south")
	assert.Equal(t, code, 0, out)
	planned, err := os.ReadFile(deployment)
	assert.NilError(t, err)
	code, generated := run("generate", answers)
	assert.Equal(t, code, 0, generated)
	assert.Equal(t, generated, string(planned))
	assert.Assert(t, strings.HasSuffix(generated, "start = 2026-03-01T11:00:00Z\nratePercentPerMinute = 5.0\ncapPercent = 100\n"))
	code, out = run("check", answers, deployment)
	assert.Equal(t, code, 0, out)
}

// Guards against a status command that succeeds although the host is not ready,
// with and without a status resource, and against wrong output of the lookup,
// completion and version commands.
func TestStatusAndLookup(t *testing.T) {
	cases := []struct {
		path, body string
		status     int
		code       int
		want       string
	}{
		{"/v1/status", `{"revision":4}`, 200, 0, "{\n  \"revision\": 4\n}\n"},
		{"/v1/status", `{"ready":false}`, 200, 1, "{\n  \"ready\": false\n}\nerror: host is not ready: status 200\n"},
		{"/readyz", "ready\n", 200, 0, "ready\n"},
		{"/readyz", "not ready\n", 503, 1, "not ready\nerror: host is not ready: status 503\n"},
	}
	for _, test := range cases {
		mux := http.NewServeMux()
		mux.HandleFunc(test.path, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.body)
		})
		mux.HandleFunc("/v1/entries", func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprintf(w, `{"hosts":[{"name":%q,"address":"192.0.2.1:7100"}],"validUntil":"2026-03-01T12:00:05Z"}`,
				"near-"+r.URL.Query().Get("client"))
		})
		server := httptest.NewServer(mux)
		address := strings.TrimPrefix(server.URL, "http://")
		code, out := run("status", address)
		assert.Equal(t, code, test.code)
		assert.Equal(t, out, test.want)
		code, out = run("lookup", "198.51.100.7", "--entry", address)
		assert.Equal(t, code, 0, out)
		assert.Equal(t, out, "near-198.51.100.7  192.0.2.1:7100\nvalid until 2026-03-01T12:00:05Z\n")
		server.Close()
	}
	code, out := run("completion", "bash")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(out, "filberthold"))
	code, out = run("version")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.HasPrefix(out, "filberthold "), out)
}
