package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"filberthold/platform"
)

const (
	// refuseAfter is when a stopping host begins to refuse new requests. By
	// then lookup responses that name it have run out for all callers.
	refuseAfter = 3500 * time.Millisecond
	// endMargin is kept from the grace of the platform.
	endMargin = 300 * time.Millisecond
)

// stop takes the host out of use and waits for the requests in flight.
func (n *Node) stop() error {
	deadline := time.Now().Add(n.settings.StopGrace - endMargin)
	n.log.Info("host leaves", "deadline", deadline)
	n.isLeaving.Store(true)
	n.server.DisableKeepAlives()
	n.link.SendHeartbeat()
	time.Sleep(min(refuseAfter, n.settings.StopGrace/2))
	n.server.Refuse()
	n.log.Info("host refuses new requests")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.server.Stop(ctx); err != nil {
		// The platform ends the process soon in any case.
		n.log.Warn("requests in flight are cut", "error", err)
	}
	return nil
}

// reloadLoop reads the settings again on SIGHUP.
func (n *Node) reloadLoop(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			n.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload takes over the seeds. Addresses and limits of a running process do
// not change.
func (n *Node) reload() {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		n.log.Error("settings not read again, the old ones stay", "error", err)
		return
	}
	n.link.AddAddresses(settings.Seeds)
	n.log.Info("settings read again", "seeds", settings.Seeds)
}
