package cmds_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against faults of one file that hide those of another, and against an
// entry host that starts with an invalid document.
func TestCheck(t *testing.T) {
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
