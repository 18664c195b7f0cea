package soak

import (
	"io"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that reports a failed stop, and does not start the host
// again, if it stops a host before the program handles SIGTERM. Seed 108 did so
// a few milliseconds after the start. A host that has run longer than
// startupTime must handle the signal.
func TestStopDuringStartIsNoViolation(t *testing.T) {
	// This program never handles SIGTERM.
	options := Options{Program: "testdata/ignorant.sh", Directory: t.TempDir(), Log: io.Discard}
	host, err := newHostProcess(options, fake.HostSettings{Name: "h", IP: "127.0.0.1"})
	assert.NilError(t, err)
	assert.NilError(t, host.start())
	assert.NilError(t, host.stop())
	assert.NilError(t, host.start())
	host.startedAt = time.Now().Add(-startupTime)
	assert.ErrorContains(t, host.stop(), "signal: terminated")
}
