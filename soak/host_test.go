package soak

import (
	"io"
	"os/exec"
	"syscall"
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

// Guards against hosts and endpoints that end by a SIGHUP while one of them is paused,
// because the shell that started the soak has ended (seed 3704).
func TestProcessesLeadTheirOwnGroups(t *testing.T) {
	options := Options{Program: "testdata/ignorant.sh", Directory: t.TempDir(), Log: io.Discard}
	host, err := newHostProcess(options, fake.HostSettings{Name: "h", IP: "127.0.0.1"})
	assert.NilError(t, err)
	assert.NilError(t, host.start())
	t.Cleanup(func() { _ = host.kill() })
	endpoint, _ := startProcess(t)
	for _, command := range []*exec.Cmd{host.command, endpoint.command} {
		group, err := syscall.Getpgid(command.Process.Pid)
		assert.NilError(t, err)
		assert.Equal(t, group, command.Process.Pid)
	}
}
