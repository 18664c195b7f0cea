package cmds_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"filberthold/audit"
	"filberthold/cmds"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/place"
	"filberthold/store"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// idAt returns a fixed request ID for a request that arrived at a time.
func idAt(at time.Time) string {
	return ulid.MustNew(ulid.Timestamp(at), strings.NewReader(strings.Repeat("7", 16))).String()
}

// run runs a command and returns its exit code and its output.
func run(arguments ...string) (int, string) {
	out := &bytes.Buffer{}
	code := cmds.Execute(arguments, out, out)
	return code, out.String()
}

// startArchive stores an archive in which a submit waits for two others. Each
// record has its own segment, and one is a gap of dropped reads. It returns the
// client and the address of the platform.
func startArchive(t *testing.T) (*store.Client, string) {
	t.Helper()
	server := httptest.NewServer(fakes.NewPlatform())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	at := func(milliseconds int) time.Time { return noon.Add(time.Duration(milliseconds) * time.Millisecond) }
	names := map[place.RequestID]string{"early": idAt(at(0)), "explained": idAt(at(100)), "late": idAt(at(200))}
	records := []audit.Record{
		{At: at(-30000), Kind: audit.Adopted, Revision: 1},
		{At: at(0), Kind: audit.Admitted, Request: "early", Customer: "bert", Deadline: at(5000)},
		{At: at(1), Kind: audit.Waiting, Request: "early", Customer: "bert", Position: 1, Reason: "no free slot"},
		{At: at(100), Kind: audit.Admitted, Request: "explained", Customer: "anna", Deadline: at(5100)},
		{At: at(100), Kind: audit.Waiting, Request: "explained", Customer: "anna", Position: 2, Reason: "no free slot"},
		{At: at(200), Kind: audit.Admitted, Request: "late", Customer: "cyril", Deadline: at(5200)},
		{At: at(1300), Kind: audit.Sent, Request: "early", Customer: "bert", Attempt: 7, AttemptNumber: 1, Endpoint: "filing-desk-01", Reason: "first in turn"},
		{At: at(1400), Kind: audit.Sent, Request: "late", Customer: "cyril", Attempt: 8, AttemptNumber: 1, Endpoint: "filing-desk-04", Reason: "turn of customer cyril"},
		{At: at(1500), Kind: audit.Gap, Dropped: &audit.Dropped{Since: at(1450), Reads: 3}, Reason: "memory for records is full"},
		{At: at(2500), Kind: audit.Sent, Request: "explained", Customer: "anna", Attempt: 9, AttemptNumber: 1, Endpoint: "filing-desk-01",
			Reason: "first in turn", Alternatives: []model.EndpointName{"filing-desk-02"}},
		{At: at(2550), Kind: audit.Sent, Request: "late", Customer: "cyril", Attempt: 10, AttemptNumber: 2, Endpoint: "filing-desk-02", Reason: "attempt 8 did not start"},
		{At: at(2600), Kind: audit.Ended, Request: "explained", Customer: "anna", Attempt: 9, AttemptNumber: 1, Endpoint: "filing-desk-01", Outcome: "succeeded"},
		{At: at(2600), Kind: audit.Delivered, Request: "explained", Customer: "anna", Attempt: 9, Outcome: "served"},
		{At: at(2601), Kind: audit.Answered, Request: "explained", Customer: "anna", Outcome: "served", Reason: "response of attempt 9"},
	}
	chain, err := audit.NewChain("plzen-a-1", "01KJMM00000000000000000000")
	assert.NilError(t, err)
	client := store.NewClient(address)
	number := uint64(0)
	for i, record := range records {
		number++
		if record.Dropped != nil {
			number += record.Dropped.Total() - 1
		}
		record.Number = number
		if record.Request != "" {
			record.Service, record.Class = "filing-desk", "submit"
			record.Request = place.RequestID(names[record.Request])
		}
		segment, err := chain.Append([]audit.Record{record}, i == len(records)-1)
		assert.NilError(t, err)
		assert.NilError(t, client.PutObject(context.Background(), segment.Name, segment.Body))
	}
	return client, address
}

// Guards against an explanation that leaves out which requests were sent before,
// why the request waited or which records are missing in the archive.
func TestExplainShowsOrderReasonsAndGaps(t *testing.T) {
	client, address := startArchive(t)
	// An unreadable chain must not make the others unreadable.
	damaged := audit.SegmentName("brno-b-1", "01KJMM00000000000000000001", 1)
	assert.NilError(t, client.PutObject(t.Context(), damaged, []byte("damaged")))
	id := idAt(noon.Add(100 * time.Millisecond))
	code, out := run("explain", id, "--platform", address)
	assert.Equal(t, code, 0, out)
	golden.Assert(t, out, "explain.txt")
	code, out = run("explain", id, "--platform", address, "--json")
	assert.Equal(t, code, 0, out)
	golden.Assert(t, out, "explain.json")
	code, out = run("explain", id, "--platform", address, "--host", "plzen-a-1")
	assert.Equal(t, code, 0, out)
	code, out = run("explain", idAt(noon.Add(time.Hour)), "--platform", address)
	assert.Equal(t, code, 1)
	golden.Assert(t, out, "explain-unknown.txt")
	code, out = run("explain", id, "--platform", "127.0.0.1:1")
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(out, "hint: give the platformAddress"), out)
}

// Guards against a verification that succeeds although a segment was changed or
// the last segments were removed.
func TestVerifyDetectsChangedAndRemovedSegments(t *testing.T) {
	client, address := startArchive(t)
	code, out := run("verify", "--platform", address)
	assert.Equal(t, code, 0, out)
	golden.Assert(t, out, "verify.txt")
	code, heads := run("verify", "--platform", address, "--json")
	assert.Equal(t, code, 0, heads)
	headsFile := filepath.Join(t.TempDir(), "heads.json")
	assert.NilError(t, os.WriteFile(headsFile, []byte(heads), 0o600))

	names, err := client.ObjectNames(t.Context(), audit.SegmentPrefix)
	assert.NilError(t, err)
	server := httptest.NewServer(fakes.NewPlatform())
	t.Cleanup(server.Close)
	tampered := strings.TrimPrefix(server.URL, "http://")
	for i, name := range names[:len(names)-2] {
		body, err := client.Object(t.Context(), name)
		assert.NilError(t, err)
		if i == 4 {
			body[len(body)-1] ^= 1
		}
		assert.NilError(t, store.NewClient(tampered).PutObject(t.Context(), name, body))
	}
	code, out = run("verify", "--platform", tampered, "--heads", headsFile)
	assert.Equal(t, code, 1)
	golden.Assert(t, out, "verify-tampered.txt")
}

// Guards against a usage error with the exit code of a failure: scripts could
// not distinguish them.
func TestUsageErrorsHaveOwnExitCode(t *testing.T) {
	for _, arguments := range [][]string{{"nothing"}, {"explain"}, {"explain", "X"}, {"verify", "--unknown"}} {
		code, out := run(arguments...)
		assert.Equal(t, code, 2, "%v: %s", arguments, out)
	}
}

// Guards against a trace of an entry host that cannot be replayed from the
// command line, and against success for a file that is not a trace.
func TestReplayOfRecordedTrace(t *testing.T) {
	code, out := run("replay", "../replay/testdata/session.trace")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.HasSuffix(out, " 0 differences\n"), out)
	code, out = run("replay", "archive_test.go")
	assert.Equal(t, code, 1, out)
}
