// Package gossip exchanges heartbeats and load reports between entry hosts in
// UDP datagrams.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/steer"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// maxPeers bounds the addresses in a heartbeat, which must fit a datagram.
	maxPeers = 64
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 8 << 10
)

// Callbacks are the functions of the host that a Transport calls.
type Callbacks struct {
	// Heartbeat returns the current heartbeat of this host.
	Heartbeat func() member.Heartbeat
	// HostsChanged is called after a heartbeat for which Table.Observe reports a
	// change. It is not called when a host expires.
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
}

// datagram is one message between hosts. One of the pointers is set.
type datagram struct {
	Heartbeat *member.Heartbeat `cbor:"1,keyasint,omitempty"`
	Loads     *loadReport       `cbor:"2,keyasint,omitempty"`
	// RequestsHeartbeat is true if the receiver should send its heartbeat to the
	// sender.
	RequestsHeartbeat bool           `cbor:"3,keyasint,omitempty"`
	PermitRequest     *permitRequest `cbor:"4,keyasint,omitempty"`
	PermitAnswer      *permitAnswer  `cbor:"5,keyasint,omitempty"`
}

// loadReport holds the number of requests that a host has in flight at
// endpoints.
type loadReport struct {
	Host        model.HostName `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"6,keyasint,omitempty"`
	// IsFull is true if the host has no requests at endpoints that are missing in
	// the report. Otherwise their counts have not changed.
	IsFull bool `cbor:"2,keyasint,omitempty"`
	// Counts holds the number of requests at the endpoint with the same index in
	// Endpoints.
	Endpoints []steer.EndpointID `cbor:"3,keyasint,omitempty"`
	Counts    []byte             `cbor:"4,keyasint,omitempty"`
	// Limits holds recent changes of the limits of endpoints that the host owns.
	Limits []steer.LimitNews `cbor:"7,keyasint,omitempty"`
}

// Transport sends and receives heartbeats and load reports. It is safe for
// concurrent use.
type Transport struct {
	log       *slog.Logger
	port      uint16
	conn      *net.UDPConn
	callbacks Callbacks
	mu        sync.Mutex
	table     *member.Table
	// lastHeartbeat is the last broadcast heartbeat without its peers.
	lastHeartbeat member.Heartbeat
	// remainingRepeats is the number of rounds in which lastHeartbeat is still
	// sent to all hosts.
	remainingRepeats int
	// loadSentAt holds the time of the last load report to an address. Entries
	// older than the heartbeat interval are dropped.
	loadSentAt map[netip.Addr]time.Time
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
	return &Transport{log: log, port: address.Port(), conn: conn, callbacks: callbacks, table: table, loadSentAt: make(map[netip.Addr]time.Time), pendingPermits: make(map[uint64]chan steer.Permit)}, nil
}

// AddAddresses adds addresses of possible hosts, to which heartbeats are sent.
func (t *Transport) AddAddresses(addresses []netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.AddAddresses(addresses, time.Now())
}

// Alive returns the other hosts that are alive.
func (t *Transport) Alive() []member.Heartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Alive(time.Now())
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

func (t *Transport) heartbeatLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round := 0; ; round++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		t.broadcastHeartbeat(round%peerListEvery == 0)
		timer.Reset(heartbeatInterval(len(t.Alive())))
	}
}

// SendHeartbeat sends a heartbeat immediately. All hosts get it if it has
// changed.
func (t *Transport) SendHeartbeat() { t.broadcastHeartbeat(false) }

func (t *Transport) broadcastHeartbeat(listsPeers bool) {
	now := time.Now()
	heartbeat := t.callbacks.Heartbeat()
	t.mu.Lock()
	alive := t.table.Alive(now)
	heartbeat.Interval = heartbeatInterval(len(alive))
	toAll := t.mustBroadcast(heartbeat) || listsPeers
	for _, other := range alive {
		if listsPeers && len(heartbeat.Peers) < maxPeers {
			heartbeat.Peers = append(heartbeat.Peers, other.IP)
		}
	}
	maps.DeleteFunc(t.loadSentAt, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) >= heartbeat.Interval })
	var addresses []netip.Addr
	for _, address := range t.table.Addresses(now) {
		// A load report already shows that this host is alive.
		if _, wasSentLoad := t.loadSentAt[address]; toAll || !wasSentLoad {
			addresses = append(addresses, address)
		}
	}
	t.mu.Unlock()
	t.sendTo(addresses, heartbeat.IP, datagram{Heartbeat: &heartbeat})
}

// sendHeartbeatTo sends a heartbeat to one host, and requests its heartbeat if
// requestsHeartbeat is true.
func (t *Transport) sendHeartbeatTo(address netip.Addr, requestsHeartbeat bool) {
	heartbeat := t.callbacks.Heartbeat()
	heartbeat.Interval = heartbeatInterval(len(t.Alive()))
	t.sendTo([]netip.Addr{address}, heartbeat.IP, datagram{Heartbeat: &heartbeat, RequestsHeartbeat: requestsHeartbeat})
}

// mustBroadcast reports whether a heartbeat must be sent to all hosts, because
// it changed or its repetitions have not ended.
func (t *Transport) mustBroadcast(heartbeat member.Heartbeat) bool {
	heartbeat.Peers = nil
	if !reflect.DeepEqual(heartbeat, t.lastHeartbeat) {
		t.lastHeartbeat = heartbeat
		t.remainingRepeats = heartbeatRepeats
	}
	if t.remainingRepeats == 0 {
		return false
	}
	t.remainingRepeats--
	return true
}

