package fakes

import (
	"errors"
	"net"
	"os"
	"sync"
)

// connections are the open connections of an upstream stand-in.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

// Listener returns a listener whose connections BlackholeConnections affects.
func (u *Upstream) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, connections: &u.connections}
}

// BlackholeConnections makes all open connections silent for good: nothing that is sent on
// them arrives any more, in either direction, and they report no error. New
// connections work.
func (u *Upstream) BlackholeConnections() {
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
