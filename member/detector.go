package member

import (
	"net/netip"
	"slices"
	"time"

	"filberthold/hashes"
	"filberthold/model"
)

const (
	// TickInterval is the time between two calls of Detector.Tick, and between the
	// heartbeats of a host.
	TickInterval = 300 * time.Millisecond
	// maxDirectHosts is the number of other hosts up to which each host sends its
	// heartbeats to all others. With more, it sends them to its monitors only, so that
	// their number does not grow with the number of hosts.
	maxDirectHosts = 32
	// monitorsPerRegion is the number of hosts in each region that monitor a host. Each
	// region finds out by itself which hosts it can reach.
	monitorsPerRegion = 2
	// announcementRepeats is how often a changed state is announced to all hosts, because
	// messages may be lost.
	announcementRepeats = 3
	// refreshTicks is the number of ticks between two refreshes. With each refresh, a host
	// asks another one for an answer from which it expects no message.
	refreshTicks = 4
	// answerTimeout is the time for such an answer, and maxUnanswered the number of
	// requests without one after which the host is silent.
	answerTimeout = 800 * time.Millisecond
	maxUnanswered = 2
	// contactsPerRefresh is the number of addresses from which no host answers yet that
	// are tried again with each refresh.
	contactsPerRefresh = 8
	// peerListRefreshes is the number of refreshes from one list of peers to the next.
	peerListRefreshes = 2
	// maxPeers bounds the addresses in an announcement, which must fit a datagram.
	maxPeers = 64
	// maxSuspects bounds the hosts in a Suspicion, which must fit a datagram.
	maxSuspects = 64
	// maxTickDelay is how late a Tick may be. After a longer pause of this process, the
	// messages that wait in its socket must be read before a host counts as silent.
	maxTickDelay = 300 * time.Millisecond
	// orphanTime is how long after a host is gone those are looked for which it monitored.
	orphanTime = 2 * time.Second
	// verifyInterval is the least time between two requests to all hosts of a host that
	// hears none of those which it monitors.
	verifyInterval = 5 * time.Second
)

// Detector finds out which hosts are alive. In a small fleet each host sends heartbeats
// to all others. In a larger one it sends them to a few monitors in each region, which
// tell their region when it falls silent; a host that is suspected wrongly announces
// itself. A refresh at a low rate covers hosts that were lost together with their
// monitors. A Detector does no I/O and is not safe for concurrent use.
type Detector struct {
	table *Table
	// announced is the state that was announced last, and remainingRepeats how often it
	// is still repeated.
	announced        Heartbeat
	remainingRepeats int
	// monitors are the addresses of the hosts that monitor this one.
	monitors []netip.Addr
	// sentAt holds when a message that shows that this host is alive was last sent to an
	// address, besides the messages of Tick.
	sentAt     map[netip.Addr]time.Time
	tick       int
	lastTickAt time.Time
	// announceAfter is the time before which this host does not answer a suspicion again.
	announceAfter time.Time
	// verifyAfter is the time before which this host does not check all hosts again.
	verifyAfter time.Time
	changes     Changes
	// goneSince holds when the hosts that are gone were found to be.
	goneSince map[model.HostName]time.Time
}

// NewDetector returns a detector that knows the hosts in a table.
func NewDetector(table *Table) *Detector {
	return &Detector{table: table, sentAt: make(map[netip.Addr]time.Time), goneSince: make(map[model.HostName]time.Time)}
}

// Table returns the table of hosts.
func (d *Detector) Table() *Table { return d.table }

// RecordSent records that a message was sent to addresses by which their hosts see that
// this host is alive.
func (d *Detector) RecordSent(addresses []netip.Addr, now time.Time) {
	for _, address := range addresses {
		d.sentAt[address] = now
	}
}

// TakeChanges returns the changes of belief since the last call.
func (d *Detector) TakeChanges() Changes {
	taken := d.changes
	d.changes = Changes{}
	return taken
}

