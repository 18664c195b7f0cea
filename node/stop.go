package node

import (
	"context"
	"os"
	"time"

	"filberthold/platform"
)

const (
	// refuseDelay is the time from the start of a stop until the host refuses
	// new requests. By then the lookup responses that list it have expired at
	// all callers. The host waits only half of StopGrace if that is shorter.
	refuseDelay = 3500 * time.Millisecond
	// stopMargin is the time between the end of the wait for requests in flight and
	// the platform's SIGKILL.
	stopMargin = 300 * time.Millisecond
)

// stop announces that the host is leaving, refuses new requests after a delay
// and waits for the requests in flight.
func (n *Node) stop() error {
	deadline := time.Now().Add(n.settings.StopGrace - stopMargin)
	n.log.Info("host leaves", "deadline", deadline)
	n.isLeaving.Store(true)
	n.server.Leave(deadline)
	n.transport.SendHeartbeat()
	time.Sleep(min(refuseDelay, n.settings.StopGrace/2))
	n.server.Refuse()
	n.log.Info("host refuses new requests")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.server.Stop(ctx); err != nil {
		// The platform kills the process soon in any case.
		n.log.Warn("requests in flight are aborted", "error", err)
	}
	return nil
}

// reloadLoop reads the settings again on SIGHUP. A read that does not end, as from a disk
// that does not answer, does not delay the end of the host.
func (n *Node) reloadLoop(ctx context.Context) error {
	for {
		select {
		case <-n.hangups:
		case <-ctx.Done():
			return nil
		}
		done := make(chan struct{})
		go n.runReload(done)
		select {
		case <-done:
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) runReload(done chan struct{}) {
	defer close(done)
	n.reload()
}

// reload applies the seeds of the settings. Addresses and limits of a running
// process do not change.
func (n *Node) reload() {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		n.log.Error("settings not read again, the old ones stay", "error", err)
		return
	}
	n.transport.AddAddresses(settings.Seeds)
	n.log.Info("settings read again", "seeds", settings.Seeds)
}
