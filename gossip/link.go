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

// Events is what a link asks and tells its host.
type Events struct {
	// Describe returns the present hello of this host.
	Describe func() member.Hello
	// Changed is called after a host came, left or changed its readiness.
	Changed func()
	// Loads returns the requests of this host that others have to know.
	Loads func(isFull bool) []steer.Load
	// TakeLoads takes in the requests of another host.
	TakeLoads func(host model.HostName, loads []steer.Load, isFull bool)
}

// datagram is one message between hosts; Hello or Loads is set.
type datagram struct {
	Hello *member.Hello `cbor:"1,keyasint,omitempty"`
	Loads *loadMessage  `cbor:"2,keyasint,omitempty"`
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

// Link sends and receives hellos. It is safe for concurrent use.
type Link struct {
	log    *slog.Logger
	port   uint16
	conn   *net.UDPConn
	events Events
	mu     sync.Mutex
	table  *member.Table
	// lastHello is the last hello without its peers.
	lastHello member.Hello
	// helloRepeats is in how many more rounds lastHello goes to all hosts.
	helloRepeats int
	// toldAt is when an address was last told of requests. Entries older than
	// the hello interval are dropped.
	toldAt map[netip.Addr]time.Time
}

// Listen opens the port for hellos on an address.
func Listen(log *slog.Logger, address netip.AddrPort, table *member.Table, events Events) (*Link, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	return &Link{log: log, port: address.Port(), conn: conn, events: events, table: table, toldAt: make(map[netip.Addr]time.Time)}, nil
}

// Contact adds addresses at which there may be hosts.
func (l *Link) Contact(addresses []netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Contact(addresses, time.Now())
}

// Alive returns the other hosts that are alive.
func (l *Link) Alive() []member.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Alive(time.Now())
}

// Run sends and receives until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	group.Go(func() error { return l.sendLoop(ctx) })
	group.Go(func() error { return l.receiveLoop(ctx) })
	group.Go(func() error { return l.loadLoop(ctx) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("exchange hellos: %w", err)
	}
	return nil
}

func (l *Link) sendLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round := 0; ; round++ {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		l.send(round%peersEvery == 0)
		timer.Reset(helloInterval(len(l.Alive())))
	}
}

// Send says hello to all known hosts at once.
func (l *Link) Send() { l.send(false) }

func (l *Link) send(namesPeers bool) {
	now := time.Now()
	hello := l.events.Describe()
	l.mu.Lock()
	alive := l.table.Alive(now)
	hello.Interval = helloInterval(len(alive))
	toAll := l.mustTellAll(hello) || namesPeers
	for _, other := range alive {
		if namesPeers && len(hello.Peers) < maxPeers {
			hello.Peers = append(hello.Peers, other.IP)
		}
	}
	maps.DeleteFunc(l.toldAt, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) >= hello.Interval })
	var addresses []netip.Addr
	for _, address := range l.table.Addresses(now) {
		// A message about requests shows that this host is alive.
		if _, wasTold := l.toldAt[address]; toAll || !wasTold {
			addresses = append(addresses, address)
		}
	}
	l.mu.Unlock()
	l.sendTo(addresses, hello.IP, datagram{Hello: &hello})
}

// sayHello says hello to one host, and may ask for its hello.
func (l *Link) sayHello(address netip.Addr, asks bool) {
	hello := l.events.Describe()
	hello.Interval = helloInterval(len(l.Alive()))
	l.sendTo([]netip.Addr{address}, hello.IP, datagram{Hello: &hello, Asks: asks})
}

// mustTellAll reports whether a hello differs from the one that all hosts know.
func (l *Link) mustTellAll(hello member.Hello) bool {
	hello.Peers = nil
	if !reflect.DeepEqual(hello, l.lastHello) {
		l.lastHello = hello
		l.helloRepeats = helloRepeats
	}
	if l.helloRepeats == 0 {
		return false
	}
	l.helloRepeats--
	return true
}

func (l *Link) sendTo(addresses []netip.Addr, self netip.Addr, message datagram) {
	content, err := cbor.Marshal(message)
	if err != nil {
		l.log.Error("message to hosts not encoded", "error", err)
		return
	}
	for _, address := range addresses {
		if address == self {
			continue
		}
		// A lost message is made up for soon; an unreachable host shows by its
		// silence.
		_, _ = l.conn.WriteToUDPAddrPort(content, netip.AddrPortFrom(address, l.port))
	}
}

// loadLoop tells the live hosts how many requests this host has where.
func (l *Link) loadLoop(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		l.sendLoads(round)
	}
}

func (l *Link) sendLoads(round int) {
	hello := l.events.Describe()
	var near, far []netip.Addr
	for _, alive := range l.Alive() {
		if alive.Region == hello.Region {
			near = append(near, alive.IP)
			continue
		}
		far = append(far, alive.IP)
	}
	if rounds := loadRounds(len(near), nearPerRound, 1); isDue(round, rounds) {
		isFull := isFullDue(round, rounds)
		l.sendLoad(hello, near, l.events.Loads(isFull), isFull)
	}
	if rounds := loadRounds(len(far), farPerRound, leastFarRounds); isDue(round, rounds) {
		l.sendLoad(hello, far, l.events.Loads(true), true)
	}
}

func (l *Link) sendLoad(hello member.Hello, addresses []netip.Addr, loads []steer.Load, isFull bool) {
	if len(loads) == 0 && !isFull {
		return
	}
	message := &loadMessage{Host: hello.Host, Incarnation: hello.Incarnation, IsFull: isFull}
	for _, load := range loads {
		message.Endpoints = append(message.Endpoints, load.Endpoint)
		message.Counts = append(message.Counts, load.Count)
	}
	l.sendTo(addresses, hello.IP, datagram{Loads: message})
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range addresses {
		l.toldAt[address] = now
	}
}

func (l *Link) receiveLoop(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.log.Warn("message not received", "error", err)
			continue
		}
		message, err := decode(buffer[:count])
		if err != nil {
			l.log.Warn("message not understood", "from", from.String(), "error", err)
			continue
		}
		l.take(message, from.Addr().Unmap())
	}
}

func (l *Link) take(message datagram, from netip.Addr) {
	if message.Hello != nil {
		l.observe(*message.Hello)
	}
	if message.Asks {
		l.sayHello(from, false)
	}
	if message.Loads == nil {
		return
	}
	l.mu.Lock()
	isKnown := l.table.Touch(message.Loads.Host, message.Loads.Incarnation, time.Now())
	l.mu.Unlock()
	if !isKnown {
		l.sayHello(from, true)
	}
	loads := make([]steer.Load, len(message.Loads.Endpoints))
	for i, endpoint := range message.Loads.Endpoints {
		loads[i] = steer.Load{Endpoint: endpoint, Count: message.Loads.Counts[i]}
	}
	l.events.TakeLoads(message.Loads.Host, loads, message.Loads.IsFull)
}

func (l *Link) observe(hello member.Hello) {
	l.mu.Lock()
	hasChanged := l.table.Observe(hello, time.Now())
	if hasChanged {
		// A host that has just started does not know this one.
		delete(l.toldAt, hello.IP)
	}
	l.mu.Unlock()
	if !hasChanged {
		return
	}
	l.log.Info("host changed", "peer", hello.Host, "zone", hello.Zone, "ready", hello.IsReady,
		"leaving", hello.IsLeaving, "incarnation", hello.Incarnation, "configVersion", hello.ConfigVersion)
	l.events.Changed()
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
