// Package member tracks which entry hosts are alive by their heartbeats, and
// elects the hosts that read the store. It does no I/O and reads no clock: time
// is passed in.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"filberthold/model"
)

const (
	// A host expires after missedHeartbeats heartbeat intervals and heartbeatDelay
	// without a message.
	missedHeartbeats = 4
	heartbeatDelay   = 100 * time.Millisecond
	// defaultInterval is assumed for a host whose heartbeats do not contain their
	// interval.
	defaultInterval = 300 * time.Millisecond
	// addressExpiry is how long heartbeats are still sent to an address from which
	// none arrives.
	addressExpiry = 30 * time.Second
)

// Heartbeat is the state that a host sends to other hosts periodically.
type Heartbeat struct {
	Host   model.HostName   `cbor:"1,keyasint,omitempty"`
	Zone   model.ZoneName   `cbor:"2,keyasint,omitempty"`
	Region model.RegionName `cbor:"3,keyasint,omitempty"`
	// Incarnation identifies a run of the host's process. The host sets it to
	// its start time in Unix milliseconds. A later run has a higher one unless
	// the host's clock was set back.
	Incarnation int64 `cbor:"4,keyasint,omitempty"`
	// IP is the address to which other hosts send datagrams.
	IP netip.Addr `cbor:"5,keyasint,omitempty"`
	// CallerAddress is the address for requests from callers.
	CallerAddress string `cbor:"6,keyasint,omitempty"`
	// ControlAddress is the address at which other hosts read the host's replica
	// of the store.
	ControlAddress string `cbor:"7,keyasint,omitempty"`
	// IsReady is true if the host accepts requests.
	IsReady bool `cbor:"8,keyasint,omitempty"`
	// IsLeaving is true once the host shuts down. It is final for the
	// incarnation.
	IsLeaving bool `cbor:"9,keyasint,omitempty"`
	// IsStoreReachable is false while the host gets no response from the store.
	IsStoreReachable bool `cbor:"10,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `cbor:"11,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s, or 0 if it is unknown.
	LinkMbps float64 `cbor:"15,keyasint,omitempty"`
	// Interval is the time between heartbeats of the host.
	Interval time.Duration `cbor:"14,keyasint,omitempty"`
	// Peers are addresses of other hosts from which the host received heartbeats.
	Peers []netip.Addr `cbor:"13,keyasint,omitempty"`
}

// record holds the last heartbeat of a host and when its last message was
// received.
type record struct {
	heartbeat  Heartbeat
	receivedAt time.Time
}

// Table holds the hosts from which heartbeats were received, and the addresses
// of further hosts. It is not safe for concurrent use.
type Table struct {
	self  model.HostName
	hosts map[model.HostName]*record
	// sorted holds the hosts by name.
	sorted []*record
	// addresses holds, for each address to which heartbeats are sent, when it
	// expires.
	addresses map[netip.Addr]time.Time
}

// NewTable returns a table without other hosts.
func NewTable(self model.HostName) *Table {
	return &Table{self: self, hosts: make(map[model.HostName]*record), addresses: make(map[netip.Addr]time.Time)}
}

// AddAddresses adds addresses at which there may be hosts. An address that is
// already in the table keeps its expiry.
func (t *Table) AddAddresses(addresses []netip.Addr, now time.Time) {
	for _, address := range addresses {
		if _, exists := t.addresses[address]; !exists {
			t.addresses[address] = now.Add(addressExpiry)
		}
	}
}

