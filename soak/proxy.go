package soak

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// mode is how a proxy treats the bytes of its connections.
type mode int32

const (
	pass mode = iota
	// slow delays each piece.
	slow
	// silent drops all bytes and keeps connections open.
	silent
	// deaf drops the bytes of the answers only.
	deaf
	// reset breaks connections with the next piece.
	reset
	// resetAnswer breaks connections with the next piece of an answer, so that
	// the request has run.
	resetAnswer
)

// pieceDelay is the delay of a slow proxy for each piece.
const pieceDelay = 40 * time.Millisecond

// proxy is a loopback proxy that disturbs connections.
type proxy struct {
	listener net.Listener
	target   string
	// mode holds a mode.
	mode atomic.Int32
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	return &proxy{listener: listener, target: target}, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(next mode) { p.mode.Store(int32(next)) }

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	done := make(chan struct{}, 2)
	go func() { p.copy(far, near, false); done <- struct{}{} }()
	go func() { p.copy(near, far, true); done <- struct{}{} }()
	<-done
}

// copy moves bytes until a side closes or a reset.
func (p *proxy) copy(to io.Writer, from io.Reader, isAnswer bool) {
	piece := make([]byte, 32<<10)
	for {
		count, err := from.Read(piece)
		if err != nil {
			return
		}
		switch mode(p.mode.Load()) {
		case slow:
			time.Sleep(pieceDelay)
		case silent:
			continue
		case deaf:
			if isAnswer {
				continue
			}
		case reset:
			return
		case resetAnswer:
			if isAnswer {
				return
			}
		case pass:
		}
		if _, err := to.Write(piece[:count]); err != nil {
			return
		}
	}
}
