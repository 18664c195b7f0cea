// Package drain stops an HTTP server without losing requests that callers have sent.
//
// http.Server.Shutdown closes the listener at once, so that the kernel resets the
// connections that it has accepted and the process has not. It also closes connections
// whose next request has arrived and was not read, and ends those without a response
// whose request is read after it was called. A Listener accepts and reads all of these
// first, so that the handler answers them.
package drain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"filberthold/wrap"
)

const (
	// queueTime is how long no connection must have come before the listener is closed.
	// It is longer than the pauses of a process whose processor time is limited.
	queueTime = 100 * time.Millisecond
	// maxQueueTime bounds how long connections are accepted after Drain was called.
	maxQueueTime = time.Second
	// requestTime is how long after Drain was called a connection without a request that
	// is handled may still deliver the head of one.
	requestTime = 1500 * time.Millisecond
	// checkInterval is how often the connections are checked for requests.
	checkInterval = 5 * time.Millisecond
)

// Listener accepts connections until it is drained. It is safe for concurrent use.
type Listener struct {
	net.Listener
	// emptied is closed when no further connection is accepted.
	emptied chan struct{}
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// isDraining is true once Drain was called. It never becomes false again.
	isDraining bool
	// conns holds the connections that are not closed.
	conns map[*conn]struct{}
}

// NewListener returns a listener that accepts the connections of another one. Its
// http.Server must use TrackState.
func NewListener(listener net.Listener) *Listener {
	return &Listener{
		Listener: listener, emptied: make(chan struct{}), closed: make(chan struct{}), conns: make(map[*conn]struct{}),
	}
}

// Accept implements net.Listener. After Drain has closed the queue it waits for Close:
// an error would end http.Server.Serve before Shutdown is called.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		wasDraining := l.prepareAccept()
		accepted, err := l.Listener.Accept()
		if err == nil {
			return l.track(accepted), nil
		}
		isInterrupted := errors.Is(err, os.ErrDeadlineExceeded)
		if !l.hasDrained() || !isInterrupted && !errors.Is(err, net.ErrClosed) {
			// The error is not wrapped: net/http recognises temporary errors by their type.
			return nil, err
		}
		if isInterrupted && !wasDraining {
			continue
		}
		_ = l.Listener.Close()
		close(l.emptied)
		<-l.closed
		return nil, net.ErrClosed
	}
}

// prepareAccept bounds the next call of Accept while the listener is drained. It
// returns whether it is.
func (l *Listener) prepareAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDraining {
		l.setDeadline(time.Now().Add(queueTime))
	}
	return l.isDraining
}

// setDeadline sets the end of the calls of Accept. It returns false if the listener has
// no deadlines.
func (l *Listener) setDeadline(deadline time.Time) bool {
	return wrap.SetAcceptDeadline(l.Listener, deadline) == nil
}

func (l *Listener) hasDrained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDraining
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if err := l.Listener.Close(); err != nil && !l.hasDrained() {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// Drain accepts the connections that the kernel has queued, closes the listener, and
// waits until the requests that have arrived are answered and all connections are
// closed, or until ctx ends. It closes connections that stay open behind a response.
// The http.Server must be shut down afterwards.
func (l *Listener) Drain(ctx context.Context) error {
	requestsEnd := time.Now().Add(requestTime)
	l.emptyQueue(ctx)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for l.releaseIdle(requestsEnd) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for the connections of callers: %w", context.Cause(ctx))
		}
	}
	return nil
}

// emptyQueue lets Accept return the connections that the kernel has queued, and closes
// the listener.
func (l *Listener) emptyQueue(ctx context.Context) {
	l.mu.Lock()
	l.isDraining = true
	isInterrupted := l.setDeadline(time.Now())
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, maxQueueTime)
	defer cancel()
	if !isInterrupted {
		cancel()
	}
	select {
	case <-l.emptied:
	case <-ctx.Done():
		_ = l.Listener.Close()
	}
}

// releaseIdle ends the connections that have no request and returns how many are open.
// After requestsEnd it ends those that have not delivered the head of one, too.
func (l *Listener) releaseIdle(requestsEnd time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	isOver := !time.Now().Before(requestsEnd)
	for open := range l.conns {
		switch {
		case open.phase == busy:
		case isOver:
			_ = open.Conn.Close()
		case open.phase == idle && !open.hasUnread():
			open.interruptRead()
		}
	}
	return len(l.conns)
}

// TrackState is the ConnState function of the http.Server.
func (l *Listener) TrackState(accepted net.Conn, state http.ConnState) {
	tracked, isOurs := accepted.(*conn)
	if !isOurs {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked.apply(state)
}

func (l *Listener) track(accepted net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := &conn{Conn: accepted, listener: l}
	l.conns[tracked] = struct{}{}
	return tracked
}
