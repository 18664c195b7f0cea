package soak

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a soak that ends a host, and does not start it again, because it sends
// SIGHUP before the program handles it (seed 21), and against a host that never handles
// the signal because it was ignored at its start.
func TestHangupAfterStartEndsNoHost(t *testing.T) {
	const lastDelay = 20 * time.Millisecond
	b := startTestbed(t, 1, 1)
	host := b.hosts[0]
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	defer func() { _ = log.Close() }()
	host.output = log
	for delay := time.Duration(0); delay <= lastDelay; delay += time.Millisecond {
		assert.NilError(t, host.kill())
		assert.NilError(t, host.start())
		time.Sleep(delay)
		assert.NilError(t, host.signal(syscall.SIGHUP))
		select {
		case <-host.exited:
			t.Errorf("SIGHUP %s after the start ended the host: %v", delay, host.exitErr)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	assert.Assert(t, b.waitUntilServing(t.Context()))
	before, err := os.ReadFile(log.Name())
	assert.NilError(t, err)
	assert.NilError(t, host.signal(syscall.SIGHUP))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		text, err := os.ReadFile(log.Name())
		if err != nil {
			return poll.Error(err)
		}
		if strings.Contains(string(text[len(before):]), "settings read again") {
			return poll.Success()
		}
		return poll.Continue("the settings were not read again")
	})
}
