package fakes

import (
	"context"
	"fmt"
	"net"
	"time"
)

// linkChunk is the number of bytes that a connection sends before another one may
// use the link.
const linkChunk = 1460

// Link is an in-memory network link to one server. All connections share its
// bandwidth in the direction from the server to its clients. It works in a synctest
// bubble and is safe for concurrent use.
type Link struct {
	bytesPerSecond int
	accepted       chan net.Conn
	closed         chan struct{}
	// token is in the channel while no connection uses the link.
	token chan struct{}
}

// NewLink returns a link with a bandwidth.
func NewLink(bytesPerSecond int) *Link {
	link := &Link{bytesPerSecond: bytesPerSecond, accepted: make(chan net.Conn), closed: make(chan struct{}), token: make(chan struct{}, 1)}
	link.token <- struct{}{}
	return link
}

// DialContext connects to the server. The network and the address are not used.
func (l *Link) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.accepted <- &linkConn{Conn: server, link: l}:
		return client, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("dial over link: %w", ctx.Err())
	case <-l.closed:
		return nil, fmt.Errorf("dial over link: %w", net.ErrClosed)
	}
}

// Accept implements net.Listener.
func (l *Link) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Nothing more is sent on open connections.
func (l *Link) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *Link) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// linkConn is the server's end of a connection.
type linkConn struct {
	net.Conn
	link *Link
}

// Write implements net.Conn.
func (c *linkConn) Write(content []byte) (int, error) {
	sent := 0
	for sent < len(content) {
		chunk := content[sent:min(len(content), sent+linkChunk)]
		if !c.link.transmit(len(chunk)) {
			return sent, fmt.Errorf("write over link: %w", net.ErrClosed)
		}
		count, err := c.Conn.Write(chunk)
		sent += count
		if err != nil {
			return sent, fmt.Errorf("write over link: %w", err)
		}
	}
	return sent, nil
}

// transmit occupies the link for the time that a number of bytes take. It returns
// false if the link is closed.
func (l *Link) transmit(count int) bool {
	select {
	case <-l.token:
	case <-l.closed:
		return false
	}
	defer func() { l.token <- struct{}{} }()
	timer := time.NewTimer(time.Duration(count) * time.Second / time.Duration(l.bytesPerSecond))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}