// Observe applies a heartbeat and reports whether the host is new, alive again,
// restarted, or has changed between ready, not ready and leaving.
func (t *Table) Observe(heartbeat Heartbeat, now time.Time) bool {
	if heartbeat.Host == t.self {
		return false
	}
	before := t.hosts[heartbeat.Host]
	if before != nil && heartbeat.Incarnation < before.heartbeat.Incarnation && before.isAlive(now) {
		// This is a late datagram, or the host restarted with its clock set back.
		// In the second case the previous incarnation expires first.
		return false
	}
	if before != nil && heartbeat.Incarnation == before.heartbeat.Incarnation && before.heartbeat.IsLeaving {
		// This heartbeat may be older: datagrams can arrive out of order. Its
		// other fields replace those of the previous one.
		heartbeat.IsLeaving = true
	}
	hasChanged := before == nil || !before.isAlive(now) || before.heartbeat.IsReady != heartbeat.IsReady ||
		before.heartbeat.IsLeaving != heartbeat.IsLeaving || before.heartbeat.Incarnation != heartbeat.Incarnation
	t.set(heartbeat, now)
	t.addresses[heartbeat.IP] = now.Add(addressExpiry)
	t.AddAddresses(heartbeat.Peers, now)
	return hasChanged
}

// set stores a heartbeat in place of the host's previous one.
func (t *Table) set(heartbeat Heartbeat, now time.Time) {
	if before := t.hosts[heartbeat.Host]; before != nil {
		before.heartbeat, before.receivedAt = heartbeat, now
		return
	}
	added := &record{heartbeat: heartbeat, receivedAt: now}
	t.hosts[heartbeat.Host] = added
	index, _ := slices.BinarySearchFunc(t.sorted, heartbeat.Host, func(existing *record, name model.HostName) int {
		return cmp.Compare(existing.heartbeat.Host, name)
	})
	t.sorted = slices.Insert(t.sorted, index, added)
}

// isAlive reports whether the last message of the host is recent in relation to
// its heartbeat interval. The interval is longer where there are many hosts. A
// leaving host can be alive here; Table.Alive omits it.
func (r *record) isAlive(now time.Time) bool {
	interval := r.heartbeat.Interval
	if interval <= 0 {
		interval = defaultInterval
	}
	return now.Sub(r.receivedAt) < missedHeartbeats*interval+heartbeatDelay
}

// Touch records that a message other than a heartbeat was received from a host.
// It returns false if a heartbeat is needed first, because the host is not in
// the table, has restarted or has expired.
func (t *Table) Touch(host model.HostName, incarnation int64, now time.Time) bool {
	before := t.hosts[host]
	if before == nil || before.heartbeat.Incarnation != incarnation || !before.isAlive(now) {
		return false
	}
	before.receivedAt = now
	return true
}

// Alive returns the hosts that have not expired and are not leaving, by name.
func (t *Table) Alive(now time.Time) []Heartbeat {
	alive := make([]Heartbeat, 0, len(t.sorted))
	for _, host := range t.sorted {
		if host.isAlive(now) && !host.heartbeat.IsLeaving {
			alive = append(alive, host.heartbeat)
		}
	}
	return alive
}

// Addresses returns the addresses to which heartbeats are sent and removes the
// expired ones.
func (t *Table) Addresses(now time.Time) []netip.Addr {
	var addresses []netip.Addr
	for address, until := range t.addresses {
		if now.After(until) {
			delete(t.addresses, address)
			continue
		}
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses
}

// Nearest returns the ready hosts that a caller in an availability zone should
// use: those of the zone, those of the region if the zone has fewer than
// minimum, or those of all regions if the region has no ready host.
func Nearest(hosts []Heartbeat, zone model.ZoneName, region model.RegionName, minimum int) []Heartbeat {
	inZone := filter(hosts, func(host Heartbeat) bool { return host.IsReady && host.Zone == zone })
	if len(inZone) >= minimum {
		return inZone
	}
	inRegion := filter(hosts, func(host Heartbeat) bool { return host.IsReady && host.Region == region })
	if len(inRegion) > 0 {
		return inRegion
	}
	return filter(hosts, func(host Heartbeat) bool { return host.IsReady })
}

func filter(hosts []Heartbeat, keep func(Heartbeat) bool) []Heartbeat {
	var kept []Heartbeat
	for _, host := range hosts {
		if keep(host) {
			kept = append(kept, host)
		}
	}
	return kept
}
