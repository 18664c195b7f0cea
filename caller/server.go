// Package caller is the HTTP server for callers: it answers which entry hosts
// to use and carries requests to upstreams.
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
	"time"

	"filberthold/common"
	"filberthold/model"
	"filberthold/place"
	"filberthold/upstrm"
)

// Dispatcher connects requests with the placement of the entry host.
type Dispatcher interface {
	// Open hands a request to placement and returns its decisions in order.
	Open(ctx context.Context, request place.Request) (<-chan place.Decision, error)
	// Report hands an event to placement.
	Report(ctx context.Context, event place.Event) error
	// Reserve makes sure that a submit can be accounted for.
	Reserve(request place.Request) error
	// Close ends the delivery of decisions for a request.
	Close(id place.RequestID)
}

// Directory answers what the current configuration says about callers.
type Directory interface {
	// Service returns a service of the current configuration.
	Service(name model.ServiceName) (model.Service, bool)
	// Locate returns the home region and the block hash of a client address.
	Locate(client netip.Addr) (model.RegionName, uint64)
	// EntryHosts returns the entry hosts that a client should use, nearest first.
	EntryHosts(client netip.Addr) []model.Host
}

// Server answers callers.
type Server struct {
	base       *common.Base
	dispatcher Dispatcher
	directory  Directory
	upstreams  *upstrm.Client
	http       *http.Server
	// observe counts requests that have ended. It may be nil.
	observe func(service model.Service, outcome model.Outcome, elapsed time.Duration)
	// takesWork reports whether new requests are accepted.
	takesWork func() bool
	// attempts counts the attempts in flight; they can outlive their request.
	attempts sync.WaitGroup
	// submits is nil until UseRegister is called.
	submits *submits
	mu      sync.Mutex
	// isLeaving is true once the host takes itself out of its lookup responses.
	isLeaving bool
}

const (
	// lookupLifetime bounds how long a caller may use a lookup response.
	lookupLifetime = 5 * time.Second
	// leavingSpread bounds the time after which no other host names a leaving
	// host any more. A leaving mark takes a few rounds of digests, which peers
	// exchange every second.
	leavingSpread = 3 * time.Second
	// cutOffReason is the reason of a refusal while the host takes no work.
	cutOffReason = "the host takes no new work: neither the store nor a peer confirms its configuration"
)

// NewServer returns a server that is not yet listening.
func NewServer(base *common.Base, dispatcher Dispatcher, directory Directory, upstreams *upstrm.Client) *Server {
	server := &Server{
		base: base, dispatcher: dispatcher, directory: directory, upstreams: upstreams,
		takesWork: func() bool { return true },
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", server.handleEntries)
	mux.HandleFunc("POST /v1/keys", server.handleKeys)
	mux.HandleFunc("/s/{service}/{path...}", server.handleRequest)
	server.http = &http.Server{Handler: server.closeWhenLeaving(mux), ReadHeaderTimeout: 5 * time.Second}
	return server
}

// closeWhenLeaving ends kept connections of callers with a response, so that
// none is closed while a caller is about to use it again.
func (s *Server) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.IsLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Leave takes the host out of its lookup responses. It returns the time from
// which no valid lookup response, of this host or another, names it.
func (s *Server) Leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
	return time.Now().Add(leavingSpread + lookupLifetime)
}

// IsLeaving reports whether the host is about to stop.
func (s *Server) IsLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeaving
}

// ObserveRequests makes the server report each request that has ended. It must
// be called before Run.
func (s *Server) ObserveRequests(observe func(model.Service, model.Outcome, time.Duration)) {
	s.observe = observe
}

// SetAcceptCheck makes the server refuse new requests and keys while takesWork
// reports false; requests in flight go on. It must be called before Run. The
// function must not report false because the host is leaving: a leaving host
// serves callers until no valid lookup response names it.
func (s *Server) SetAcceptCheck(takesWork func() bool) { s.takesWork = takesWork }

// Run serves the listener until Shutdown is called.
func (s *Server) Run(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown closes the listener and waits for all requests in flight, including
// submits whose callers gave up.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	s.attempts.Wait()
	if s.submits == nil {
		return nil
	}
	if err := s.submits.wait(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	if err := s.submits.flush(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	return nil
}

// Close breaks all connections and ends all submissions where they are.
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

// report hands an event to placement. It is not given up with the request,
// because placement would count the attempt as in flight for ever.
func (s *Server) report(event place.Event) {
	if err := s.dispatcher.Report(context.Background(), event); err != nil {
		s.base.Log().Error("event not reported", "error", err)
	}
}

// LookupResponse is the response to a lookup.
type LookupResponse struct {
	Hosts      []EntryHost `json:"hosts"`
	ValidUntil time.Time   `json:"validUntil"`
}

// EntryHost is one entry host of a lookup response.
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
	entries := s.entries(client)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}

// entries holds the lock from the check to the deadline, so that the time that
// Leave returns covers every response that names the host.
func (s *Server) entries(client netip.Addr) LookupResponse {
	hosts := s.directory.EntryHosts(client)
	own := model.HostName(s.base.Settings().Host)
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := LookupResponse{Hosts: []EntryHost{}, ValidUntil: time.Now().Add(lookupLifetime).UTC()}
	for _, host := range hosts {
		if s.isLeaving && host.Name() == own {
			continue
		}
		entries.Hosts = append(entries.Hosts, EntryHost{Name: host.Name(), Address: host.CallerAddress()})
	}
	return entries
}

func clientAddress(r *http.Request) netip.Addr {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr().Unmap()
}
