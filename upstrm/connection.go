package upstrm

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// dialFunc has the signature of net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrap returns a dial function whose connections record the writes of each
// attempt. A write that makes no progress for writeTimeout fails; 0 means no limit.
func (dial dialFunc) wrap(writeTimeout time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: inner, opened: time.Now(), writeTimeout: writeTimeout}, nil
	}
}

// connection is a connection to an upstream. It records whether its current
// attempt has written to it, and it can block later writes: net/http writes on a
// separate goroutine, which may still write after RoundTrip has returned.
type connection struct {
	net.Conn
	opened       time.Time
	writeTimeout time.Duration
	mu           sync.Mutex
	// attempt is the attempt that uses the connection. It is nil while the
	// connection is idle.
	attempt *attempt
	// mayHaveWritten is true if bytes of the attempt may have been written. This
	// includes a write that has not returned.
	mayHaveWritten bool
	// isWriteBlocked is true if all further writes fail.
	isWriteBlocked bool
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	isFirst, err := c.permitWrite(time.Now())
	if err != nil {
		return 0, err
	}
	if c.writeTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	count, err := c.Conn.Write(data)
	if isFirst && count == 0 && err != nil {
		c.revertWrite()
	}
	return count, err
}

// revertWrite records that nothing was written, because the connection failed
// before it accepted the first byte. It blocks all further writes.
func (c *connection) revertWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayHaveWritten = false
	c.isWriteBlocked = true
}

// permitWrite records that bytes are about to be written, and reports whether they
// are the first of their request. It refuses the first bytes after the deadline of
// the request, because the process may have been paused since the deadline was
// checked.
func (c *connection) permitWrite(now time.Time) (isFirst bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWriteBlocked {
		return false, errors.New("connection is given up")
	}
	if c.attempt != nil && !c.mayHaveWritten && !now.Before(c.attempt.deadline) {
		c.isWriteBlocked = true
		return false, errors.New("deadline passed before the first byte")
	}
	isFirst = !c.mayHaveWritten
	c.mayHaveWritten = true
	return isFirst, nil
}

// discard closes a connection and blocks all further writes. An attempt that
// already uses it ends with an error.
func (c *connection) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriteBlocked = true
	_ = c.Close()
}

func (c *connection) assign(owner *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = owner
	c.mayHaveWritten = false
}

// blockWrites blocks all further writes and reports whether the attempt has
// written nothing. It does nothing if another attempt uses the connection.
func (c *connection) blockWrites(owner *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != owner {
		return false
	}
	c.isWriteBlocked = true
	return !c.mayHaveWritten
}

// release marks a connection as idle at the end of its attempt, and closes it if
// it is older than maxAge. If the next attempt already uses the connection, it
// stays open. An attempt that gets the connection later cannot write to it, and
// its request ends with a NotStartedError.
func (c *connection) release(owner *attempt, maxAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != owner {
		return
	}
	c.attempt = nil
	if time.Since(c.opened) > maxAge {
		c.isWriteBlocked = true
		_ = c.Close()
	}
}

// attempt records whether bytes were written for one request.
type attempt struct {
	deadline time.Time
	maxAge   time.Duration
	mu       sync.Mutex
	// connections holds every connection that net/http chose for the request. It
	// writes nothing to a connection before it chooses it.
	connections []*connection
	// untracked is true if net/http chose a connection of another type, which does
	// not record writes.
	untracked bool
}

func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.mu.Lock()
			defer a.mu.Unlock()
			chosen, isTracked := info.Conn.(*connection)
			if !isTracked {
				a.untracked = true
				return
			}
			chosen.assign(a)
			a.connections = append(a.connections, chosen)
		},
		PutIdleConn: func(error) {
			a.mu.Lock()
			defer a.mu.Unlock()
			for _, chosen := range a.connections {
				chosen.release(a, a.maxAge)
			}
		},
	}
}

// closeConnections closes the connections of the request.
func (a *attempt) closeConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, chosen := range a.connections {
		chosen.discard()
	}
}

// wroteNothing blocks further writes of the request and reports whether no byte was
// written.
func (a *attempt) wroteNothing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	nothing := !a.untracked
	for _, chosen := range a.connections {
		nothing = chosen.blockWrites(a) && nothing
	}
	return nothing
}
