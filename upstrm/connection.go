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
	// latest is the attempt that was the last one to get the connection.
	latest *attempt
	// mayHaveWritten is true if bytes of the attempt may have been written. This
	// includes a write that has not returned.
	mayHaveWritten bool
	// isWriteBlocked is true if all further writes fail.
	isWriteBlocked bool
	// isReading is true while net/http waits for bytes. It then has handled all that
	// arrived before.
	isReading bool
	isClosed  bool
	// readable is closed when a read begins or the connection is closed. It is nil
	// unless an attempt waits for that.
	readable chan struct{}
}

// Read implements net.Conn. Bytes that arrive before the first byte of a request was
// written are no response to it, so they block its writes.
func (c *connection) Read(buffer []byte) (int, error) {
	c.beginRead()
	count, err := c.Conn.Read(buffer)
	c.endRead(count)
	return count, err
}

func (c *connection) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = true
	c.signalReadable()
}

func (c *connection) endRead(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = false
	if count > 0 && !c.mayHaveWritten {
		c.isWriteBlocked = true
	}
}

// signalReadable wakes the attempt that waits for a read. The caller holds c.mu.
func (c *connection) signalReadable() {
	if c.readable != nil {
		close(c.readable)
		c.readable = nil
	}
}

// nextRead returns a channel that is closed once a read is in progress or the connection
// is closed.
func (c *connection) nextRead() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readable == nil {
		c.readable = make(chan struct{})
	}
	next := c.readable
	if c.isReading || c.isClosed {
		c.signalReadable()
	}
	return next
}

// waitIdle waits until nothing of the previous attempt can be taken for a response to the
// next one: the attempt has closed the connection if it was refused, and net/http, which
// returns a connection to its pool before that, has closed it if more bytes than the
// response had arrived. It returns false if ctx ends first.
func (c *connection) waitIdle(ctx context.Context, previous *attempt) bool {
	return isClosedBeforeEnd(ctx, previous.judged) && isClosedBeforeEnd(ctx, c.nextRead())
}

func isClosedBeforeEnd(ctx context.Context, channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

// close closes the connection. The caller holds c.mu.
func (c *connection) close() error {
	c.isClosed = true
	c.signalReadable()
	return c.Conn.Close()
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
	_ = c.close()
}

// assign gives the connection to an attempt and returns the attempt before it, or nil.
func (c *connection) assign(owner *attempt) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.latest
	c.attempt = owner
	c.latest = owner
	c.mayHaveWritten = false
	return previous
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

// blockUnwritten blocks all further writes if the attempt has written nothing, and
// reports whether that is so.
func (c *connection) blockUnwritten(owner *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != owner || c.mayHaveWritten {
		return false
	}
	c.isWriteBlocked = true
	return true
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
		_ = c.close()
	}
}

// attempt records whether bytes were written for one request.
type attempt struct {
	deadline time.Time
	maxAge   time.Duration
	// judged is closed once it is known whether the upstream refused the request, and
	// its connection is closed if so.
	judged chan struct{}
	mu     sync.Mutex
	// connections holds every connection that net/http chose for the request. It
	// writes nothing to a connection before it chooses it.
	connections []*connection
	// untracked is true if net/http chose a connection of another type, which does
	// not record writes.
	untracked bool
}

func newAttempt(deadline time.Time, maxAge time.Duration) *attempt {
	return &attempt{deadline: deadline, maxAge: maxAge, judged: make(chan struct{})}
}

func (a *attempt) trace(ctx context.Context) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		// net/http writes nothing before GotConn returns.
		GotConn: func(info httptrace.GotConnInfo) {
			if chosen, previous := a.use(info.Conn); previous != nil && !chosen.waitIdle(ctx, previous) {
				a.closeConnections()
			}
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

// use records that net/http chose a connection for the request. It returns the connection
// and the attempt that had it before, or nil.
func (a *attempt) use(conn net.Conn) (chosen *connection, previous *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	chosen, isTracked := conn.(*connection)
	if !isTracked {
		a.untracked = true
		return nil, nil
	}
	a.connections = append(a.connections, chosen)
	return chosen, chosen.assign(a)
}

// closeConnections closes the connections of the request.
func (a *attempt) closeConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, chosen := range a.connections {
		chosen.discard()
	}
}

// isUnwritten reports whether no byte of the request was written, and then blocks its
// writes.
func (a *attempt) isUnwritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	unwritten := !a.untracked && len(a.connections) > 0
	for _, chosen := range a.connections {
		unwritten = chosen.blockUnwritten(a) && unwritten
	}
	return unwritten
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
