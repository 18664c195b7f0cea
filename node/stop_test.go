package node

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"filberthold/platform"

	"gotest.tools/v3/assert"
)

// Guards against a host that does not end because it reads its settings again, from a disk
// that does not answer, when it is told to stop.
func TestHostStopsWhileItReadsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	t.Setenv(platform.SettingsVariable, path)
	hangups := make(chan os.Signal)
	ip := hostIP(t, 28)
	settings := platform.Settings{Host: "h28", Zone: "za", Region: "north", IP: netip.MustParseAddr(ip), PeerPort: 17541, CallerAddress: ip + ":18548", MemoryBytes: 1 << 28, StopGrace: time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- New(settings, t.Output(), hangups).Run(ctx) }()
	hangups <- syscall.SIGHUP
	cancel()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(settings.StopGrace):
		t.Error("the host has not stopped within the grace")
	}
	// The reader of the settings gets its end.
	writer, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
}
