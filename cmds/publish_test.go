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
// conflict that does not tell what differs, and against a base that is assumed.
func TestPublish(t *testing.T) {
	server := httptest.NewServer(fakes.NewPlatform())
	t.Cleanup(server.Close)
	folder := t.TempDir()
	file := func(clientDelay string) string {
		path := filepath.Join(folder, clientDelay+".toml")
		text := fmt.Sprintf("name = 'guild'\ndelays.toClients = '%s'\n", clientDelay)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	invalid := filepath.Join(folder, "invalid.toml")
	assert.NilError(t, os.WriteFile(invalid, []byte("unknownKey = 1\n"), 0o600))
	steps := []struct {
		code      int
		arguments []string
	}{
		{0, []string{"revision"}},
		{2, []string{"publish", file("8ms")}},
		{3, []string{"publish", invalid, "--base", "0"}},
		{0, []string{"publish", file("8ms"), "--base", "0"}},
		{0, []string{"publish", file("8ms"), "--base", "0"}},
		{0, []string{"publish", file("9ms"), "--base", "1", "--json"}},
		{1, []string{"publish", file("10ms"), "--base", "1"}},
		{1, []string{"publish", file("10ms"), "--base", "1", "--json"}},
		{1, []string{"publish", file("10ms"), "--base", "7"}},
		{0, []string{"revision"}},
		{0, []string{"publish", file("10ms"), "--base", "2"}},
		{0, []string{"revision", "--json"}},
	}
	session := &strings.Builder{}
	for _, step := range steps {
		code, out := run(append(step.arguments, "--platform", strings.TrimPrefix(server.URL, "http://"))...)
		assert.Equal(t, code, step.code, "%v: %s", step.arguments, out)
		_, _ = fmt.Fprintf(session, "$ filberthold %s\n%s", strings.Join(step.arguments, " "), out)
	}
	golden.Assert(t, strings.ReplaceAll(session.String(), folder+"/", ""), "publish.txt")
}
