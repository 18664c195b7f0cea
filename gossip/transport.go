// Package gossip exchanges what entry hosts say of themselves in datagrams.
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
	// maxPeers bounds the addresses in a hello, so that it fits a datagram.
	maxPeers = 64
	// maxDatagram is the size of the receive buffer.
	maxDatagram = 8 << 10
)

// Callbacks is what a link asks and tells its host.
type Callbacks struct {
	// Heartbeat returns the present hello of this host.
	Heartbeat func() member.Heartbeat
	// HostsChanged is called after a host came, left or changed its readiness.
	HostsChanged func()
	// Loads returns the requests of this host that others have to know.
	Loads func(isFull bool) []steer.Load
	// ApplyLoads takes in the requests of another host.
	ApplyLoads func(host model.HostName, loads []steer.Load, isFull bool)
}

// datagram is one message between hosts; Hello or Loads is set.
type datagram struct {
	Hello *member.Heartbeat `cbor:"1,keyasint,omitempty"`
	Loads *loadMessage      `cbor:"2,keyasint,omitempty"`
	// Asks is true if the receiver should say hello to the sender.
	Asks bool `cbor:"3,keyasint,omitempty"`
}

// loadMessage says how many requests a host has at endpoints.
type loadMessage struct {
	Host        model.HostName `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"6,keyasint,omitempty"`
	IsFull      bool           `cbor:"2,keyasint,omitempty"`
	// Endpoints and Counts have the same length.
	Endpoints []steer.EndpointID `cbor:"3,keyasint,omitempty"`
	Counts    []byte             `cbor:"4,keyasint,omitempty"`
}

// Transport sends and receives hellos. It is safe for concurrent use.
type Transport struct {
	log    *slog.Logger
	port   uint16
	conn   *net.UDPConn
	events Callbacks
	mu     sync.Mutex
	table  *member.Table
	// lastHello is the last hello without its peers.
	lastHello member.Heartbeat
	// helloRepeats is in how many more rounds lastHello goes to all hosts.
	helloRepeats int
	// toldAt is when an address was last told of requests. Entries older than
	// the hello interval are dropped.
	toldAt map[netip.Addr]time.Time
}

// Listen opens the port for hellos on an address.
func Listen(log *slog.Logger, address netip.AddrPort, table *member.Table, events Callbacks) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	return &Transport{log: log, port: address.Port(), conn: conn, events: events, table: table, toldAt: make(map[netip.Addr]time.Time)}, nil
}

// AddAddresses adds addresses at which there may be hosts.
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

// Run sends and receives until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	group.Go(func() error { return t.sendLoop(ctx) })
	group.Go(func() error { return t.receiveLoop(ctx) })
	group.Go(func() error { return t.loadLoop(ctx) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("exchange hellos: %w", err)
	}
	return nil
}

func (t *Transport) sendLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round := 0; ; round++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		t.send(round%peersEvery == 0)
		timer.Reset(helloInterval(len(t.Alive())))
	}
}

// SendHeartbeat says hello to all known hosts at once.
func (t *Transport) SendHeartbeat() { t.send(false) }

func (t *Transport) send(namesPeers bool) {
	now := time.Now()
	hello := t.events.Heartbeat()
	t.mu.Lock()
	alive := t.table.Alive(now)
	hello.Interval = helloInterval(len(alive))
	toAll := t.mustTellAll(hello) || namesPeers
	for _, other := range alive {
		if namesPeers && len(hello.Peers) < maxPeers {
			hello.Peers = append(hello.Peers, other.IP)
		}
	}
	maps.DeleteFunc(t.toldAt, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) >= hello.Interval })
	var addresses []netip.Addr
	for _, address := range t.table.Addresses(now) {
		// A message about requests shows that this host is alive.
		if _, wasTold := t.toldAt[address]; toAll || !wasTold {
			addresses = append(addresses, address)
		}
	}
	t.mu.Unlock()
	t.sendTo(addresses, hello.IP, datagram{Hello: &hello})
}

// sayHello says hello to one host, and may ask for its hello.
func (t *Transport) sayHello(address netip.Addr, asks bool) {
	hello := t.events.Heartbeat()
	hello.Interval = helloInterval(len(t.Alive()))
	t.sendTo([]netip.Addr{address}, hello.IP, datagram{Hello: &hello, Asks: asks})
}

