// Package gossip exchanges heartbeats and load reports between entry hosts in
// UDP datagrams.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/quota"
	"filberthold/steer"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 8 << 10
	// maxInterval bounds the time between heartbeats that a host may announce.
	maxInterval = time.Minute
	// maxLoggedHosts bounds the hosts that a log line names: many are gone at once when
	// an availability zone is lost.
	maxLoggedHosts = 16
)

// Callbacks are the functions of the host that a Transport calls.
type Callbacks struct {
	// Heartbeat returns the current heartbeat of this host.
	Heartbeat func() member.Heartbeat
	// HostsChanged is called after the hosts that are alive, ready or leaving have changed.
	HostsChanged func()
	// Loads returns the request counts of this host's load report: those that
	// changed since the last report, or all that are not 0 if isFull is true.
	Loads func(isFull bool) []steer.Load
	// ApplyLoads applies the load report of another host.
	ApplyLoads func(host model.HostName, loads []steer.Load, isFull bool)
	// IssuePermit answers another host's request for a permit.
	IssuePermit func(request steer.PermitRequest) steer.Permit
	// ApplyLimitNews applies what another host knows of an endpoint's limit.
	ApplyLimitNews func(news steer.LimitNews)
	// LimitNews returns the limits for this host's load reports.
	LimitNews func() []steer.LimitNews
	// RetryNews returns the retries for this host's load reports.
	RetryNews func() []steer.RetryNews
	// ApplyRetryNews applies what a run of another host tells of its retries.
	ApplyRetryNews func(run member.Run, news []steer.RetryNews)
	// QuotaReport returns the recent requests of this host for its region, until the next
	// call after interval. It and the two below are nil where no quotas are in force.
	QuotaReport func(interval time.Duration) []quota.Entry
	// QuotaTotals returns the recent requests of this host's region, and the number of
	// hosts of which they are known.
	QuotaTotals func() (int, []quota.Entry)
	// ApplyQuota applies the report of another host, or of another region.
	ApplyQuota func(source quota.Source, entries []quota.Entry)
}

// Transport sends and receives heartbeats and load reports. It is safe for
// concurrent use.
type Transport struct {
	log       *slog.Logger
	port      uint16
	conn      *net.UDPConn
	callbacks Callbacks
	// address is that of this host, to which it sends no messages.
	address  netip.Addr
	mu       sync.Mutex
	detector *member.Detector
	// own is the state of this host at the last tick.
	own member.Heartbeat
	// pendingPermits holds the channel for the answer to each permit request that
	// waits for it, by the request's ID.
	pendingPermits map[uint64]chan steer.Permit
	lastPermitID   uint64
}

// Listen opens the UDP port on an address. The transport sends to the same port
// of the other hosts.
func Listen(log *slog.Logger, address netip.AddrPort, table *member.Table, callbacks Callbacks) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	return newTransport(log, address, conn, table, callbacks), nil
}

func newTransport(log *slog.Logger, address netip.AddrPort, conn *net.UDPConn, table *member.Table, callbacks Callbacks) *Transport {
	return &Transport{
		log: log, port: address.Port(), conn: conn, callbacks: callbacks, address: address.Addr(), detector: member.NewDetector(table),
		own: callbacks.Heartbeat(), pendingPermits: make(map[uint64]chan steer.Permit),
	}
}

// AddAddresses adds addresses of possible hosts and asks the new ones at once for answers.
func (t *Transport) AddAddresses(addresses []netip.Addr) {
	now := time.Now()
	t.mu.Lock()
	t.detector.Table().AddAddresses(addresses, now)
	sends := t.detector.ContactNew(t.own, now)
	t.mu.Unlock()
	t.send(sends)
}

// Alive returns the other hosts that are alive.
func (t *Transport) Alive() []member.Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.Table().Alive(time.Now())
}

// Leaving returns the other hosts that are shutting down and still answer.
func (t *Transport) Leaving() []member.Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.Table().Leaving(time.Now())
}

