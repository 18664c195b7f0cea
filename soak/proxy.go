package soak

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// mode determines how a proxy forwards data.
type mode int32

const (
	pass mode = iota
	// slow delays the data of each read.
	slow
	// blackhole drops all data and keeps connections open. The dropped data
	// stays missing when the mode changes.
	blackhole
	// dropResponses drops only the data of responses.
	dropResponses
	// reset closes a connection at the next read.
	reset
	// resetResponse closes a connection at the next read of a response, after
	// the request has run.
	resetResponse
)

// readDelay is the delay of a slow proxy for each read.
const readDelay = 40 * time.Millisecond

// faultProxy is a loopback TCP proxy that injects connection faults.
type faultProxy struct {
	listener net.Listener
	target   string
	// mode holds the current mode.
	mode atomic.Int32
	mu   sync.Mutex
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
	return &faultProxy{listener: listener, target: target}, nil
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) setMode(next mode) { p.mode.Store(int32(next)) }

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
		go p.forward(conn)
	}
}

func (p *faultProxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, false); done <- struct{}{} }()
	go func() { p.copy(client, server, true); done <- struct{}{} }()
	<-done
}

// copy copies data until a side closes the connection or a reset mode applies.
func (p *faultProxy) copy(target io.Writer, source io.Reader, isResponse bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := source.Read(buffer)
		if err != nil {
			return
		}
		switch mode(p.mode.Load()) {
		case slow:
			time.Sleep(readDelay)
		case blackhole:
			continue
		case dropResponses:
			if isResponse {
				continue
			}
		case reset:
			return
		case resetResponse:
			if isResponse {
				return
			}
		case pass:
		}
		if _, err := target.Write(buffer[:count]); err != nil {
			return
		}
	}
}
