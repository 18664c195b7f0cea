// Package conns provides a pool of HTTP/1.1 connections to upstream endpoints.
// It checks that every response belongs to its request. It never retries a
// request: the transport of net/http retries some requests, and the caller's
// retry decisions would not take these attempts into account.
package conns

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"filberthold/memory"
)

const (
	// dialTimeout bounds the wait for a connection. An endpoint behind a network
	// partition does not respond at all.
	dialTimeout = 500 * time.Millisecond
	// maxIdle bounds how long a connection may be idle before its next use.
	// Endpoints close idle connections, and idle connections may break
	// unnoticed.
	maxIdle = 8 * time.Second
	// maxIdlePerAddress bounds the idle connections to an endpoint.
	maxIdlePerAddress = 6
	// readerBytes is the size of a connection's read buffer.
	readerBytes = 4 << 10
)

// Pool holds idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// limit bounds the bodies of all responses that are not closed.
	limit *memory.Limit
	mu    sync.Mutex
	idle  map[netip.AddrPort][]*connection
	// idleCount is the number of idle connections, and maxIdleCount bounds it unless it is 0.
	idleCount, maxIdleCount int
	// opened is the number of connections opened so far.
	opened uint64
}

// connection is a connection to an endpoint. At most one request uses it at a
// time. Close, or the end of the process, resets it: the kernel would deliver bytes of a
// request that was given up whenever the endpoint, or the link to it, goes on.
type connection struct {
	net.Conn
	// limit reads from Conn, and reader from limit.
	limit  *limitedReader
	reader *bufio.Reader
	// idleSince is the time of the last response.
	idleSince time.Time
	// usableUntil is the time from which the idle connection is not used, because
	// the endpoint may close it.
	usableUntil time.Time
	// isReused is true if the connection has carried a response before.
	isReused bool
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
	// written counts the bytes of the current request that were written. A streamed body
	// is written while the response is read.
	written atomic.Int64
}

// NewPool returns an empty pool. The bodies of responses count towards limit.
func NewPool(limit *memory.Limit) *Pool {
	return &Pool{
		limit: limit,
		dial:  (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		idle:  make(map[netip.AddrPort][]*connection),
	}
}

// SetMaxIdle bounds the idle connections to all endpoints, which hold descriptors.
func (p *Pool) SetMaxIdle(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdleCount = count
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns an idle connection whose idle time is at most maxIdleTime, or a
// new one. If maxIdleTime is NoReuse, it returns a new one.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, maxIdleTime time.Duration) (*connection, error) {
	for maxIdleTime != NoReuse {
		idle := p.popIdle(address)
		if idle == nil {
			break
		}
		now := time.Now()
		if now.Sub(idle.idleSince) <= min(maxIdleTime, maxIdle) && now.Before(idle.usableUntil) && idle.isUsable() {
			return idle, nil
		}
		_ = idle.closeDelivered()
	}
	opened, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to endpoint: %w", err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConnection(opened), nil
}

func newConnection(conn net.Conn) *connection {
	setLinger(conn, lingerReset)
	limit := &limitedReader{source: conn}
	return &connection{Conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, readerBytes), closed: make(chan struct{})}
}

// Close closes the connection, and ends the wait for an upload.
func (c *connection) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

const (
	// lingerReset drops unsent bytes when a connection is closed, and resets it.
	lingerReset = 0
	// lingerDeliver lets the kernel deliver unsent bytes before the end of a connection.
	lingerDeliver = -1
)

// setLinger sets what happens to the unsent bytes of a connection when it is closed.
func setLinger(conn net.Conn, seconds int) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		// An error means that the connection is closed or broken.
		_ = tcp.SetLinger(seconds)
	}
}

// closeDelivered closes a connection whose requests have complete responses. What is left
// of their bodies is delivered: an endpoint may respond before it has read a body.
func (c *connection) closeDelivered() error {
	setLinger(c.Conn, lingerDeliver)
	return c.Close()
}

func (p *Pool) popIdle(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	p.idleCount--
	return last
}

// put adds a connection to the idle ones. Its last response must have been read
// completely.
func (p *Pool) put(address netip.AddrPort, conn *connection, lifetime time.Duration) {
	now := time.Now()
	conn.idleSince = now
	conn.isReused = true
	conn.usableUntil = now.Add(lifetime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress || p.maxIdleCount > 0 && p.idleCount >= p.maxIdleCount {
		_ = conn.closeDelivered()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
	p.idleCount++
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle[address] {
		_ = idle.closeDelivered()
	}
	p.idleCount -= len(p.idle[address])
	delete(p.idle, address)
}

// CloseExpired closes idle connections that are no longer usable.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if now.Sub(conn.idleSince) > maxIdle || !now.Before(conn.usableUntil) {
				_ = conn.closeDelivered()
				p.idleCount--
				continue
			}
			kept = append(kept, conn)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// isUsable reports whether an idle connection is open and has no unread data.
// Data that arrives while no request is in flight belongs to no request of this
// host.
func (c *connection) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, isRaw := c.Conn.(syscall.Conn)
	if !isRaw {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	hasNoData := false
	err = access.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasNoData = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && hasNoData
}
