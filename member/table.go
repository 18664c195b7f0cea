// Package member tracks which entry hosts are alive by their heartbeats, and
// elects the hosts that read the store. It does no I/O and reads no clock: time
// is passed in.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"filberthold/hashes"
	"filberthold/model"
	"filberthold/platform"
)

const (
	// A host that sends heartbeats regularly is silent after missedHeartbeats of their
	// intervals and heartbeatDelay without a message.
	missedHeartbeats = 4
	heartbeatDelay   = 100 * time.Millisecond
	// defaultInterval is assumed for a host whose heartbeats do not contain their
	// interval.
	defaultInterval = 300 * time.Millisecond
	// addressExpiry is how long heartbeats are still sent to an address from which
	// none arrives.
	addressExpiry = 30 * time.Second
	// goneAddressExpiry is the same for the address of a host that was alive before: a
	// region may be cut off for minutes.
	goneAddressExpiry = 10 * time.Minute
	// leavingExpiry is how long a host that is leaving stays in the table. A later
	// incarnation may be lower, if the clock was set back.
	leavingExpiry = 15 * time.Second
	// suspicionTime is how long a host that a single monitor suspects stays alive. The
	// host is told and announces itself within a round trip between regions.
	suspicionTime = 500 * time.Millisecond
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
	// OperatorVersion and EndpointsVersion are the versions of the store up to which the
	// host knows these tables. They change all the time, so a change is not announced by
	// itself.
	OperatorVersion  platform.Version `cbor:"17,keyasint,omitempty"`
	EndpointsVersion platform.Version `cbor:"18,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s, or 0 if it is unknown.
	LinkMbps float64 `cbor:"15,keyasint,omitempty"`
	// Interval is the time between heartbeats of the host to the receiver. It is 0 if
	// the host IsMonitored and the receiver is not one of its monitors.
	Interval time.Duration `cbor:"14,keyasint,omitempty"`
	// IsMonitored is true if the host sends heartbeats only to its monitors.
	IsMonitored bool `cbor:"16,keyasint,omitempty"`
	// Peers are addresses of other hosts from which the host received heartbeats.
	Peers []netip.Addr `cbor:"13,keyasint,omitempty"`
}

// record holds the last heartbeat of a host and what is known of its silence.
type record struct {
	heartbeat Heartbeat
	// hash is that of the host's name.
	hash       uint64
	receivedAt time.Time
	// silentAt is the time from which the host is silent unless a message arrives, or
	// zero if none is expected.
	silentAt time.Time
	// askedUntil is the time until which the host should answer a request, or zero if
	// there is none, and unanswered the number of requests without an answer.
	askedUntil time.Time
	unanswered int
	// suspectedBy are the monitors that reported the host silent since its last message.
	suspectedBy []model.HostName
	// goneAt is the time from which the host is gone by these reports. It is zero if there
	// are none.
	goneAt time.Time
}

// Table holds the hosts from which heartbeats were received, and the addresses
// of further hosts. It is not safe for concurrent use.
type Table struct {
	self  model.HostName
	hosts map[model.HostName]*record
	// sorted holds the hosts by name.
	sorted []*record
	// addresses holds the addresses to which heartbeats are sent besides those of hosts
	// that are alive.
	addresses map[netip.Addr]*contact
}

// NewTable returns a table without other hosts.
func NewTable(self model.HostName) *Table {
	return &Table{self: self, hosts: make(map[model.HostName]*record), addresses: make(map[netip.Addr]*contact)}
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
	t.extendAddress(heartbeat.IP, now.Add(addressExpiry))
	t.AddAddresses(heartbeat.Peers, now)
	return hasChanged
}

// set stores a heartbeat in place of the host's previous one.
func (t *Table) set(heartbeat Heartbeat, now time.Time) {
	if before := t.hosts[heartbeat.Host]; before != nil {
		before.heartbeat = heartbeat
		before.hear(now)
		return
	}
	added := &record{heartbeat: heartbeat, hash: hashes.Sum(string(heartbeat.Host))}
	added.hear(now)
	t.hosts[heartbeat.Host] = added
	index, _ := slices.BinarySearchFunc(t.sorted, heartbeat.Host, func(existing *record, name model.HostName) int {
		return cmp.Compare(existing.heartbeat.Host, name)
	})
	t.sorted = slices.Insert(t.sorted, index, added)
}

// remove removes a host.
func (t *Table) remove(name model.HostName) {
	delete(t.hosts, name)
	t.sorted = slices.DeleteFunc(t.sorted, func(host *record) bool { return host.heartbeat.Host == name })
}

// hear records a message of the host itself.
func (r *record) hear(now time.Time) {
	r.receivedAt, r.silentAt = now, time.Time{}
	r.askedUntil, r.unanswered = time.Time{}, 0
	r.suspectedBy, r.goneAt = nil, time.Time{}
	interval := r.heartbeat.Interval
	if interval <= 0 && !r.heartbeat.IsMonitored {
		interval = defaultInterval
	}
	switch {
	case interval > 0:
		r.silentAt = now.Add(missedHeartbeats*interval + heartbeatDelay)
	case r.heartbeat.IsLeaving:
		r.silentAt = now.Add(leavingExpiry)
	}
}

// suspect records that a monitor reported the host silent. A single monitor may be wrong,
// so the host then has time to answer.
func (r *record) suspect(monitor model.HostName, now time.Time) {
	if slices.Contains(r.suspectedBy, monitor) {
		return
	}
	r.suspectedBy = append(r.suspectedBy, monitor)
	goneAt := now.Add(suspicionTime)
	if len(r.suspectedBy) > 1 {
		goneAt = now
	}
	if r.goneAt.IsZero() || goneAt.Before(r.goneAt) {
		r.goneAt = goneAt
	}
}

func (r *record) isSilent(now time.Time) bool { return !r.silentAt.IsZero() && !now.Before(r.silentAt) }

// isAlive reports whether the host is neither silent nor reported gone by its monitors. A leaving host can be alive here; Table.Alive omits it.
func (r *record) isAlive(now time.Time) bool {
	return !r.isSilent(now) && (r.goneAt.IsZero() || now.Before(r.goneAt))
}

// Touch records that a message other than a heartbeat was received from a host.
// It returns false if a heartbeat is needed first, because the host is not in
// the table, has restarted or has expired.
func (t *Table) Touch(host model.HostName, incarnation int64, now time.Time) bool {
	before := t.hosts[host]
	if before == nil || before.heartbeat.Incarnation != incarnation || !before.isAlive(now) {
		return false
	}
	before.hear(now)
	return true
}

// Beat applies a beat and returns false if an announcement is needed first, as Touch
// does.
func (t *Table) Beat(beat Beat, now time.Time) bool {
	known := t.hosts[beat.Host]
	if known == nil || known.heartbeat.Incarnation != beat.Incarnation {
		return false
	}
	known.heartbeat.Interval, known.heartbeat.IsMonitored = beat.Interval, beat.IsMonitored
	known.hear(now)
	return true
}

// Alive returns the hosts that have not expired and are not leaving, by name.
func (t *Table) Alive(now time.Time) []Heartbeat {
	alive := make([]Heartbeat, 0, len(t.sorted))
	for _, host := range t.sorted {
		if host.isUsable(now) {
			alive = append(alive, host.heartbeat)
		}
	}
	return alive
}

// Leaving returns the hosts that have not expired and are leaving, by name.
func (t *Table) Leaving(now time.Time) []Heartbeat {
	var leaving []Heartbeat
	for _, host := range t.sorted {
		if host.heartbeat.IsLeaving && host.isAlive(now) {
			leaving = append(leaving, host.heartbeat)
		}
	}
	return leaving
}

// usable returns the records of the hosts that Alive returns.
func (t *Table) usable(now time.Time) []*record {
	usable := make([]*record, 0, len(t.sorted))
	for _, host := range t.sorted {
		if host.isUsable(now) {
			usable = append(usable, host)
		}
	}
	return usable
}

func (r *record) isUsable(now time.Time) bool { return !r.heartbeat.IsLeaving && r.isAlive(now) }

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

// Limit returns at most a number of hosts. Each turn begins where the previous one ended,
// so that all hosts are returned equally often.
func Limit(hosts []Heartbeat, limit int, turn uint64) []Heartbeat {
	if len(hosts) <= limit {
		return hosts
	}
	first := int(turn * uint64(limit) % uint64(len(hosts)))
	return slices.Concat(hosts[first:], hosts[:first])[:limit]
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
