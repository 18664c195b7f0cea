package early

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"filberthold/memory"
)

// Handler passes requests to another handler, and starts those early that callers have
// sent in advance. It is safe for concurrent use.
type Handler struct {
	next http.Handler
	// canStart reports whether a request without a body may be started before its turn. It
	// may then run although its connection ends before.
	canStart func(request *http.Request) bool
	// isClosing reports whether the connections close. It never becomes false again.
	isClosing func() bool
	// limit bounds the responses that wait for their turn.
	limit   *memory.Limit
	started atomic.Uint64
	// waiting is the number of requests that were started and whose turn has not come.
	waiting atomic.Int64
}

// NewHandler returns a handler for requests of the connections of a Listener. Once
// isClosing returns true, it starts none early, and the last response to a request that
// was started on a connection announces that the connection closes. Responses that wait
// for their turn count towards limit.
func NewHandler(next http.Handler, canStart func(request *http.Request) bool, isClosing func() bool, limit *memory.Limit) *Handler {
	return &Handler{next: next, canStart: canStart, isClosing: isClosing, limit: limit}
}

// Started returns the number of requests that were started early.
func (h *Handler) Started() uint64 { return h.started.Load() }

// waitInterval is how often Wait looks whether requests wait for their turn.
const waitInterval = 5 * time.Millisecond

// Wait waits until the turn of all requests that were started early has come, or until
// ctx ends. A server that shuts down before closes their connections without a response.
func (h *Handler) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for h.waiting.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for requests that were started early: %w", context.Cause(ctx))
		}
	}
	return nil
}

type connKey struct{}

// ConnContext is the function of that name of an http.Server: it lets the Handler find
// the connection of a request. The connection may be wrapped by one with a method NetConn.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	if wrapper, isWrapper := accepted.(interface{ NetConn() net.Conn }); isWrapper {
		if inner, isOurs := wrapper.NetConn().(*conn); isOurs {
			accepted = inner
		}
	}
	if accepted, isOurs := accepted.(*conn); isOurs {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	return ctx
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	connection, isOurs := request.Context().Value(connKey{}).(*conn)
	if !isOurs {
		announceClose(writer, h.isClosing())
		h.next.ServeHTTP(writer, request)
		return
	}
	exchange, isLast := connection.begin(h, request)
	announceClose(writer, isLast)
	if exchange == nil {
		h.next.ServeHTTP(writer, request)
		return
	}
	exchange.finish(writer)
}

// announceClose tells the caller that the connection closes after this response if it is
// the last one.
func announceClose(writer http.ResponseWriter, isLast bool) {
	if isLast {
		writer.Header().Set("Connection", "close")
	}
}

// start starts a request by its head. It returns nil if that is not allowed.
func (h *Handler) start(connection *conn, head []byte) *exchange {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ContentLength != 0 || request.Close || !h.canStart(request) {
		return nil
	}
	if _, isUncertain := bodyLength(head); isUncertain {
		return nil
	}
	h.started.Add(1)
	h.waiting.Add(1)
	request.RemoteAddr = connection.RemoteAddr().String()
	started := newExchange(h.next, request.WithContext(connection.ctx), h.limit)
	go started.run()
	return started
}

// begin records that a request is handled now, and returns its exchange if it was
// started early. It starts the following ones: net/http began to watch the connection
// before. It returns true if the connection closes after this request: it does so only
// behind the last request that was started.
func (c *conn) begin(handler *Handler, request *http.Request) (*exchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handler, c.isAwaited = handler, false
	current := c.takeStarted(request)
	if c.framing.isAtHead() {
		c.startPending()
	}
	return current, handler.isClosing() && len(c.started) == 0
}

// takeStarted removes the exchange of a request from those that were started. c.mu is
// held.
func (c *conn) takeStarted(request *http.Request) *exchange {
	if len(c.started) == 0 {
		c.isBlocked = false
		return nil
	}
	first := c.started[0]
	c.started = c.started[1:]
	c.handler.waiting.Add(-1)
	if first.isFor(request) {
		return first
	}
	// The requests are not in step. Those that were started are given up.
	c.cancel()
	first.abandon()
	c.abandonStarted()
	c.isBlocked = true
	return nil
}
