package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"filberthold/conns"
)

const (
	// idleTimeout is longer than the time for which callers reuse an idle
	// connection, so that none is closed while a request is on its way.
	idleTimeout = 75 * time.Second
	// headerTimeout bounds the time in which a caller sends its headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// trimInterval is how often idle connections to endpoints are looked over.
	trimInterval = time.Second
)

// Server answers callers.
type Server struct {
	log     *slog.Logger
	core    *Core
	pool    *conns.Pool
	http    *http.Server
	metrics *Metrics
	// knowledgeAge is how long ago the endpoints were known to be complete.
	knowledgeAge func() time.Duration
	// isLeaving is true once the host stops.
	isLeaving atomic.Bool
	// isClosed is true once new requests are refused.
	isClosed atomic.Bool
}

// NewServer returns a server that is not yet listening.
func NewServer(log *slog.Logger, core *Core, metrics *Metrics, knowledgeAge func() time.Duration) *Server {
	server := &Server{log: log, core: core, pool: conns.NewPool(), metrics: metrics, knowledgeAge: knowledgeAge}
	server.http = &http.Server{
		Handler: http.HandlerFunc(server.handle), IdleTimeout: idleTimeout,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return server
}

// Run serves callers until Stop has ended.
func (s *Server) Run(listener net.Listener) error {
	if err := s.http.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// CleanupLoop closes idle connections to endpoints until ctx ends.
func (s *Server) CleanupLoop(ctx context.Context) error {
	ticker := time.NewTicker(trimInterval)
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

// DisableKeepAlives makes responses end their connections, so that callers move to other
// hosts.
func (s *Server) DisableKeepAlives() { s.isLeaving.Store(true) }

// Refuse makes new requests be refused.
func (s *Server) Refuse() { s.isClosed.Store(true) }

// Stop closes the listener and waits for the requests in flight.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	return nil
}
