package fakes

import (
	"errors"
	"net"
	"os"
	"sync"
)

// connections holds the open connections of an Upstream.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listener returns a listener for connections that BlackholeConnections
// affects.
func (u *Upstream) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, connections: &u.connections}
}

// BlackholeConnections blackholes all open connections permanently: nothing
// that is sent on them arrives any more, in either direction, and they report
// no error. New connections work.
func (u *Upstream) BlackholeConnections() {
	u.connections.mu.Lock()
	defer u.connections.mu.Unlock()
	for connection := range u.connections.open {
		connection.blackhole()
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
	accepted := &connection{Conn: inner, owner: l.connections, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	if l.connections.open == nil {
		l.connections.open = make(map[*connection]struct{})
	}
	l.connections.open[accepted] = struct{}{}
	return accepted, nil
}

// connection is the upstream's end of a connection. A blackholed one discards
// what is written and what arrives. Closing it does not close the other end.
type connection struct {
	net.Conn
	owner         *connections
	blackholed    chan struct{}
	blackholeOnce sync.Once
	closed        chan struct{}
	closedOnce    sync.Once
}

func (c *connection) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

func (c *connection) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a blackholed connection it discards what
// arrives, so that the other end can still write, as if into the buffers of a
// network.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if !c.isBlackholed() || errors.Is(err, os.ErrDeadlineExceeded) {
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
	if c.isBlackholed() {
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
	if c.isBlackholed() {
		return nil
	}
	return c.Conn.Close()
}
