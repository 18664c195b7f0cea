package node

import (
	"context"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"filberthold/platform"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a host that misses a change of its settings, or ends, because the
// signal comes before all of its loops run.
func TestHostReadsSettingsAgainAfterSignalBeforeStart(t *testing.T) {
	hangups := make(chan os.Signal, 1)
	hangups <- syscall.SIGHUP
	t.Setenv(platform.SettingsVariable, "missing.toml")
	var output syncBuffer
	ip := hostIP(t, 27)
	settings := platform.Settings{Host: "h27", Zone: "za", Region: "north", IP: netip.MustParseAddr(ip), PeerPort: 17541, CallerAddress: ip + ":18548", MemoryBytes: 1 << 28, StopGrace: time.Second}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- New(settings, &output, hangups).Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(output.String(), "settings not read again") {
			return poll.Success()
		}
		return poll.Continue("the settings were not read")
	})
	cancel()
	assert.NilError(t, <-done)
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu      sync.Mutex
	content strings.Builder
}

// Write implements io.Writer.
func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(data)
}

// String returns the content.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}