// Tick returns the messages that are due. It must be called every TickInterval with the
// current state of this host.
func (d *Detector) Tick(own Heartbeat, now time.Time) []Send {
	d.excusePause(now)
	sends := d.findSilent(own, now)
	alive := d.table.usable(now)
	own.IsMonitored = len(alive) > maxDirectHosts
	own.Interval = TickInterval
	for address, at := range d.sentAt {
		if now.Sub(at) >= TickInterval {
			delete(d.sentAt, address)
		}
	}
	if own.IsMonitored {
		sends = append(sends, d.tickMonitored(own, alive, now)...)
	} else {
		sends = append(sends, d.tickDirect(own, alive, now)...)
	}
	d.tick++
	return sends
}

// tickDirect returns the beat to all hosts, or the announcement if the state has changed
// or lists peers. Hosts that got another message in the meantime need no beat.
func (d *Detector) tickDirect(own Heartbeat, alive []*record, now time.Time) []Send {
	d.monitors = nil
	sends := d.contact(own, d.table.newContacts(now), now)
	listsPeers := d.tick%(refreshTicks*peerListRefreshes) == 0
	if d.mustAnnounce(own) || listsPeers {
		if listsPeers {
			own.Peers = peersOf(alive)
		}
		return append(sends, Send{To: d.table.Addresses(now), Message: Announcement{Heartbeat: own}})
	}
	var heard []netip.Addr
	for _, host := range d.table.sorted {
		// A host that is leaving still needs the others for the requests that it finishes.
		if _, wasSent := d.sentAt[host.heartbeat.IP]; !wasSent && host.isAlive(now) {
			heard = append(heard, host.heartbeat.IP)
		}
	}
	unheard := d.table.oldestContacts(now, maxDirectHosts)
	return append(sends, newBeat(own, heard), Send{To: unheard, Message: Announcement{Heartbeat: own}})
}

func newBeat(own Heartbeat, to []netip.Addr) Send {
	return Send{To: to, Message: Beat{Host: own.Host, Incarnation: own.Incarnation, Interval: own.Interval, IsMonitored: own.IsMonitored}}
}

// tickMonitored returns the beats to the monitors, a changed state to all hosts, and the
// refresh.
func (d *Detector) tickMonitored(own Heartbeat, alive []*record, now time.Time) []Send {
	sends := d.selectMonitors(own, alive)
	if d.mustAnnounce(own) {
		sends = append(sends, d.announceToAll(own, now)...)
	} else {
		sends = append(sends, d.beat(own))
	}
	if d.tick%refreshTicks == 0 {
		sends = append(sends, d.refresh(own, alive, now)...)
	}
	return append(sends, d.contact(own, d.table.newContacts(now), now)...)
}

// beat returns the beat to the monitors that got no other message in the meantime.
func (d *Detector) beat(own Heartbeat) Send {
	var addresses []netip.Addr
	for _, address := range d.monitors {
		if _, wasSent := d.sentAt[address]; !wasSent {
			addresses = append(addresses, address)
		}
	}
	return newBeat(own, addresses)
}

// Announce returns the announcement of a state to all hosts, without waiting for the
// next tick.
func (d *Detector) Announce(own Heartbeat, now time.Time) []Send {
	alive := d.table.usable(now)
	own.IsMonitored = len(alive) > maxDirectHosts
	own.Interval = TickInterval
	d.mustAnnounce(own)
	return d.announceToAll(own, now)
}

// announceToAll returns the announcement to all hosts, also to those that may have heard
// of this one and were not heard yet. Only monitors may expect further messages if the
// host is monitored.
func (d *Detector) announceToAll(own Heartbeat, now time.Time) []Send {
	var monitors, others []netip.Addr
	for _, address := range d.table.Addresses(now) {
		if !own.IsMonitored || slices.Contains(d.monitors, address) {
			monitors = append(monitors, address)
			continue
		}
		others = append(others, address)
	}
	toOthers := own
	toOthers.Interval = 0
	return []Send{
		{To: monitors, Message: Announcement{Heartbeat: own}},
		{To: others, Message: Announcement{Heartbeat: toOthers}},
	}
}

