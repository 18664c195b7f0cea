package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/proxy"
)

const (
	// noPeerInterval is how often a host reads the rows of the other hosts while
	// it receives heartbeats from none of them.
	noPeerInterval = 5 * time.Second
	// hostListInterval is how often a host reads these rows otherwise.
	// Heartbeats list other hosts; the rows connect groups of hosts that do not
	// exchange heartbeats yet.
	hostListInterval = 60 * time.Second
	// eraCheckInterval is how often a host checks whether the store has returned from
	// an older copy since the host wrote its row.
	eraCheckInterval = time.Second
	// minRetryInterval is the least pause after a failed read or write.
	minRetryInterval = 500 * time.Millisecond
)

// heartbeat returns the current heartbeat of this host.
func (n *Node) heartbeat() member.Heartbeat {
	heartbeat := member.Heartbeat{
		Host: n.settings.Host, Zone: n.settings.Zone, Region: n.settings.Region, Incarnation: n.incarnation,
		IP: n.settings.IP, CallerAddress: n.settings.CallerAddress, ControlAddress: n.settings.ControlAddress,
		IsReady: n.isReady(), IsLeaving: n.isLeaving.Load(),
		IsStoreReachable: n.reader.isStoreReachable.Load(), LinkMbps: n.settings.LinkMbps,
		OperatorVersion: n.replica.operator.Version(), EndpointsVersion: n.replica.endpoints.Version(),
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
		IsStale: n.replica.isOutdated(table, n.intervals, now) || table == platform.OperatorTable && n.replica.needsProof(),
	}
	return member.ShouldReadStore(n.heartbeat(), n.transport.Alive(), conditions)
}

func (n *Node) probeInterval() time.Duration {
	return member.ProbeInterval(n.heartbeat(), n.transport.Alive())
}

// sources returns the hosts to follow in order of preference. A store reader whose calls
// prove nothing follows others too.
func (n *Node) sources() []member.Heartbeat {
	own, others := n.heartbeat(), n.transport.Alive()
	sources := member.Sources(own, others)
	if len(sources) == 0 && (!n.core.IsReady() || n.replica.needsProof()) {
		return member.Holders(own, others)
	}
	return sources
}

// startHolders returns the hosts from which this one gets what they know when it starts,
// in order of preference.
func (n *Node) startHolders() []member.Heartbeat {
	return member.StartHolders(n.heartbeat(), n.transport.Alive(), n.transport.Leaving())
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
	n.changeRetryLimit(func() proxy.RetryLimitChange { return n.core.SetHosts(hosts) })
}

// changeRetryLimit applies a change and logs it. The lines are in the order of the changes,
// so the last one tells the part of the retry limit that the host has.
func (n *Node) changeRetryLimit(apply func() proxy.RetryLimitChange) {
	n.retryLimitMu.Lock()
	defer n.retryLimitMu.Unlock()
	if change := apply(); change.IsChange() {
		n.log.Info("retry limit changed", change.LogFields()...)
	}
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
		if err := json.Unmarshal(row.Value, &decoded); err != nil || !platform.IsUnicast(decoded.IP) {
			n.log.Warn("row of a host not decoded", "key", row.Key, "error", err)
			continue
		}
		if decoded.IP != n.settings.IP {
			addresses = append(addresses, decoded.IP)
		}
	}
	n.transport.AddAddresses(addresses)
	n.starter.markHostsAsked(time.Now())
	n.changeRetryLimit(func() proxy.RetryLimitChange { return n.core.SetNamedHosts(len(addresses) + 1) })
	return true
}
