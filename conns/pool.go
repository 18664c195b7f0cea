// Package conns keeps HTTP/1.1 connections to upstream endpoints. It checks
// that every response belongs to its request, and it never sends a request
// again by itself: net/http's transport does so for some requests, which would
// hide attempts from the decisions about retries.
package conns

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the wait for a connection. An endpoint behind a
	// partition does not answer at all.
	dialTimeout = 500 * time.Millisecond
	// maxIdle bounds how long a connection may be idle before its next use.
	// Endpoints close idle connections, and connections go silent.
	maxIdle = 4 * time.Second
	// maxIdlePerAddress bounds the idle connections to an endpoint.
	maxIdlePerAddress = 6
	// readerBytes is the size of the read buffer of a connection.
	readerBytes = 4 << 10
)

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// opened counts the connections that were opened.
	opened uint64
}

// connection is a connection that at most one request uses at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is the time of the last response.
	idleSince time.Time
	// usableUntil is the time at which the endpoint closes the idle connection.
	usableUntil time.Time
	// isReused is true from the second request on.
	isReused bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dial: (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		idle: make(map[netip.AddrPort][]*connection),
	}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns a connection, of which the idle time is at most maxAge.
func (p *Pool) get(ctx context.Context, address netip.AddrPort, maxAge time.Duration) (*connection, error) {
	for {
		idle := p.takeIdle(address)
		if idle == nil {
			break
		}
		now := time.Now()
		if now.Sub(idle.idleSince) <= min(maxAge, maxIdle) && now.Before(idle.usableUntil) && idle.isClean() {
			return idle, nil
		}
		_ = idle.Close()
	}
	opened, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to endpoint: %w", err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readerBytes)}, nil
}

func (p *Pool) takeIdle(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return last
}

// put keeps a connection whose last response was whole.
func (p *Pool) put(address netip.AddrPort, used *connection, lifetime time.Duration) {
	now := time.Now()
	used.idleSince = now
	used.isReused = true
	used.usableUntil = now.Add(lifetime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress {
		_ = used.Close()
		return
	}
	p.idle[address] = append(p.idle[address], used)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle[address] {
		_ = idle.Close()
	}
	delete(p.idle, address)
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, one := range idle {
			if now.Sub(one.idleSince) > maxIdle || !now.Before(one.usableUntil) {
				_ = one.Close()
				continue
			}
			kept = append(kept, one)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// isClean reports whether an idle connection is open and holds no bytes. Bytes
// that arrive without a request belong to no request of ours.
func (c *connection) isClean() bool {
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
	isQuiet := false
	err = access.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}
