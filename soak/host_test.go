package soak

import (
	"io"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Seed 108 stopped a host a few milliseconds after its start, before the
// program handled SIGTERM; the soak took that for a failed stop and did not
// start the host again. A host that has run for longer must handle the signal.
func TestStopDuringStart(t *testing.T) {
	// This program never handles SIGTERM.
	options := Options{Program: "testdata/ignorant.sh", Directory: t.TempDir(), Log: io.Discard}
	made, err := newHost(options, fake.HostSettings{Name: "h", IP: "127.0.0.1"})
	assert.NilError(t, err)
	assert.NilError(t, made.start())
	assert.NilError(t, made.stop())
	assert.NilError(t, made.start())
	made.startedAt = time.Now().Add(-startup)
	assert.ErrorContains(t, made.stop(), "signal: terminated")
}
