package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// connections are the open connections of an upstream stand-in.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listener returns a listener whose connections Silence affects.
func (u *Upstream) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, connections: &u.connections}
}

// Silence makes all open connections silent for good: nothing that is sent on
// them arrives any more, in either direction, and they report no error. New
// connections work.
func (u *Upstream) Silence() {
	u.connections.mu.Lock()
	defer u.connections.mu.Unlock()
	for connection := range u.connections.open {
		connection.silence()
	}
}

type listener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &connection{Conn: inner, owner: l.connections, silent: make(chan struct{}), closed: make(chan struct{})}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	if l.connections.open == nil {
		l.connections.open = make(map[*connection]struct{})
	}
	l.connections.open[accepted] = struct{}{}
	return accepted, nil
}

// connection is the upstream's end of a connection. A silent one takes what
// is written and delivers nothing; closing it does not reach the other end.
type connection struct {
	net.Conn
	owner      *connections
	silent     chan struct{}
	silentOnce sync.Once
	closed     chan struct{}
	closedOnce sync.Once
}

func (c *connection) silence() { c.silentOnce.Do(func() { close(c.silent) }) }

func (c *connection) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a silent connection it discards what arrives,
// so that the other end can write as it can into the buffers of the network.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if !c.isSilent() || errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}

// Network is an in-memory network of named addresses. Its connections block
// on channels only, so it also works under testing/synctest.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	dials     int
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener)}
}

// Listen opens an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	opened := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = opened
	return opened
}

// Dials returns how many connections were opened.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Dial opens a connection; its signature is that of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	target, exists := n.listeners[address]
	n.mu.Unlock()
	if !exists {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	near, far := net.Pipe()
	select {
	case target.accepted <- far:
		n.mu.Lock()
		n.dials++
		n.mu.Unlock()
		return near, nil
	case <-target.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
	}
}

type memoryListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }
