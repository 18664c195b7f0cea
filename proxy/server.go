package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"filberthold/conns"
	"filberthold/drain"
	"filberthold/early"
	"filberthold/limits"
	"filberthold/memory"
	"filberthold/orgs"
	"filberthold/platform"
)

const (
	// idleTimeout is longer than the time for which callers reuse an idle
	// connection. A shorter one could close a connection while a request is in
	// transit.
	idleTimeout = 75 * time.Second
	// headerTimeout bounds the time for reading the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// cleanupInterval is how often expired idle connections to endpoints are
	// closed.
	cleanupInterval = time.Second
)

// Server serves callers' requests. It is safe for concurrent use.
type Server struct {
	log  *slog.Logger
	core *Core
	pool *conns.Pool
	// limit bounds the memory for requests and responses in flight.
	limit *memory.Limit
	http  *http.Server
	// listener accepts the connections of callers. It is nil before Run.
	listener atomic.Pointer[drain.Listener]
	// guard bounds what callers use. It is nil without SetGuard.
	guard *limits.Guard
	early *early.Handler
	// handler handles the requests.
	handler   http.Handler
	metrics   *Metrics
	freshness Freshness
	// requestsEnd is the latest deadline of the requests that arrive during a
	// graceful stop. It is nil before the stop.
	requestsEnd atomic.Pointer[time.Time]
	// isRefusing is true once new requests are refused.
	isRefusing atomic.Bool
	// isExplaining is true while a question is answered.
	isExplaining atomic.Bool
}

// NewServer returns a server that is not yet listening. What it keeps of requests and
// responses counts towards limit.
func NewServer(log *slog.Logger, core *Core, metrics *Metrics, freshness Freshness, limit *memory.Limit) *Server {
	server := &Server{log: log, core: core, pool: conns.NewPool(limit), limit: limit, metrics: metrics, freshness: freshness}
	server.handler = http.HandlerFunc(server.handleRequest)
	handler := func(writer http.ResponseWriter, request *http.Request) { server.handler.ServeHTTP(writer, request) }
	server.early = early.NewHandler(http.HandlerFunc(handler), server.canStartEarly, server.isLeaving, limit)
	server.http = &http.Server{
		Handler: server.early, ConnContext: connContext, IdleTimeout: idleTimeout,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return server
}

// connContext lets the handlers of requests find their connections.
func connContext(ctx context.Context, accepted net.Conn) context.Context {
	return drain.ConnContext(early.ConnContext(limits.ConnContext(ctx, accepted), accepted), accepted)
}

// SetGuard bounds the connections of callers, the requests that are handled at once and the
// idle connections to endpoints. It must be called before Run.
func (s *Server) SetGuard(guard *limits.Guard, shares limits.Shares) {
	s.guard, s.handler = guard, guard.Handler(s.handler, shares.Requests, refuseForRoom)
	s.pool.SetMaxIdle(shares.IdleUpstream)
}

// refuseForRoom refuses a request for which the host has no room.
func refuseForRoom(writer http.ResponseWriter, request *http.Request) {
	platform.EchoAttempt(writer.Header(), platform.ParseRequestHeader(request.Header))
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// Run serves callers until Stop has ended.
func (s *Server) Run(listener net.Listener) error {
	if s.guard != nil {
		listener = s.guard.Listen(listener, maxHeaderBytes)
	}
	callers := drain.NewListener(early.NewListener(listener, s.limit))
	s.http.ConnState = callers.TrackState
	s.listener.Store(callers)
	if err := s.http.Serve(callers); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// canStartEarly reports whether a request may be started while an earlier one of its
// connection is not answered: it must be allowed to run more than once, because its
// connection may close before its turn, and have a key that its route needs.
func (s *Server) canStartEarly(request *http.Request) bool {
	isTrusted := s.isTrusted()
	config := s.core.Config()
	if config == nil || s.isRefusing.Load() {
		return false
	}
	path, _, _ := strings.Cut(requestTarget(request), "?")
	route, exists := config.Match(request.Host, path)
	if !exists || !route.Class.Idempotent() {
		return false
	}
	return orgs.IsAllowed(orgs.Authenticate(config, route, platform.ParseRequestHeader(request.Header).Key, isTrusted))
}

// StartedEarly returns the number of requests that were started before the earlier ones
// of their connections were answered.
func (s *Server) StartedEarly() uint64 { return s.early.Started() }

// CleanupLoop closes expired idle connections to endpoints and updates the
// metric of opened connections until ctx ends.
func (s *Server) CleanupLoop(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.pool.CloseExpired(now)
			s.metrics.opened.Set(float64(s.pool.Opened()))
		case <-ctx.Done():
			return nil
		}
	}
}