// mustTellAll reports whether a hello differs from the one that all hosts know.
func (t *Transport) mustTellAll(hello member.Heartbeat) bool {
	hello.Peers = nil
	if !reflect.DeepEqual(hello, t.lastHello) {
		t.lastHello = hello
		t.helloRepeats = helloRepeats
	}
	if t.helloRepeats == 0 {
		return false
	}
	t.helloRepeats--
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
		// A lost message is made up for soon; an unreachable host shows by its
		// silence.
		_, _ = t.conn.WriteToUDPAddrPort(content, netip.AddrPortFrom(address, t.port))
	}
}

// loadLoop tells the live hosts how many requests this host has where.
func (t *Transport) loadLoop(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		t.sendLoads(round)
	}
}

func (t *Transport) sendLoads(round int) {
	hello := t.events.Heartbeat()
	var near, far []netip.Addr
	for _, alive := range t.Alive() {
		if alive.Region == hello.Region {
			near = append(near, alive.IP)
			continue
		}
		far = append(far, alive.IP)
	}
	if rounds := loadRounds(len(near), nearPerRound, 1); isDue(round, rounds) {
		isFull := isFullDue(round, rounds)
		t.sendLoad(hello, near, t.events.Loads(isFull), isFull)
	}
	if rounds := loadRounds(len(far), farPerRound, leastFarRounds); isDue(round, rounds) {
		t.sendLoad(hello, far, t.events.Loads(true), true)
	}
}

func (t *Transport) sendLoad(hello member.Heartbeat, addresses []netip.Addr, loads []steer.Load, isFull bool) {
	if len(loads) == 0 && !isFull {
		return
	}
	message := &loadMessage{Host: hello.Host, Incarnation: hello.Incarnation, IsFull: isFull}
	for _, load := range loads {
		message.Endpoints = append(message.Endpoints, load.Endpoint)
		message.Counts = append(message.Counts, load.Count)
	}
	t.sendTo(addresses, hello.IP, datagram{Loads: message})
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.toldAt[address] = now
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
			t.log.Warn("message not understood", "from", from.String(), "error", err)
			continue
		}
		t.take(message, from.Addr().Unmap())
	}
}

func (t *Transport) take(message datagram, from netip.Addr) {
	if message.Hello != nil {
		t.observe(*message.Hello)
	}
	if message.Asks {
		t.sayHello(from, false)
	}
	if message.Loads == nil {
		return
	}
	t.mu.Lock()
	isKnown := t.table.Touch(message.Loads.Host, message.Loads.Incarnation, time.Now())
	t.mu.Unlock()
	if !isKnown {
		t.sayHello(from, true)
	}
	loads := make([]steer.Load, len(message.Loads.Endpoints))
	for i, endpoint := range message.Loads.Endpoints {
		loads[i] = steer.Load{Endpoint: endpoint, Count: message.Loads.Counts[i]}
	}
	t.events.ApplyLoads(message.Loads.Host, loads, message.Loads.IsFull)
}

func (t *Transport) observe(hello member.Heartbeat) {
	t.mu.Lock()
	hasChanged := t.table.Observe(hello, time.Now())
	if hasChanged {
		// A host that has just started does not know this one.
		delete(t.toldAt, hello.IP)
	}
	t.mu.Unlock()
	if !hasChanged {
		return
	}
	t.log.Info("host changed", "peer", hello.Host, "zone", hello.Zone, "ready", hello.IsReady,
		"leaving", hello.IsLeaving, "incarnation", hello.Incarnation, "configVersion", hello.ConfigVersion)
	t.events.HostsChanged()
}

// decode decodes a message and checks what its readers rely on.
func decode(content []byte) (datagram, error) {
	var message datagram
	if err := cbor.Unmarshal(content, &message); err != nil {
		return datagram{}, fmt.Errorf("decode message: %w", err)
	}
	if message.Hello != nil && (message.Hello.Host == "" || !message.Hello.IP.IsValid()) {
		return datagram{}, errors.New("decode hello: host or address is missing")
	}
	if message.Loads != nil && len(message.Loads.Endpoints) != len(message.Loads.Counts) {
		return datagram{}, errors.New("decode loads: endpoints and counts differ in number")
	}
	return message, nil
}