// mustAnnounce reports whether a state must be announced to all hosts, because it has
// changed or its repetitions have not ended.
func (d *Detector) mustAnnounce(own Heartbeat) bool {
	if !own.sameState(d.announced) {
		d.announced = own
		d.remainingRepeats = announcementRepeats
	}
	if d.remainingRepeats == 0 {
		return false
	}
	d.remainingRepeats--
	return true
}

// sameState reports whether two heartbeats tell the same of a host.
func (h Heartbeat) sameState(other Heartbeat) bool {
	return h.Host == other.Host && h.Zone == other.Zone && h.Region == other.Region && h.Incarnation == other.Incarnation &&
		h.IP == other.IP && h.CallerAddress == other.CallerAddress && h.ControlAddress == other.ControlAddress &&
		h.IsReady == other.IsReady && h.IsLeaving == other.IsLeaving && h.IsStoreReachable == other.IsStoreReachable &&
		h.ConfigVersion == other.ConfigVersion && h.LinkMbps == other.LinkMbps && h.IsMonitored == other.IsMonitored
}

// selectMonitors chooses the monitors of this host and returns the last beat to those
// that are none any more.
func (d *Detector) selectMonitors(own Heartbeat, alive []*record) []Send {
	before := d.monitors
	d.monitors = nil
	for _, monitor := range monitorsOf(own.Host, hashes.Sum(string(own.Host)), own.Zone, alive) {
		d.monitors = append(d.monitors, monitor.heartbeat.IP)
	}
	slices.SortFunc(d.monitors, netip.Addr.Compare)
	dismissed := slices.DeleteFunc(before, func(address netip.Addr) bool { return slices.Contains(d.monitors, address) })
	if len(dismissed) == 0 {
		return nil
	}
	own.Interval = 0
	return []Send{newBeat(own, dismissed)}
}

// refresh returns the requests to a host from which no message is expected, and to
// addresses from which none came.
func (d *Detector) refresh(own Heartbeat, alive []*record, now time.Time) []Send {
	if d.tick/refreshTicks%peerListRefreshes == 0 {
		own.Peers = peersOf(rotate(alive, d.tick))
	}
	own.Interval = 0
	sends := d.contact(own, d.table.oldestContacts(now, contactsPerRefresh), now)
	if host := d.table.unexpected(uint64(d.tick), now); host != nil {
		host.askedUntil = now.Add(answerTimeout)
		sends = append(sends, Send{To: []netip.Addr{host.heartbeat.IP}, Message: Announcement{Heartbeat: own, RequestsAnswer: true}})
	}
	return sends
}

// ContactNew returns the announcement to the addresses to which none was sent yet, without
// waiting for the next tick.
func (d *Detector) ContactNew(own Heartbeat, now time.Time) []Send {
	return d.contact(own, d.table.newContacts(now), now)
}

// contact returns the announcement to addresses from which no host has answered.
func (d *Detector) contact(own Heartbeat, addresses []netip.Addr, now time.Time) []Send {
	if len(addresses) == 0 {
		return nil
	}
	for _, address := range addresses {
		d.table.addresses[address].contactedAt = now
	}
	own.Interval = 0
	return []Send{{To: addresses, Message: Announcement{Heartbeat: own, RequestsAnswer: true}}}
}

// rotate returns the hosts from another one on with each turn.
func rotate(hosts []*record, turn int) []*record {
	if len(hosts) == 0 {
		return nil
	}
	first := turn * maxPeers % len(hosts)
	return slices.Concat(hosts[first:], hosts[:first])
}

func peersOf(hosts []*record) []netip.Addr {
	peers := make([]netip.Addr, 0, min(len(hosts), maxPeers))
	for _, host := range hosts[:min(len(hosts), maxPeers)] {
		peers = append(peers, host.heartbeat.IP)
	}
	return peers
}
