// Package early starts requests that a caller sends on a connection before its earlier
// requests are answered (HTTP pipelining). net/http reads such a request only after the
// earlier response, so that its work would begin late. Responses keep the order of the
// requests.
//
// A Listener passes the requests of a connection to net/http one at a time and reads the
// following ones ahead. A Handler starts those that may run more than once, and copies
// each response when it is the request's turn.
package early

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"filberthold/limits"
	"filberthold/memory"
	"filberthold/wrap"
)

const (
	// maxPending bounds the bytes of a connection that are read ahead.
	maxPending = 16 << 10
	// maxStarted bounds the requests of a connection that are started early.
	maxStarted = 4
	// readBytes is the size of a read from the socket. A head of up to this size needs
	// no reservation.
	readBytes = 4 << 10
	// longHeadBytes is the memory that a longer head may need, here and in net/http.
	longHeadBytes = 64 << 10
)

// Listener accepts connections whose requests can be started early.
type Listener struct {
	net.Listener
	limit *memory.Limit
}

// NewListener returns a listener that accepts the connections of another one. Long heads
// of requests count towards limit.
func NewListener(listener net.Listener, limit *memory.Limit) *Listener {
	return &Listener{Listener: listener, limit: limit}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		// The error is not wrapped: net/http goes on after temporary errors, which it
		// recognises by their type.
		return nil, err
	}
	return newConn(accepted, l.limit), nil
}

// SetDeadline sets the end of calls of Accept, if the inner listener has deadlines.
func (l *Listener) SetDeadline(deadline time.Time) error {
	return wrap.SetAcceptDeadline(l.Listener, deadline)
}

// conn is a connection of a caller. Reads end at the end of the head of a request, so
// that the reader gets no byte of a request before it asks for that.
type conn struct {
	net.Conn
	// ctx ends when the connection is closed or the caller has left.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// pending holds the bytes that were received and not passed to the reader.
	pending []byte
	framing framing
	// handler starts requests early. It is nil before the first request.
	handler *Handler
	// started holds the requests that were started early and not yet passed to the
	// handler, in their order. They are in the first scanned bytes of pending.
	started []*exchange
	scanned int
	// isAwaited is true if the head of a request was passed to the reader, and the handler has
	// not begun with it. None is started meanwhile: it would come before the one that is
	// awaited.
	isAwaited bool
	// isBlocked is true if the next request in pending cannot be started early.
	isBlocked bool
	// limit bounds the heads of requests, and reserved is what this connection has
	// reserved of it.
	limit    *memory.Limit
	reserved int
	// isClosed is true after Close. No request is started early then.
	isClosed bool
}

func newConn(accepted net.Conn, limit *memory.Limit) *conn {
	ctx, cancel := context.WithCancel(limits.ConnContext(context.Background(), accepted))
	return &conn{Conn: accepted, ctx: ctx, cancel: cancel, limit: limit}
}

// NetConn returns the connection that conn wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Buffered returns the number of bytes that were received and not passed to the reader.
func (c *conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.cancel()
	c.release()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// release gives the memory back that was reserved for the connection.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandonStarted()
	c.isClosed = true
	c.limit.Release(c.reserved)
	c.reserved = 0
}

// releaseHead gives the memory back that was reserved for a head, unless it was passed on
// in part: net/http keeps it then. c.mu is held.
func (c *conn) releaseHead() {
	if c.framing.isOpaque {
		return
	}
	c.limit.Release(c.reserved)
	c.reserved = 0
}

// abandonStarted gives up the requests that were started early. c.mu is held.
func (c *conn) abandonStarted() {
	for _, started := range c.started {
		started.abandon()
		c.handler.waiting.Add(-1)
	}
	c.started = nil
}

// reserve reserves memory for a head that is longer than usual. It returns an error if
// there is none left. c.mu is held.
func (c *conn) reserve() error {
	if len(c.pending) <= readBytes || !c.framing.isAtHead() || c.reserved > 0 || c.isClosed {
		return nil
	}
	if !c.limit.Reserve(longHeadBytes) {
		return errNoMemory
	}
	c.reserved = longHeadBytes
	return nil
}

// errNoMemory ends a connection with a long head while memory is short.
var errNoMemory = errors.New("no memory for a long head of a request")

// CloseWrite closes the sending side, as net/http expects.
func (c *conn) CloseWrite() error { return wrap.CloseWrite(c.Conn) }

// Read implements net.Conn. net/http reads a single byte while a request is handled, to
// notice that the caller leaves. Such a read gets no byte of the next request, because
// that would end it: it receives until its deadline, which net/http then sets.
func (c *conn) Read(buffer []byte) (int, error) {
	isWatching := len(buffer) == 1
	for {
		if count, isDone := c.deliver(buffer, isWatching); isDone {
			return count, nil
		}
		if err := c.receive(); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.cancel()
			}
			return 0, err
		}
	}
}

// deliver passes pending bytes to the reader, or starts further requests if the reader
// only watches. It returns false if more bytes must be received first.
func (c *conn) deliver(buffer []byte, isWatching bool) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isWatching && c.framing.isAtHead() {
		c.startPending()
		// The pending bytes are full: the caller's leaving cannot be seen behind them.
		if len(c.pending) >= maxPending {
			return c.take(buffer, len(c.pending)), true
		}
		return 0, false
	}
	count := c.framing.next(c.pending)
	if count == 0 {
		return 0, false
	}
	return c.take(buffer, count), true
}

// take passes up to count pending bytes to the reader.
func (c *conn) take(buffer []byte, count int) int {
	count = copy(buffer, c.pending[:count])
	c.isAwaited = c.isAwaited || c.framing.isAtHead()
	c.framing.advance(c.pending[:count])
	c.pending = c.pending[count:]
	c.scanned = max(0, c.scanned-count)
	if len(c.pending) == 0 {
		c.pending = nil
		c.releaseHead()
	}
	return count
}

// receive adds bytes from the socket to the pending ones.
func (c *conn) receive() error {
	received := make([]byte, readBytes)
	count, err := c.Conn.Read(received)
	if count > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending = append(c.pending, received[:count]...)
		return c.reserve()
	}
	// The error is not wrapped: net/http compares it with io.EOF and asserts its type.
	return err
}

// startPending starts the pending requests that may be started early. c.mu is held.
func (c *conn) startPending() {
	for c.canStart() {
		head := c.pending[c.scanned:]
		head = head[:headLength(head)]
		if len(head) == 0 {
			return
		}
		exchange := c.handler.start(c, head)
		if exchange == nil {
			c.isBlocked = true
			return
		}
		c.started = append(c.started, exchange)
		c.scanned += len(head)
	}
}

// canStart reports whether a request may be started now. c.mu is held.
func (c *conn) canStart() bool {
	// Requests that are out of step end the context: a further one would be cancelled at once.
	isUsable := c.handler != nil && !c.handler.isClosing() && !c.isClosed && c.ctx.Err() == nil
	return isUsable && !c.isAwaited && !c.isBlocked && len(c.started) < maxStarted
}
