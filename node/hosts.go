package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/platform"
)

const (
	// noPeerInterval is how often a host reads the rows of the other hosts while
	// it receives heartbeats from none of them.
	noPeerInterval = 5 * time.Second
	// hostListInterval is how often a host reads these rows otherwise.
	// Heartbeats list other hosts; the rows connect groups of hosts that do not
	// exchange heartbeats yet.
	hostListInterval = 60 * time.Second
	// minRetryInterval is the least pause after a failed read or write.
	minRetryInterval = 500 * time.Millisecond
)

// hostRow is the value of a host's row in the store. Each host writes its own once
// after its start.
type hostRow struct {
	IP netip.Addr `json:"ip"`
	// Incarnation is the start time in Unix milliseconds. Other hosts do not use it.
	Incarnation int64 `json:"incarnation"`
}

// heartbeat returns the current heartbeat of this host.
func (n *Node) heartbeat() member.Heartbeat {
	heartbeat := member.Heartbeat{
		Host: n.settings.Host, Zone: n.settings.Zone, Region: n.settings.Region, Incarnation: n.incarnation,
		IP: n.settings.IP, CallerAddress: n.settings.CallerAddress, ControlAddress: n.settings.ControlAddress,
		IsReady: n.isReady(), IsLeaving: n.isLeaving.Load(),
		IsStoreReachable: n.reader.isStoreReachable.Load(), LinkMbps: n.settings.LinkMbps,
	}
	if config := n.core.Config(); config != nil {
		heartbeat.ConfigVersion = config.Version()
	}
	return heartbeat
}

// shouldReadStore reports whether this host reads a table of the store now.
func (n *Node) shouldReadStore(table platform.Table) bool {
	now := time.Now()
	conditions := member.ReadConditions{
		SinceStart: now.Sub(n.startedAt), IsFirstStart: n.settings.IsFirstStart,
		IsStale: n.replica.isOutdated(table, n.intervals, now),
	}
	return member.ShouldReadStore(n.heartbeat(), n.transport.Alive(), conditions)
}

func (n *Node) probeInterval() time.Duration {
	return member.ProbeInterval(n.heartbeat(), n.transport.Alive())
}

// sources returns the hosts to follow in order of preference.
func (n *Node) sources() []member.Heartbeat {
	return member.Sources(n.heartbeat(), n.transport.Alive())
}

// updateHosts passes the hosts that are alive to the core, including this one
// unless it is leaving.
func (n *Node) updateHosts() {
	hosts := make(map[model.RegionName][]model.HostName)
	if !n.isLeaving.Load() {
		hosts[n.settings.Region] = append(hosts[n.settings.Region], n.settings.Host)
	}
	for _, alive := range n.transport.Alive() {
		hosts[alive.Region] = append(hosts[alive.Region], alive.Host)
	}
	n.core.SetHosts(hosts)
}

// registerLoop writes this host's row to the store and reads those of the other
// hosts.
func (n *Node) registerLoop(ctx context.Context) error {
	isRegistered := false
	for {
		pause := hostListInterval
		if len(n.transport.Alive()) == 0 {
			pause = noPeerInterval
		}
		if !isRegistered {
			isRegistered = n.register(ctx)
		}
		if !n.discoverHosts(ctx) || !isRegistered {
			pause = max(minRetryInterval, n.probeInterval())
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) register(ctx context.Context) bool {
	value, err := json.Marshal(hostRow{IP: n.settings.IP, Incarnation: n.incarnation})
	if err != nil {
		n.log.Error("row of this host not encoded", "error", err)
		return false
	}
	if err := n.store.Put(ctx, platform.HostTable, string(n.settings.Host), value); err != nil {
		n.log.Warn("row of this host not written", "error", err)
		return false
	}
	return true
}

func (n *Node) discoverHosts(ctx context.Context) bool {
	rows, err := n.store.List(ctx, platform.HostTable)
	if err != nil {
		n.log.Warn("rows of hosts not read", "error", err)
		return false
	}
	var addresses []netip.Addr
	for _, row := range rows.Rows {
		var decoded hostRow
		if err := json.Unmarshal(row.Value, &decoded); err != nil || !decoded.IP.IsValid() {
			n.log.Warn("row of a host not decoded", "key", row.Key, "error", err)
			continue
		}
		if decoded.IP != n.settings.IP {
			addresses = append(addresses, decoded.IP)
		}
	}
	n.transport.AddAddresses(addresses)
	return true
}
