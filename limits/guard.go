// Package limits bounds what the clients of a process may use: connections, descriptors,
// memory, the heads of requests and the time to read responses. All HTTP listeners of a
// process share a Guard.
//
// The limits act before net/http reads a request, or end connections whose clients have
// stopped sending or reading. A request that is refused was not handled.
package limits

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"filberthold/memory"
)

const (
	// connectionBytes is the memory for a connection: its goroutine, the buffers of
	// net/http and the records of its wrappers.
	connectionBytes = 24 << 10
	// requestBytes is the memory for a request that is handled, without its head and body:
	// goroutines, the buffers of a connection to an endpoint, header maps.
	requestBytes = 32 << 10
	// batchDivisor bounds the connections that are closed at once to make room: the divisor
	// is that of the open ones. Closing only one would order all of them for each new one.
	batchDivisor = 32
	// controlReserve is the number of connections of each control listener, and of requests
	// there, that need no free memory: a host on which callers use all of it must stay ready
	// and serve other hosts.
	controlReserve = 16
)

// reason is why a client was refused, or its connection closed.
type reason int

const (
	// forRoom are connections that were closed to make room for others.
	forRoom reason = iota
	// noRoom are new connections that were closed because none could make room.
	noRoom
	// largeHead are connections whose request's head was too large.
	largeHead
	// noMemory are connections with a long head while memory is short.
	noMemory
	// tooMany are requests beyond the number that is handled at once, or for which there is
	// no memory. They get status 503.
	tooMany
	// unread are connections whose clients did not read a response.
	unread
	reasonCount
)

// String returns the name of a reason in logs and metrics.
func (r reason) String() string {
	return [...]string{"closed for room", "no room", "large head", "no memory for head", "too many requests", "response not read"}[r]
}

// Bounds are the limits of a process. Zero means that a value is not bounded.
type Bounds struct {
	// MaxConnections bounds the connections of all listeners.
	MaxConnections int
	// MaxConnectionBytes bounds the memory that is reserved for them.
	MaxConnectionBytes int64
}

// Guard counts the connections of all listeners of a process, and closes some when there
// is no room. It is safe for concurrent use.
type Guard struct {
	log    *slog.Logger
	bounds Bounds
	memory *memory.Limit
	// clock is the time for which Loop has run, in nanoseconds. It stands while the process
	// is paused: clients do not count as slow because the host was.
	clock   atomic.Int64
	refused [reasonCount]atomic.Uint64

	mu sync.Mutex
	// conns holds the connections that are counted: all that were accepted and neither
	// closed nor chosen to be closed.
	conns map[*Conn]struct{}
}

// NewGuard returns a guard. What clients use counts towards limit.
func NewGuard(log *slog.Logger, bounds Bounds, limit *memory.Limit) *Guard {
	if bounds.MaxConnectionBytes > 0 {
		byMemory := max(1, int(bounds.MaxConnectionBytes/connectionBytes))
		if bounds.MaxConnections <= 0 || byMemory < bounds.MaxConnections {
			bounds.MaxConnections = byMemory
		}
	}
	return &Guard{log: log, bounds: bounds, memory: limit, conns: make(map[*Conn]struct{})}
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// now returns the time of the guard in nanoseconds. It is at least 1.
func (g *Guard) now() int64 { return g.clock.Load() + 1 }

// excess counts what a control listener uses beyond the free memory.
type excess struct{ used atomic.Int64 }

// take returns true if one more fits into controlReserve. A nil value has no reserve.
func (e *excess) take() bool {
	if e == nil {
		return false
	}
	if e.used.Add(1) <= controlReserve {
		return true
	}
	e.used.Add(-1)
	return false
}

// admit counts a new connection. If there is no room it closes others, or returns nil.
// control is that of a control listener, or nil.
func (g *Guard) admit(accepted net.Conn, head Head, control *excess) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conn := &Conn{Conn: accepted, guard: g, scanner: scanner{limit: head}}
	if !g.reserve() {
		g.makeRoom()
		switch {
		case g.reserve():
		case g.hasPlace() && control.take():
			g.memory.Take(connectionBytes)
			conn.control = control
		default:
			g.refused[noRoom].Add(1)
			return nil
		}
	}
	conn.waitsSince.Store(g.now())
	g.conns[conn] = struct{}{}
	return conn
}

// reserve reserves room for a connection. g.mu is held.
func (g *Guard) reserve() bool {
	return g.hasPlace() && g.memory.Reserve(connectionBytes)
}

// hasPlace reports whether one more connection may be open. g.mu is held.
func (g *Guard) hasPlace() bool {
	return g.bounds.MaxConnections <= 0 || len(g.conns) < g.bounds.MaxConnections
}

// makeRoom closes some of the connections that Choose selects. g.mu is held.
func (g *Guard) makeRoom() {
	conns, states := make([]*Conn, 0, len(g.conns)), make([]State, 0, len(g.conns))
	now := g.now()
	for conn := range g.conns {
		conns, states = append(conns, conn), append(states, conn.state(now))
	}
	g.endChosen(conns, states, 1+len(conns)/batchDivisor)
}

// endChosen ends up to count connections that Choose selects. g.mu is held.
func (g *Guard) endChosen(conns []*Conn, states []State, count int) {
	for _, index := range Choose(states, count) {
		if conns[index].end() {
			g.forget(conns[index])
			g.refused[forRoom].Add(1)
		}
	}
}

// closeStalled makes room for a request: it closes connections whose clients have stopped
// sending or reading.
func (g *Guard) closeStalled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var conns []*Conn
	var states []State
	for conn := range g.conns {
		if state := conn.state(now); state.Phase == Stalled && state.Waited >= patience {
			conns, states = append(conns, conn), append(states, state)
		}
	}
	g.endChosen(conns, states, 1+len(conns)/2)
}

// forget gives back what a connection has reserved. g.mu is held.
func (g *Guard) forget(conn *Conn) {
	if _, isCounted := g.conns[conn]; isCounted {
		delete(g.conns, conn)
		g.memory.Release(connectionBytes)
		if conn.control != nil {
			conn.control.used.Add(-1)
		}
	}
}
