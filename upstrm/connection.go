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

// wrap makes the connections that dial opens record who writes to them. A
// write that makes no progress for writeTimeout fails; 0 means no limit.
func (dial dialFunc) wrap(writeTimeout time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: inner, opened: time.Now(), writeTimeout: writeTimeout}, nil
	}
}

// connection is a connection to an upstream. It tells whether its present
// user has written to it, and it can be sealed against later writes: net/http
// writes on a goroutine of its own, which may still be about to write when
// RoundTrip has returned.
type connection struct {
	net.Conn
	opened       time.Time
	writeTimeout time.Duration
	mu           sync.Mutex
	// user is the attempt that holds the connection; it is nil while idle.
	user *attempt
	// wrote is true if bytes of the user may have been written, which includes
	// a write that has not returned.
	wrote  bool
	sealed bool
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
		c.noteRefusedWrite()
	}
	return count, err
}

// noteRefusedWrite takes back that bytes were written: the connection broke
// before it accepted the first one. No other byte may follow.
func (c *connection) noteRefusedWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
	c.sealed = true
}

// permitWrite notes that bytes are about to be written, and reports whether
// they are the first of their request. The first bytes of a
// request are refused after its deadline, however long the process was paused
// since the deadline was checked.
func (c *connection) permitWrite(now time.Time) (isFirst bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false, errors.New("connection is given up")
	}
	if c.user != nil && !c.wrote && !now.Before(c.user.deadline) {
		c.sealed = true
		return false, errors.New("deadline passed before the first byte")
	}
	isFirst = !c.wrote
	c.wrote = true
	return isFirst, nil
}

func (c *connection) take(user *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = user
	c.wrote = false
}

// seal ends all writing and reports whether the user has written nothing.
func (c *connection) seal(user *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != user {
		return false
	}
	c.sealed = true
	return !c.wrote
}

// release closes a connection that became idle and is older than maxAge. The
// next user may have taken it already; then it stays open. A user that takes
// it after it was sealed writes nothing to it and learns so.
func (c *connection) release(user *attempt, maxAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != user {
		return
	}
	c.user = nil
	if time.Since(c.opened) > maxAge {
		c.sealed = true
		_ = c.Close()
	}
}

// attempt collects the evidence of what was written for one call.
type attempt struct {
	deadline time.Time
	maxAge   time.Duration
	mu       sync.Mutex
	// used holds every connection that net/http chose for the call. Nothing
	// is written to a connection before it is chosen.
	used []*connection
	// untracked is true if net/http chose a connection of another type, about
	// which there is no evidence.
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
			chosen.take(a)
			a.used = append(a.used, chosen)
		},
		PutIdleConn: func(error) {
			a.mu.Lock()
			defer a.mu.Unlock()
			for _, used := range a.used {
				used.release(a, a.maxAge)
			}
		},
	}
}

// wroteNothing reports whether no byte of the call was written, and makes
// sure that none will be.
func (a *attempt) wroteNothing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	nothing := !a.untracked
	for _, used := range a.used {
		nothing = used.seal(a) && nothing
	}
	return nothing
}
