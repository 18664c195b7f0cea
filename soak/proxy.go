package soak

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// mode determines how a proxy forwards data.
type mode int

const (
	pass mode = iota
	// slow delays each chunk of data by readDelay after the one before it.
	slow
	// blackhole drops all data and keeps connections open. The dropped data
	// stays missing when the mode changes.
	blackhole
	// dropResponses drops only the data of responses.
	dropResponses
	// reset resets a connection at the next data.
	reset
	// resetResponse resets a connection at the next data of a response, after
	// the request has run.
	resetResponse
	// holdRequests holds the data of requests, and the end of a connection
	// behind it, until the mode changes. Then they are delivered in order.
	holdRequests
	// holdResponses holds the data of responses likewise.
	holdResponses
	// holdAll holds the data of both directions likewise.
	holdAll
	// late delivers data a time after it arrived, in order.
	late
	// byteByByte writes each byte by itself.
	byteByByte
	// resetAfter resets a connection when a number of bytes has passed in one
	// direction.
	resetAfter
	// clogged reads a number of bytes of the requests of a connection, and no more until the
	// mode changes.
	clogged
)

// readDelay is the delay of a slow proxy for each chunk of data.
const readDelay = 40 * time.Millisecond

// condition is a mode with its parameters.
type condition struct {
	mode mode
	// delay applies to late.
	delay time.Duration
	// bytes applies to resetAfter and clogged.
	bytes int
}

// holds reports whether data of a direction is held.
func (c condition) holds(isResponse bool) bool {
	return c.mode == holdAll || isResponse && c.mode == holdResponses || !isResponse && c.mode == holdRequests
}

// drops reports whether data of a direction is dropped.
func (c condition) drops(isResponse bool) bool {
	return c.mode == blackhole || isResponse && c.mode == dropResponses
}

// resets reports whether data of a direction resets the connection.
func (c condition) resets(isResponse bool) bool {
	return c.mode == reset || isResponse && c.mode == resetResponse
}

// faultProxy is a loopback TCP proxy that injects connection faults. The end of one
// direction of a connection is passed on behind its data. A reset by either side resets
// the other one and drops the data that is held.
type faultProxy struct {
	listener net.Listener
	target   string
	// source is the IP address from which the proxy connects to the target. It is any one
	// if empty.
	source string
	mu     sync.Mutex
	// condition applies to the data of all connections.
	condition condition
	// changed is closed when the condition changes.
	changed chan struct{}
	// links holds the open connections.
	links map[*link]bool
	// faults holds the times of the faults that have ended.
	faults []faultTime
}

// faultTime is the time of a fault.
type faultTime struct{ from, to time.Time }

// startProxy listens on a free port of a loopback address. Only run accepts and
// forwards.
func startProxy(ip, target string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	return &faultProxy{listener: listener, target: target, changed: make(chan struct{}), links: make(map[*link]bool)}, nil
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) setMode(next mode) { p.setCondition(condition{mode: next}) }

func (p *faultProxy) setCondition(next condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = next
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the condition and a channel that is closed when it changes.
func (p *faultProxy) current() (condition, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.condition, p.changed
}

// recordFault records a fault that ends now.
func (p *faultProxy) recordFault(from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, faultTime{from, time.Now()})
}

// hadFault reports whether there was a fault between two times.
func (p *faultProxy) hadFault(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.faults, func(fault faultTime) bool { return fault.from.Before(to) && fault.to.After(from) })
}

func (p *faultProxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

// close closes the listener and resets all connections.
func (p *faultProxy) close() {
	_ = p.listener.Close()
	p.abortLinks()
}

// abortLinks resets all connections.
func (p *faultProxy) abortLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for open := range p.links {
		open.abort()
	}
}

func (p *faultProxy) forward(client *net.TCPConn) {
	dialer := &net.Dialer{}
	if p.source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(p.source)}
	}
	server, err := dialer.Dial("tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	opened := newLink(client, server.(*net.TCPConn))
	p.setOpen(opened, true)
	defer p.setOpen(opened, false)
	opened.run(p)
}

func (p *faultProxy) setOpen(opened *link, isOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isOpen {
		p.links[opened] = true
	} else {
		delete(p.links, opened)
	}
}
