package early

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"filberthold/memory"
)

// Handler passes requests to another handler, and starts those early that callers have
// sent in advance. It is safe for concurrent use.
type Handler struct {
	next http.Handler
	// canStart reports whether a request without a body may be started before its turn. It
	// may then run although its connection ends before.
	canStart func(request *http.Request) bool
	// onTurn adds headers to the response of a request that was started early, when it is
	// written.
	onTurn func(header http.Header)
	// limit bounds the responses that wait for their turn.
	limit   *memory.Limit
	started atomic.Uint64
}

// NewHandler returns a handler for requests of the connections of a Listener. Responses
// that wait for their turn count towards limit.
func NewHandler(next http.Handler, canStart func(request *http.Request) bool, onTurn func(header http.Header), limit *memory.Limit) *Handler {
	return &Handler{next: next, canStart: canStart, onTurn: onTurn, limit: limit}
}

// Started returns the number of requests that were started early.
func (h *Handler) Started() uint64 { return h.started.Load() }

type connKey struct{}

// ConnContext is the function of that name of an http.Server: it lets the Handler find
// the connection of a request.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	if accepted, isOurs := accepted.(*conn); isOurs {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	return ctx
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	connection, isOurs := request.Context().Value(connKey{}).(*conn)
	if !isOurs {
		h.next.ServeHTTP(writer, request)
		return
	}
	exchange := connection.begin(h, request)
	if exchange == nil {
		h.next.ServeHTTP(writer, request)
		return
	}
	h.onTurn(writer.Header())
	exchange.finish(writer)
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
	request.RemoteAddr = connection.RemoteAddr().String()
	started := newExchange(h.next, request.WithContext(connection.ctx), h.limit)
	go started.run()
	return started
}

// begin records that a request is handled now, and returns its exchange if it was
// started early. It starts the following ones: net/http began to watch the connection
// before.
func (c *conn) begin(handler *Handler, request *http.Request) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handler = handler
	current := c.takeStarted(request)
	if c.framing.isAtHead() {
		c.startPending()
	}
	return current
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
