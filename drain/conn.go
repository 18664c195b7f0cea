package drain

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"filberthold/wrap"
)

// phase is what a connection is used for.
type phase int

const (
	// fresh means that no byte of the first request was read.
	fresh phase = iota
	// receiving means that the head of a request was read in part.
	receiving
	// busy means that a request is handled.
	busy
	// idle means that the last request was answered, and no byte of the next one was read.
	idle
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	// The other fields are guarded by the mutex of the listener.
	phase phase
	// hasNext is true if net/http read a byte of the next request while it watched the
	// connection of a request that is handled.
	hasNext bool
	// isInterrupted is true if the deadline of reads was set by interruptRead.
	isInterrupted bool
}

// NetConn returns the connection that conn wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, as net/http expects.
func (c *conn) CloseWrite() error { return wrap.CloseWrite(c.Conn) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// Read implements net.Conn. A read that interruptRead has ended goes on if bytes have
// arrived meanwhile.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if !c.recordRead(len(buffer), count, err) {
			// The error is not wrapped: net/http compares it with io.EOF and asserts its type.
			return count, err
		}
	}
}

// recordRead records the result of a read and reports whether the read is repeated.
func (c *conn) recordRead(size, count int, err error) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if count > 0 {
		c.recordBytes(size)
		return false
	}
	if !c.isInterrupted || !errors.Is(err, os.ErrDeadlineExceeded) || c.phase == idle && !c.hasUnread() {
		return false
	}
	c.isInterrupted = false
	return c.SetReadDeadline(time.Now().Add(requestTime)) == nil
}

// recordBytes records that bytes were read. While a request is handled, net/http reads a
// single byte to notice that the caller leaves, and others of the request's body.
func (c *conn) recordBytes(size int) {
	switch c.phase {
	case fresh, idle:
		c.phase = receiving
	case busy:
		c.hasNext = c.hasNext || size == 1
	case receiving:
	}
}

// apply records a state that net/http reports.
func (c *conn) apply(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phase = busy
	case http.StateIdle:
		c.phase = idle
		if c.hasNext {
			c.phase, c.hasNext = receiving, false
		}
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// interruptRead ends the read of the next request. net/http then closes the connection.
// Closing it here could lose a request that was read at the same moment.
func (c *conn) interruptRead() {
	c.isInterrupted = true
	_ = c.SetReadDeadline(time.Now())
}

// hasUnread reports whether bytes of the caller have arrived that net/http has not read.
func (c *conn) hasUnread() bool {
	for inner := c.Conn; inner != nil; {
		if buffer, isBuffer := inner.(interface{ Buffered() int }); isBuffer && buffer.Buffered() > 0 {
			return true
		}
		if socket, isSocket := inner.(syscall.Conn); isSocket {
			return hasArrived(socket)
		}
		wrapper, isWrapper := inner.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return false
		}
		inner = wrapper.NetConn()
	}
	return false
}

// hasArrived reports whether the kernel holds bytes that were received on a socket.
func hasArrived(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(descriptor uintptr) {
		// An error means that nothing has arrived.
		count, _, _ = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && count > 0
}
