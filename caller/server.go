// Package caller is the HTTP server for callers: it returns the entry hosts to
// use, issues idempotency keys and forwards requests to upstreams.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"filberthold/common"
	"filberthold/drain"
	"filberthold/limits"
	"filberthold/memory"
	"filberthold/model"
	"filberthold/place"
	"filberthold/upstrm"
)

// Dispatcher sends events to the placement of the entry host and returns its
// decisions.
type Dispatcher interface {
	// Open sends a request to placement and returns the channel of its decisions,
	// in order.
	Open(ctx context.Context, request place.Request) (<-chan place.Decision, error)
	// Report sends an event to placement.
	Report(ctx context.Context, event place.Event) error
	// Reserve reserves memory for the audit records of a submit.
	Reserve(request place.Request) error
	// Close ends the delivery of decisions to a request.
	Close(id place.RequestID)
}

// Directory looks up services, clients and entry hosts in the current
// configuration.
type Directory interface {
	// Service returns a service of the current configuration.
	Service(name model.ServiceName) (model.Service, bool)
	// Locate returns the home region and the block hash of a client address.
	Locate(client netip.Addr) (model.RegionName, uint64)
	// EntryHosts returns the entry hosts that a client should use, nearest first.
	EntryHosts(client netip.Addr) []model.Host
}

// Server serves callers.
type Server struct {
	base       *common.Base
	dispatcher Dispatcher
	directory  Directory
	upstreams  *upstrm.Client
	http       *http.Server
	// listener accepts the connections of callers. It is nil before Run.
	listener atomic.Pointer[drain.Listener]
	// guard bounds what callers use, and memory the bodies of requests that are read. They
	// are nil without SetGuard.
	guard  *limits.Guard
	memory *memory.Limit
	// observe is called as described at ObserveRequests. It may be nil.
	observe func(service model.Service, outcome model.Outcome, elapsed time.Duration)
	// acceptsRequests reports whether new requests are accepted.
	acceptsRequests func() bool
	// attempts counts the attempts in flight, which may end after their
	// request, and the copies of export bodies.
	attempts sync.WaitGroup
	// submits is nil until UseRegister is called.
	submits *submitRunner
	mu      sync.Mutex
	// isLeaving is true after Leave was called. Then lookup responses omit this
	// host.
	isLeaving bool
}

const (
	// maxHeaderBytes bounds the head of a request. The default of net/http is 1 MB for
	// each connection.
	maxHeaderBytes = 64 << 10
	// lookupTTL bounds how long a caller may use a lookup response.
	lookupTTL = 5 * time.Second
	// leavingPropagation bounds the time until no other host returns a leaving
	// host in lookup responses. Leaving flags reach all hosts within a few rounds
	// of digests, which peers exchange every second.
	leavingPropagation = 3 * time.Second
	// isolatedReason is the reason of a refusal while neither the store nor a peer
	// confirms the configuration.
	isolatedReason = "the host takes no new work: neither the store nor a peer confirms its configuration"
)

// tooManyReason is the reason of a refusal while the host has no room for more requests.
const tooManyReason = "the host has no room for more requests"

// NewServer returns a server that is not yet listening.
func NewServer(base *common.Base, dispatcher Dispatcher, directory Directory, upstreams *upstrm.Client) *Server {
	server := &Server{
		base: base, dispatcher: dispatcher, directory: directory, upstreams: upstreams,
		acceptsRequests: func() bool { return true },
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", server.handleEntries)
	mux.HandleFunc("POST /v1/keys", server.handleKeys)
	mux.HandleFunc("/s/{service}/{path...}", server.handleRequest)
	server.http = &http.Server{Handler: server.closeWhenLeaving(mux), ConnContext: drain.ConnContext, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxHeaderBytes}
	return server
}

// closeWhenLeaving adds "Connection: close" to responses when the host is leaving.
// Otherwise the shutdown could close an idle connection on which a caller sends
// its next request.
func (s *Server) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.IsLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Leave removes the host from its lookup responses. It returns the time at which
// the last lookup response with this host, from any host, expires.
func (s *Server) Leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
	return time.Now().Add(leavingPropagation + lookupTTL)
}

// IsLeaving reports whether Leave was called.
func (s *Server) IsLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeaving
}

