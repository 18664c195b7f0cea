package limits

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"filberthold/wrap"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// responseTime bounds the time in which a client must read writeBytes of a response: 0.8 KB
	// a second, less than the slowest transfer between hosts (package fetch). While there is
	// no room for others, a client is slow after patience.
	responseTime = 40 * time.Second
	// bodyTime bounds the time for a body that the handler does not read. net/http reads it
	// to keep the connection open, without a time limit of its own.
	bodyTime = 5 * time.Second
	// retryAfter is the Retry-After of a refused request. Another host may have room.
	retryAfter = "0.5"
	// sweepInterval is how often slow readers are looked for, and logInterval how often a
	// line about each reason is logged at most.
	sweepInterval = 250 * time.Millisecond
	logInterval   = 5 * time.Second
)

// Listener accepts connections whose clients are bounded by a Guard.
type Listener struct {
	net.Listener
	guard *Guard
	head  Head
	// control is nil at the listener for callers.
	control *excess
}

// headSlack is added to the bound of a head, as net/http does.
const headSlack = 4 << 10

// Listen returns a listener that accepts the connections of another one. The heads of
// requests have at most maxHeadBytes, and some more as in net/http.
func (g *Guard) Listen(listener net.Listener, maxHeadBytes int) *Listener {
	return &Listener{Listener: listener, guard: g, head: Head{MaxBytes: maxHeadBytes + headSlack, MaxFields: maxFields}}
}

// ListenControl is Listen for a listener that is not for callers. It has a reserve of
// connections.
func (g *Guard) ListenControl(listener net.Listener, maxHeadBytes int) *Listener {
	guarded := g.Listen(listener, maxHeadBytes)
	guarded.control = new(excess)
	return guarded
}

func (l *Listener) admit(accepted net.Conn) *Conn { return l.guard.admit(accepted, l.head, l.control) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			// The error is not wrapped: net/http recognises temporary errors by their type.
			return nil, err
		}
		if conn := l.admit(accepted); conn != nil {
			return conn, nil
		}
		_ = accepted.Close()
	}
}

// SetDeadline sets the end of calls of Accept, if the inner listener has deadlines.
func (l *Listener) SetDeadline(deadline time.Time) error {
	return wrap.SetAcceptDeadline(l.Listener, deadline)
}

// Handler bounds the requests that another handler handles at once. The others are not
// handled: refuse answers them, or they get status 503 if it is nil.
func (g *Guard) Handler(next http.Handler, maxRequests int, refuse http.HandlerFunc) http.Handler {
	if refuse == nil {
		refuse = func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }
	}
	return &handler{guard: g, next: next, maxRequests: int64(maxRequests), refuse: refuse}
}

// ControlHandler is Handler for requests that are not those of callers. It has a reserve.
func (g *Guard) ControlHandler(next http.Handler, maxRequests int) http.Handler {
	refuse := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }
	return &handler{guard: g, next: next, maxRequests: int64(maxRequests), refuse: refuse, control: new(excess)}
}

type handler struct {
	guard       *Guard
	next        http.Handler
	refuse      http.HandlerFunc
	maxRequests int64
	requests    atomic.Int64
	// control is nil for the requests of callers.
	control *excess
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	conn, isOurs := request.Context().Value(connKey{}).(*Conn)
	if isOurs {
		if !conn.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		defer conn.endRequest()
	}
	if request.ContentLength != 0 {
		// The next handler may set a later one. An error means that the connection is closed.
		_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(bodyTime))
	}
	isBegun, isExcess := h.begin()
	if !isBegun {
		h.guard.closeStalled()
		if isBegun, isExcess = h.begin(); !isBegun {
			h.guard.refused[tooMany].Add(1)
			writer.Header().Set("Retry-After", retryAfter)
			writer.Header().Set("Connection", "close")
			h.refuse(writer, request)
			return
		}
	}
	defer h.end(isExcess)
	h.next.ServeHTTP(writer, request)
}

// begin reserves room for a request. isExcess is true if its memory was not free.
func (h *handler) begin() (isBegun, isExcess bool) {
	if h.requests.Add(1) > h.maxRequests && h.maxRequests > 0 {
		h.requests.Add(-1)
		return false, false
	}
	switch {
	case h.guard.memory.Reserve(requestBytes):
		return true, false
	case h.control.take():
		h.guard.memory.Take(requestBytes)
		return true, true
	}
	h.requests.Add(-1)
	return false, false
}

func (h *handler) end(isExcess bool) {
	if isExcess {
		h.control.used.Add(-1)
	}
	h.requests.Add(-1)
	h.guard.memory.Release(requestBytes)
}

// Loop ends connections whose clients do not read, and logs refusals, until ctx ends.
func (g *Guard) Loop(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var logged [reasonCount]uint64
	var loggedAt [reasonCount]time.Time
	for {
		select {
		case now := <-ticker.C:
			g.clock.Add(int64(sweepInterval))
			g.closeUnread()
			for why := range reasonCount {
				count := g.refused[why].Load()
				if count == logged[why] || now.Sub(loggedAt[why]) < logInterval {
					continue
				}
				g.log.Warn("clients refused", "reason", why.String(), "count", count-logged[why], "connections", g.Connections(), "reservedBytes", g.memory.Used())
				logged[why], loggedAt[why] = count, now
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// closeUnread closes the connections whose clients have not read for responseTime.
func (g *Guard) closeUnread() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for conn := range g.conns {
		if since := conn.writesSince.Load(); since > 0 && time.Duration(now-since) >= responseTime {
			g.forget(conn)
			g.refused[unread].Add(1)
			_ = conn.Conn.Close()
		}
	}
}

// Register registers the metrics of the guard.
func (g *Guard) Register(registry *prometheus.Registry) {
	for why := range reasonCount {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "filberthold_clients_refused_total", Help: "Requests that were refused, and connections that were closed, because clients use too much, by reason.",
			ConstLabels: prometheus.Labels{"reason": why.String()},
		}, func() float64 { return float64(g.refused[why].Load()) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "filberthold_client_connections", Help: "Open connections of clients at all listeners.",
	}, func() float64 { return float64(g.Connections()) }))
}
