package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"filberthold/platform"
	"filberthold/proxy"
)

// hostRow is the value of a host's row in the store. Each host writes its own once
// after its start, and once in each later era of the store.
type hostRow struct {
	IP netip.Addr `json:"ip"`
	// Incarnation is the start time in Unix milliseconds. Only later runs of the same host
	// use it.
	Incarnation int64 `json:"incarnation"`
	// IsFirstRun is true if the host had no row when it started. It is false in rows of
	// versions that do not write it.
	IsFirstRun bool `json:"isFirstRun,omitempty"`
}

// registration is what a host knows of its row in the store.
type registration struct {
	isWritten bool
	// era is the era of the store in which the row was last written, or tried to be.
	era uint64
	// isFirstRun is true if the host had no row before this run. Otherwise earlier was its
	// row.
	isFirstRun bool
	earlier    hostRow
	// isEarlierRunKnown is true once the store has told whether there was an earlier run.
	isEarlierRunKnown bool
}

// registerLoop writes this host's row to the store and reads those of the other
// hosts.
func (n *Node) registerLoop(ctx context.Context) error {
	var own registration
	for ctx.Err() == nil {
		n.updateRow(ctx, &own)
		pause := hostListInterval
		if len(n.transport.Alive()) == 0 {
			pause = noPeerInterval
		}
		if !n.discoverHosts(ctx) || !own.isWritten {
			pause = max(minRetryInterval, n.probeInterval())
		}
		n.keepRow(ctx, &own, time.Now().Add(pause))
	}
	return nil
}

// keepRow writes this host's row again in each new era of the store. It returns at
// the given time, or after a write has failed.
func (n *Node) keepRow(ctx context.Context, own *registration, until time.Time) {
	for ctx.Err() == nil && time.Now().Before(until) {
		sleep(ctx, min(eraCheckInterval, time.Until(until)))
		if !own.isWritten {
			continue
		}
		n.updateRow(ctx, own)
		if !own.isWritten {
			return
		}
	}
}

// updateRow writes this host's row unless it was written in the current era of the
// store. A store that returned from an older copy may have lost the row.
func (n *Node) updateRow(ctx context.Context, own *registration) {
	era := n.knownEra()
	if own.isWritten && era <= own.era {
		return
	}
	own.isWritten = n.register(ctx, own)
	own.era = cmp.Or(era, n.store.Era())
}

// knownEra returns the latest era of the store that this host has heard of, from the
// store or from another host. It is 0 before the first one.
func (n *Node) knownEra() uint64 {
	return max(n.store.Era(), n.replica.operator.Version().Era, n.replica.endpoints.Version().Era)
}

// register writes this host's row. The first time, it learns from the store whether the host
// ran before.
func (n *Node) register(ctx context.Context, own *registration) bool {
	if err := n.writeRow(ctx, own); err != nil {
		n.log.Warn("row of this host not written", "error", err)
		return false
	}
	n.starter.markEra(n.store.Era())
	return true
}

func (n *Node) writeRow(ctx context.Context, own *registration) error {
	if own.isEarlierRunKnown {
		return n.putRow(ctx, own)
	}
	err := n.replaceRow(ctx, true, 0)
	var changed *platform.RowChangedError
	switch {
	case err == nil:
		own.isEarlierRunKnown, own.isFirstRun = true, true
		n.core.SetFirstRun()
		return nil
	case !errors.As(err, &changed):
		return fmt.Errorf("create row: %w", err)
	}
	earlier := n.decodeRow(changed.Value)
	if earlier.Incarnation == n.incarnation {
		// The response to an earlier try was lost.
		own.isEarlierRunKnown, own.isFirstRun = true, earlier.IsFirstRun
		n.learnEarlierRun(own)
		return nil
	}
	own.earlier = earlier
	if err := n.replaceRow(ctx, false, changed.Number); err != nil {
		return fmt.Errorf("replace row: %w", err)
	}
	own.isEarlierRunKnown = true
	n.learnEarlierRun(own)
	return nil
}

// replaceRow writes this host's row over the one with a number. A write of an earlier run
// that the store performs late does not replace it.
func (n *Node) replaceRow(ctx context.Context, isFirstRun bool, number uint64) error {
	value, err := n.encodeRow(isFirstRun)
	if err != nil {
		return err
	}
	if err := n.store.Replace(ctx, platform.HostTable, string(n.settings.Host), value, number); err != nil {
		return fmt.Errorf("write row: %w", err)
	}
	return nil
}

// decodeRow decodes the row of this host. One that cannot be decoded counts as that of a run
// which started just before this one and was not the first.
func (n *Node) decodeRow(value []byte) hostRow {
	var row hostRow
	if err := json.Unmarshal(value, &row); err != nil || row.Incarnation <= 0 {
		n.log.Warn("row of this host from an earlier run not decoded", "error", err)
		return hostRow{Incarnation: n.incarnation - 1}
	}
	return row
}

// learnEarlierRun passes what this host's row told of an earlier run to the retry limit.
func (n *Node) learnEarlierRun(own *registration) {
	if own.isFirstRun {
		n.core.SetFirstRun()
		return
	}
	run := proxy.EarlierRun{StartedAt: time.UnixMilli(own.earlier.Incarnation), IsFirst: own.earlier.IsFirstRun}
	if until := n.core.SetEarlierRun(run); !until.IsZero() {
		n.log.Info("host sends no retries: those of several earlier runs may still arrive",
			"earlierRunStartedAt", run.StartedAt, "until", until)
	}
}

// putRow writes this host's row over an earlier one.
func (n *Node) putRow(ctx context.Context, own *registration) error {
	value, err := n.encodeRow(own.isFirstRun)
	if err != nil {
		return err
	}
	if err := n.store.Put(ctx, platform.HostTable, string(n.settings.Host), value); err != nil {
		return fmt.Errorf("write row: %w", err)
	}
	return nil
}

func (n *Node) encodeRow(isFirstRun bool) ([]byte, error) {
	value, err := json.Marshal(hostRow{IP: n.settings.IP, Incarnation: n.incarnation, IsFirstRun: isFirstRun})
	if err != nil {
		return nil, fmt.Errorf("encode row of this host: %w", err)
	}
	return value, nil
}
