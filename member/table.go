// Package member keeps which entry hosts are alive, from what they say of
// themselves. It is pure: time is passed in.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"filberthold/model"
)

const (
	// missedHellos is how many hellos of a host may be missing while it counts as
	// alive, and lateness is how late the next one may be.
	missedHellos = 4
	lateness     = 100 * time.Millisecond
	// defaultInterval is assumed of a host that does not say how often it says
	// hello.
	defaultInterval = 300 * time.Millisecond
	// forgetting is how long the address of a silent host is still contacted.
	forgetting = 30 * time.Second
)

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	Host   model.HostName   `cbor:"1,keyasint,omitempty"`
	Zone   model.ZoneName   `cbor:"2,keyasint,omitempty"`
	Region model.RegionName `cbor:"3,keyasint,omitempty"`
	// Incarnation differs for each start of the host. It is higher for a later
	// one unless the host's clock was set back.
	Incarnation int64      `cbor:"4,keyasint,omitempty"`
	IP          netip.Addr `cbor:"5,keyasint,omitempty"`
	// CallerAddress is where callers reach the host.
	CallerAddress string `cbor:"6,keyasint,omitempty"`
	// ControlAddress is where peers read what the host knows.
	ControlAddress string `cbor:"7,keyasint,omitempty"`
	// IsReady is true if the host takes requests.
	IsReady bool `cbor:"8,keyasint,omitempty"`
	// IsLeaving is true once the host stops. It is final for the incarnation.
	IsLeaving bool `cbor:"9,keyasint,omitempty"`
	// IsStoreReachable is false while the store does not answer the host.
	IsStoreReachable bool `cbor:"10,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `cbor:"11,keyasint,omitempty"`
	// Interval is how often the host says hello.
	Interval time.Duration `cbor:"14,keyasint,omitempty"`
	// Peers are addresses of other hosts that the host has heard.
	Peers []netip.Addr `cbor:"13,keyasint,omitempty"`
}

// known is the last hello of a host.
type known struct {
	hello   Heartbeat
	heardAt time.Time
}

// Table is the set of known hosts. It is not safe for concurrent use.
type Table struct {
	self  model.HostName
	hosts map[model.HostName]*known
	// sorted holds the hosts by name.
	sorted []*known
	// addresses holds until when an address is contacted.
	addresses map[netip.Addr]time.Time
}

// NewTable returns a table for a host that knows no other one.
func NewTable(self model.HostName) *Table {
	return &Table{self: self, hosts: make(map[model.HostName]*known), addresses: make(map[netip.Addr]time.Time)}
}

// AddAddresses adds addresses at which there may be hosts.
func (t *Table) AddAddresses(addresses []netip.Addr, now time.Time) {
	for _, address := range addresses {
		if _, exists := t.addresses[address]; !exists {
			t.addresses[address] = now.Add(forgetting)
		}
	}
}

// Observe takes in a hello and reports whether the host is new or has changed
// between ready, not ready and leaving.
func (t *Table) Observe(hello Heartbeat, now time.Time) bool {
	if hello.Host == t.self {
		return false
	}
	before := t.hosts[hello.Host]
	if before != nil && hello.Incarnation < before.hello.Incarnation && before.isAlive(now) {
		// A late datagram, or the host restarted with its clock set back; then the
		// incarnation that is known falls silent.
		return false
	}
	if before != nil && hello.Incarnation == before.hello.Incarnation && before.hello.IsLeaving {
		// Datagrams may overtake each other.
		hello.IsLeaving = true
	}
	hasChanged := before == nil || !before.isAlive(now) || before.hello.IsReady != hello.IsReady ||
		before.hello.IsLeaving != hello.IsLeaving || before.hello.Incarnation != hello.Incarnation
	t.set(hello, now)
	t.addresses[hello.IP] = now.Add(forgetting)
	t.AddAddresses(hello.Peers, now)
	return hasChanged
}

// set keeps a hello in place of the host's last one.
func (t *Table) set(hello Heartbeat, now time.Time) {
	if before := t.hosts[hello.Host]; before != nil {
		before.hello, before.heardAt = hello, now
		return
	}
	added := &known{hello: hello, heardAt: now}
	t.hosts[hello.Host] = added
	place, _ := slices.BinarySearchFunc(t.sorted, hello.Host, func(one *known, name model.HostName) int {
		return cmp.Compare(one.hello.Host, name)
	})
	t.sorted = slices.Insert(t.sorted, place, added)
}

// isAlive reports whether the host was heard of late. A host that knows many
// others says hello more rarely.
func (k *known) isAlive(now time.Time) bool {
	interval := k.hello.Interval
	if interval <= 0 {
		interval = defaultInterval
	}
	return now.Sub(k.heardAt) < missedHellos*interval+lateness
}

// Touch notes that any other message of a host has arrived. It reports false
// if the host has to say hello first: it is new or was silent for too long.
func (t *Table) Touch(host model.HostName, incarnation int64, now time.Time) bool {
	before := t.hosts[host]
	if before == nil || before.hello.Incarnation != incarnation || !before.isAlive(now) {
		return false
	}
	before.heardAt = now
	return true
}

// Alive returns the hosts that were heard of late and are not leaving, by name.
func (t *Table) Alive(now time.Time) []Heartbeat {
	alive := make([]Heartbeat, 0, len(t.sorted))
	for _, host := range t.sorted {
		if host.isAlive(now) && !host.hello.IsLeaving {
			alive = append(alive, host.hello)
		}
	}
	return alive
}

// Addresses returns the addresses to contact.
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
// use: those of the zone, or of the region if the zone has fewer than least.
func Nearest(hosts []Heartbeat, zone model.ZoneName, region model.RegionName, least int) []Heartbeat {
	inZone := filter(hosts, func(host Heartbeat) bool { return host.IsReady && host.Zone == zone })
	if len(inZone) >= least {
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
