// Package admin is the HTTP server for operators. It serves metrics, health,
// readiness and the status of an entry host.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"filberthold/limits"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// shutdownTimeout is how long Shutdown waits for requests in flight.
	shutdownTimeout = 2 * time.Second
	// maxHeaderBytes bounds the head of a request. The default of net/http is 1 MB for
	// each connection.
	maxHeaderBytes = 16 << 10
)

// Server is the HTTP server for operators.
type Server struct {
	http     *http.Server
	registry *prometheus.Registry
	metrics  *Metrics
	// guard bounds what operators use. It is nil without SetGuard.
	guard *limits.Guard
}

// NewServer returns a server with a new metrics registry. It calls status for the
// current state of the host.
func NewServer(status func() Status) *Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !status().Ready {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /v1/status", statusHandler(status))
	return &Server{
		http:     &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxHeaderBytes},
		registry: registry,
		metrics:  NewMetrics(registry),
	}
}

// Registry returns the registry for further metrics of the process.
func (s *Server) Registry() *prometheus.Registry { return s.registry }

// Metrics returns the metrics of the process.
func (s *Server) Metrics() *Metrics { return s.metrics }

// SetGuard bounds the connections of operators, and the requests that are handled at once. It
// must be called before Run.
func (s *Server) SetGuard(guard *limits.Guard, maxRequests int) {
	s.guard = guard
	s.http.ConnContext, s.http.Handler = limits.ConnContext, guard.ControlHandler(s.http.Handler, maxRequests)
}

// Run serves the listener until Shutdown is called.
func (s *Server) Run(listener net.Listener) error {
	if s.guard != nil {
		listener = s.guard.ListenControl(listener, maxHeaderBytes)
	}
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Shutdown stops the server. It waits up to shutdownTimeout for requests in flight.
func (s *Server) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down operator server: %w", err)
	}
	return nil
}
