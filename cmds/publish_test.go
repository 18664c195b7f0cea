package cmds_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"filberthold/fakes"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a change that overwrites that of another operator, against a
// conflict message without the keys that differ, and against a default for the
// base.
func TestPublishRefusesConflictingChange(t *testing.T) {
	server := httptest.NewServer(fakes.NewPlatform())
	t.Cleanup(server.Close)
	folder := t.TempDir()
	for _, delay := range []string{"8ms", "9ms", "10ms", "invalid"} {
		text := fmt.Sprintf("name = 'guild'\ndelays.toClients = '%s'\n", delay)
		assert.NilError(t, os.WriteFile(filepath.Join(folder, delay), []byte(text), 0o600))
	}
	steps := []string{
		"0 revision",
		"2 publish 8ms",
		"3 publish invalid --base 0",
		"0 publish 8ms --base 0",
		"0 publish 8ms --base 0",
		"0 publish 9ms --base 1 --json",
		"1 publish 10ms --base 1",
		"1 publish 10ms --base 1 --json",
		"1 publish 10ms --base 7",
		"0 revision",
		"0 publish 10ms --base 2",
		"0 revision --json",
	}
	session := &strings.Builder{}
	for _, step := range steps {
		wanted, line, _ := strings.Cut(step, " ")
		command := strings.Replace(line, "publish ", "publish "+folder+"/", 1)
		code, out := run(strings.Fields(command + " --platform " + strings.TrimPrefix(server.URL, "http://"))...)
		assert.Equal(t, fmt.Sprint(code), wanted, "%s: %s", command, out)
		_, _ = fmt.Fprintf(session, "$ filberthold %s\n%s", line, out)
	}
	golden.Assert(t, strings.ReplaceAll(session.String(), folder+"/", ""), "publish.txt")
}
