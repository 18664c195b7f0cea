// Package gossip exchanges what entry hosts say of themselves in datagrams.
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

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// interval is how often a host says hello to each other host.
	interval = 300 * time.Millisecond
	// fullMesh is the number of hosts up to which each hello goes to all of
	// them; with more hosts the interval grows, so that the bytes of a host
	// stay bounded.
	fullMesh = 16
	// maxPeers bounds the addresses in a hello, so that it fits a datagram.
	maxPeers = 64
	// maxDatagram is the size of the receive buffer.
	maxDatagram = 8 << 10
)

// Link sends and receives hellos. It is safe for concurrent use.
type Link struct {
	log  *slog.Logger
	port uint16
	conn *net.UDPConn
	// describe returns the present hello of this host.
	describe func() member.Hello
	// changed is called after a host came, left or changed its readiness.
	changed func()
	mu      sync.Mutex
	table   *member.Table
}

// Listen opens the port for hellos on an address.
func Listen(log *slog.Logger, address netip.AddrPort, table *member.Table, describe func() member.Hello, changed func()) (*Link, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for hosts: %w", err)
	}
	return &Link{log: log, port: address.Port(), conn: conn, describe: describe, changed: changed, table: table}, nil
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
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("exchange hellos: %w", err)
	}
	return nil
}

func (l *Link) sendLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		reached := l.Send()
		timer.Reset(interval * time.Duration(1+reached/fullMesh))
	}
}

// Send says hello to all known hosts at once and returns their number.
func (l *Link) Send() int {
	hello := l.describe()
	l.mu.Lock()
	addresses := l.table.Addresses(time.Now())
	for _, alive := range l.table.Alive(time.Now()) {
		if len(hello.Peers) < maxPeers {
			hello.Peers = append(hello.Peers, alive.IP)
		}
	}
	l.mu.Unlock()
	datagram, err := cbor.Marshal(hello)
	if err != nil {
		l.log.Error("hello not encoded", "error", err)
		return 0
	}
	for _, address := range addresses {
		if address == hello.IP {
			continue
		}
		// A lost hello is repeated soon; an unreachable host shows by its silence.
		_, _ = l.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(address, l.port))
	}
	return len(addresses)
}

func (l *Link) receiveLoop(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			l.log.Warn("hello not received", "error", err)
			continue
		}
		hello, err := Decode(buffer[:count])
		if err != nil {
			l.log.Warn("hello not understood", "from", from.String(), "error", err)
			continue
		}
		l.observe(hello)
	}
}

func (l *Link) observe(hello member.Hello) {
	l.mu.Lock()
	hasChanged := l.table.Observe(hello, time.Now())
	l.mu.Unlock()
	if !hasChanged {
		return
	}
	l.log.Info("host changed", "peer", hello.Host, "zone", hello.Zone, "ready", hello.IsReady,
		"leaving", hello.IsLeaving, "incarnation", hello.Incarnation, "configVersion", hello.ConfigVersion)
	l.changed()
}

// Decode decodes a hello and checks what the table relies on.
func Decode(datagram []byte) (member.Hello, error) {
	var hello member.Hello
	if err := cbor.Unmarshal(datagram, &hello); err != nil {
		return member.Hello{}, fmt.Errorf("decode hello: %w", err)
	}
	if hello.Host == "" || !hello.IP.IsValid() {
		return member.Hello{}, errors.New("decode hello: host or address is missing")
	}
	return hello, nil
}