func (t *Transport) sendTo(addresses []netip.Addr, self netip.Addr, message datagram) {
	content, err := cbor.Marshal(message)
	if err != nil {
		t.log.Error("message to hosts not encoded", "error", err)
		return
	}
	for _, address := range addresses {
		if address == self {
			continue
		}
		// Later messages replace a lost one, and an unreachable host is detected
		// by its missing heartbeats.
		_, _ = t.conn.WriteToUDPAddrPort(content, netip.AddrPortFrom(address, t.port))
	}
}

// loadReportLoop sends load reports to the hosts that are alive until ctx ends.
func (t *Transport) loadReportLoop(ctx context.Context) error {
	ticker := time.NewTicker(loadRoundInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		t.sendLoadReports(round)
	}
}

func (t *Transport) sendLoadReports(round int) {
	heartbeat := t.callbacks.Heartbeat()
	var sameRegion, otherRegions []netip.Addr
	for _, alive := range t.Alive() {
		if alive.Region == heartbeat.Region {
			sameRegion = append(sameRegion, alive.IP)
			continue
		}
		otherRegions = append(otherRegions, alive.IP)
	}
	if rounds := loadReportRounds(len(sameRegion), sameRegionPerRound, 1); isDue(round, rounds) {
		isFull := isFullReportDue(round, rounds)
		t.sendLoadReport(heartbeat, sameRegion, t.callbacks.Loads(isFull), isFull)
	}
	if rounds := loadReportRounds(len(otherRegions), otherRegionsPerRound, minOtherRegionsRounds); isDue(round, rounds) {
		t.sendLoadReport(heartbeat, otherRegions, t.callbacks.Loads(true), true)
	}
}

func (t *Transport) sendLoadReport(heartbeat member.Heartbeat, addresses []netip.Addr, loads []steer.Load, isFull bool) {
	limits := t.callbacks.LimitNews()
	if len(loads) == 0 && len(limits) == 0 && !isFull {
		return
	}
	report := &loadReport{Host: heartbeat.Host, Incarnation: heartbeat.Incarnation, IsFull: isFull, Limits: limits}
	for _, load := range loads {
		report.Endpoints = append(report.Endpoints, load.Endpoint)
		report.Counts = append(report.Counts, load.Count)
	}
	t.sendTo(addresses, heartbeat.IP, datagram{Loads: report})
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.loadSentAt[address] = now
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
	if message.Heartbeat != nil {
		t.applyHeartbeat(*message.Heartbeat)
	}
	if message.RequestsHeartbeat {
		t.sendHeartbeatTo(from, false)
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
}

func (t *Transport) applyLoads(report loadReport, from netip.Addr) {
	t.mu.Lock()
	isAlive := t.table.Touch(report.Host, report.Incarnation, time.Now())
	t.mu.Unlock()
	if !isAlive {
		t.sendHeartbeatTo(from, true)
	}
	loads := make([]steer.Load, len(report.Endpoints))
	for i, endpoint := range report.Endpoints {
		loads[i] = steer.Load{Endpoint: endpoint, Count: report.Counts[i]}
	}
	t.callbacks.ApplyLoads(report.Host, loads, report.IsFull)
	for _, news := range report.Limits {
		t.callbacks.ApplyLimitNews(news)
	}
}

func (t *Transport) applyHeartbeat(heartbeat member.Heartbeat) {
	t.mu.Lock()
	hasChanged := t.table.Observe(heartbeat, time.Now())
	if hasChanged {
		// A host that has just started needs a heartbeat of this host.
		delete(t.loadSentAt, heartbeat.IP)
	}
	t.mu.Unlock()
	if !hasChanged {
		return
	}
	t.log.Info("host changed", "peer", heartbeat.Host, "zone", heartbeat.Zone, "ready", heartbeat.IsReady,
		"leaving", heartbeat.IsLeaving, "incarnation", heartbeat.Incarnation, "configVersion", heartbeat.ConfigVersion)
	t.callbacks.HostsChanged()
}

// decode decodes a message and checks the properties that handle relies on.
func decode(content []byte) (datagram, error) {
	var message datagram
	if err := cbor.Unmarshal(content, &message); err != nil {
		return datagram{}, fmt.Errorf("decode message: %w", err)
	}
	if message.Heartbeat != nil && (message.Heartbeat.Host == "" || !message.Heartbeat.IP.IsValid()) {
		return datagram{}, errors.New("decode heartbeat: host or address is missing")
	}
	if message.Loads != nil && len(message.Loads.Endpoints) != len(message.Loads.Counts) {
		return datagram{}, errors.New("decode load report: endpoints and counts differ in number")
	}
	if message.Loads != nil {
		for _, news := range message.Loads.Limits {
			if err := news.Check(); err != nil {
				return datagram{}, fmt.Errorf("decode limit in load report: %w", err)
			}
		}
	}
	if message.PermitRequest != nil {
		if err := message.PermitRequest.News.Check(); err != nil {
			return datagram{}, fmt.Errorf("decode permit request: %w", err)
		}
	}
	if message.PermitAnswer != nil {
		if err := message.PermitAnswer.Permit.Check(); err != nil {
			return datagram{}, fmt.Errorf("decode permit: %w", err)
		}
	}
	return message, nil
}
