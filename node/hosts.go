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
	// aloneInterval is how often a host that hears no other one reads the rows of
	// the other hosts.
	aloneInterval = 5 * time.Second
	// registerInterval is how often any other host does. Hosts learn of each
	// other from their hellos; the rows join groups that do not know each other.
	registerInterval = 60 * time.Second
	// registerRetry is the least pause after a failed reading or writing.
	registerRetry = 500 * time.Millisecond
)

// hostRow is the value of a host's row in the store.
type hostRow struct {
	IP          netip.Addr `json:"ip"`
	Incarnation int64      `json:"incarnation"`
}

// describe returns what this host says of itself.
func (n *Node) describe() member.Heartbeat {
	hello := member.Heartbeat{
		Host: n.settings.Host, Zone: n.settings.Zone, Region: n.settings.Region, Incarnation: n.incarnation,
		IP: n.settings.IP, CallerAddress: n.settings.CallerAddress, ControlAddress: n.settings.ControlAddress,
		IsReady: n.isReady(), IsLeaving: n.isLeaving.Load(),
		IsStoreReachable: n.reader.hasStore.Load(),
	}
	if config := n.core.Config(); config != nil {
		hello.ConfigVersion = config.Version()
	}
	return hello
}

// maxOperatorAge is longer than a call of the reader waits for a change of the
// operator's rows, because only its end confirms that nothing has changed.
const maxOperatorAge = operatorWait + time.Second

func (n *Node) readsStore() bool {
	now := time.Now()
	situation := member.ReadConditions{
		SinceStart: now.Sub(n.startedAt), IsFirstStart: n.settings.IsFirstStart,
		IsStale: n.known.endpoints.Age(now) > n.pace.maxAge || n.known.operator.Age(now) > maxOperatorAge,
	}
	return member.ShouldReadStore(n.describe(), n.link.Alive(), situation)
}

func (n *Node) probePause() time.Duration { return member.ProbeInterval(n.describe(), n.link.Alive()) }

// sources returns the hosts to follow.
func (n *Node) sources() []member.Heartbeat { return member.Sources(n.describe(), n.link.Alive()) }

// refreshHosts hands the live hosts to the decisions.
func (n *Node) refreshHosts() {
	hosts := make(map[model.RegionName][]model.HostName)
	if !n.isLeaving.Load() {
		hosts[n.settings.Region] = append(hosts[n.settings.Region], n.settings.Host)
	}
	for _, alive := range n.link.Alive() {
		hosts[alive.Region] = append(hosts[alive.Region], alive.Host)
	}
	n.core.SetHosts(hosts)
}

// registerLoop makes this host known and finds the other hosts.
func (n *Node) registerLoop(ctx context.Context) error {
	isRegistered := false
	for {
		pause := registerInterval
		if len(n.link.Alive()) == 0 {
			pause = aloneInterval
		}
		if !isRegistered {
			isRegistered = n.register(ctx)
		}
		if !n.findHosts(ctx) || !isRegistered {
			pause = max(registerRetry, n.probePause())
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

func (n *Node) findHosts(ctx context.Context) bool {
	rows, err := n.store.List(ctx, platform.HostTable)
	if err != nil {
		n.log.Warn("rows of hosts not read", "error", err)
		return false
	}
	var addresses []netip.Addr
	for _, row := range rows.Rows {
		var decoded hostRow
		if err := json.Unmarshal(row.Value, &decoded); err != nil || !decoded.IP.IsValid() {
			n.log.Warn("row of a host not understood", "key", row.Key, "error", err)
			continue
		}
		if decoded.IP != n.settings.IP {
			addresses = append(addresses, decoded.IP)
		}
	}
	n.link.AddAddresses(addresses)
	return true
}