// Run sends and receives messages until ctx ends. The address is free when it
// returns.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = t.conn.Close()
	})
	group.Go(func() error { return t.heartbeatLoop(ctx) })
	group.Go(func() error { return t.receiveLoop(ctx) })
	group.Go(func() error { return t.loadReportLoop(ctx) })
	err := group.Wait()
	// Wait has cancelled ctx.
	<-closed
	if err != nil {
		return fmt.Errorf("exchange heartbeats: %w", err)
	}
	return nil
}

// heartbeatLoop runs the failure detection until ctx ends.
func (t *Transport) heartbeatLoop(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		t.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *Transport) tick() {
	own := t.callbacks.Heartbeat()
	t.mu.Lock()
	t.own = own
	sends := t.detector.Tick(own, time.Now())
	changes := t.detector.TakeChanges()
	t.mu.Unlock()
	t.send(sends)
	t.report(changes)
}

// SendHeartbeat announces a changed state to all hosts immediately.
func (t *Transport) SendHeartbeat() {
	own := t.callbacks.Heartbeat()
	t.mu.Lock()
	t.own = own
	sends := t.detector.Announce(own, time.Now())
	t.mu.Unlock()
	t.send(sends)
}

// report logs changed beliefs about other hosts and applies them.
func (t *Transport) report(changes member.Changes) {
	if changes.IsEmpty() {
		return
	}
	for _, group := range []struct {
		message string
		hosts   []model.HostName
	}{
		{"hosts are silent", changes.Silent},
		{"hosts were reported gone by their monitors", changes.Reported},
		{"hosts are back", changes.Returned},
	} {
		if len(group.hosts) > 0 {
			t.log.Info(group.message, "count", len(group.hosts), "peers", group.hosts[:min(len(group.hosts), maxLoggedHosts)])
		}
	}
	t.callbacks.HostsChanged()
}

// send sends the messages of the detector.
func (t *Transport) send(sends []member.Send) {
	for _, send := range sends {
		if len(send.To) > 0 {
			t.sendTo(send.To, newDatagram(send.Message))
		}
	}
}

func (t *Transport) sendTo(addresses []netip.Addr, message datagram) {
	content, err := cbor.Marshal(message)
	if err != nil {
		t.log.Error("message to hosts not encoded", "error", err)
		return
	}
	for _, address := range addresses {
		if address == t.address {
			continue
		}
		// Later messages replace a lost one, and an unreachable host is detected
		// by its missing heartbeats.
		_, _ = t.conn.WriteToUDPAddrPort(content, netip.AddrPortFrom(address, t.port))
	}
}

func (t *Transport) receiveLoop(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			t.log.Warn("message not received", "error", err)
			continue
		}
		message, err := decode(buffer[:count])
		if err != nil {
			t.log.Warn("message not decoded", "from", from.String(), "error", err)
			continue
		}
		t.handleMessage(message, from.Addr().Unmap())
	}
}

func (t *Transport) handleMessage(message datagram, from netip.Addr) {
	for _, received := range message.memberMessages() {
		t.applyMember(received, from)
	}
	if message.PermitRequest != nil {
		t.answerPermit(*message.PermitRequest, from)
	}
	if message.PermitAnswer != nil {
		t.deliverPermit(*message.PermitAnswer)
	}
	if message.Loads != nil {
		t.applyLoads(*message.Loads, from)
	}
	if message.Quota != nil {
		t.applyQuota(*message.Quota, message.Loads)
	}
}

// applyMember applies a message of the failure detection.
func (t *Transport) applyMember(message member.Message, from netip.Addr) {
	t.mu.Lock()
	sends, hasChanged := t.detector.Receive(message, from, t.own, time.Now())
	changes := t.detector.TakeChanges()
	t.mu.Unlock()
	t.send(sends)
	t.report(changes)
	announcement, isAnnouncement := message.(member.Announcement)
	if !hasChanged || !isAnnouncement {
		return
	}
	heartbeat := announcement.Heartbeat
	t.log.Info("host changed", "peer", heartbeat.Host, "zone", heartbeat.Zone, "ready", heartbeat.IsReady,
		"leaving", heartbeat.IsLeaving, "incarnation", heartbeat.Incarnation, "configVersion", heartbeat.ConfigVersion)
	t.callbacks.HostsChanged()
}