// ObserveRequests sets a function that is called after each request with its
// service, outcome and duration. The duration starts after the body was read.
// The outcome is empty if the caller disconnects before the response starts.
// The function is not called for a request that names an unknown service or is
// malformed, except in the form of its idempotency key. ObserveRequests must be
// called before Run.
func (s *Server) ObserveRequests(observe func(model.Service, model.Outcome, time.Duration)) {
	s.observe = observe
}

// SetAcceptCheck makes the server refuse new requests and keys while
// acceptsRequests returns false; requests in flight continue. It must be called
// before Run. The function must not return false because the host is leaving: a
// leaving host serves callers until the last lookup response with it expires.
func (s *Server) SetAcceptCheck(acceptsRequests func() bool) { s.acceptsRequests = acceptsRequests }

// SetGuard bounds the connections of callers, the requests that are handled at once and the
// memory for their bodies. It must be called before Run.
func (s *Server) SetGuard(guard *limits.Guard, maxRequests int, memory *memory.Limit) {
	s.guard, s.memory = guard, memory
	s.http.ConnContext = limits.ConnContext
	s.http.Handler = guard.Handler(s.http.Handler, maxRequests, func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: tooManyReason})
	})
}

// Run serves the listener until Shutdown is called.
func (s *Server) Run(listener net.Listener) error {
	if s.guard != nil {
		listener = s.guard.Listen(listener, maxHeaderBytes)
	}
	callers := drain.NewListener(listener)
	s.http.ConnState = callers.TrackState
	s.listener.Store(callers)
	if err := s.http.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown accepts the connections that callers have opened, closes the listener, and
// waits for all requests in flight, including submits whose callers have disconnected,
// and for the rows of host-bound keys.
// The end of ctx does not end the wait for the attempts of requests that have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	if listener := s.listener.Load(); listener != nil {
		if err := listener.Drain(ctx); err != nil {
			return fmt.Errorf("shut down caller server: %w", err)
		}
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	if s.submits == nil {
		s.attempts.Wait()
		return nil
	}
	// The wait for attempts comes second: a submission starts attempts until its end,
	// and a WaitGroup must not be added to from zero while another goroutine waits.
	if err := s.submits.waitIdle(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	s.attempts.Wait()
	if err := s.submits.flush(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	return nil
}

// Close closes all connections and cancels all submissions.
func (s *Server) Close() error {
	if err := s.http.Close(); err != nil {
		return fmt.Errorf("close caller server: %w", err)
	}
	if s.submits == nil {
		return nil
	}
	if err := s.submits.stop(); err != nil {
		return fmt.Errorf("close caller server: %w", err)
	}
	return nil
}

// report sends an event to placement. It does not use the request's context:
// without the event, placement would count the attempt as in flight for ever.
func (s *Server) report(event place.Event) {
	if err := s.dispatcher.Report(context.Background(), event); err != nil {
		s.base.Log().Error("event not reported", "error", err)
	}
}

// LookupResponse is the response to GET /v1/entries: the entry hosts for a client,
// nearest first. The client may use them until ValidUntil.
type LookupResponse struct {
	Hosts      []EntryHost `json:"hosts"`
	ValidUntil time.Time   `json:"validUntil"`
}

// EntryHost is an entry host in a lookup response.
type EntryHost struct {
	Name    model.HostName `json:"name"`
	Address string         `json:"address"`
}

func (s *Server) handleEntries(w http.ResponseWriter, r *http.Request) {
	client := clientAddress(r)
	if text := r.URL.Query().Get("client"); text != "" {
		parsed, err := netip.ParseAddr(text)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, problem{Reason: fmt.Sprintf("client: %v", err)})
			return
		}
		client = parsed
	}
	response := s.lookup(client)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// lookup returns the lookup response for a client. It reads isLeaving and the
// clock under one lock, so no response with this host is valid after the time
// that Leave returns.
func (s *Server) lookup(client netip.Addr) LookupResponse {
	hosts := s.directory.EntryHosts(client)
	own := model.HostName(s.base.Settings().Host)
	s.mu.Lock()
	defer s.mu.Unlock()
	response := LookupResponse{Hosts: []EntryHost{}, ValidUntil: time.Now().Add(lookupTTL).UTC()}
	for _, host := range hosts {
		if s.isLeaving && host.Name() == own {
			continue
		}
		response.Hosts = append(response.Hosts, EntryHost{Name: host.Name(), Address: host.CallerAddress()})
	}
	return response
}

func clientAddress(r *http.Request) netip.Addr {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr().Unmap()
}
