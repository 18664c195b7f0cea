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
	// Close ends the delivery of decisions for a request.
	Close(id place.RequestID)
}

// Directory answers what the current configuration says about callers.
type Directory interface {
	// Service returns a service of the current configuration.
	Service(name model.ServiceName) (model.Service, bool)
	// Locate returns the home region and the block hash of a client address.
	Locate(client netip.Addr) (model.RegionName, uint64)
	// Entries returns the entry hosts that a client should use, nearest first.
	Entries(client netip.Addr) []model.Host
}

// Server answers callers.
type Server struct {
	base       *common.Base
	dispatcher Dispatcher
	directory  Directory
	upstreams  *upstrm.Client
	http       *http.Server
	// submits is nil until UseRegister is called.
	submits *submits
}

// lookupLifetime bounds how long a caller may use a lookup response. A
// stopping host serves on for this long after it has left the lookups.
const lookupLifetime = 5 * time.Second

// NewServer returns a server that is not yet listening.
func NewServer(base *common.Base, dispatcher Dispatcher, directory Directory, upstreams *upstrm.Client) *Server {
	server := &Server{base: base, dispatcher: dispatcher, directory: directory, upstreams: upstreams}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", server.handleEntries)
	mux.HandleFunc("POST /v1/keys", server.handleKeys)
	mux.HandleFunc("/s/{service}/{path...}", server.handleRequest)
	server.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return server
}

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
	if s.submits == nil {
		return nil
	}
	if err := s.submits.wait(ctx); err != nil {
		return fmt.Errorf("shut down caller server: %w", err)
	}
	return nil
}

// Entries is the response to a lookup.
type Entries struct {
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
	entries := Entries{Hosts: []EntryHost{}, ValidUntil: time.Now().Add(lookupLifetime).UTC()}
	for _, host := range s.directory.Entries(client) {
		entries.Hosts = append(entries.Hosts, EntryHost{Name: host.Name(), Address: host.CallerAddress()})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(entries)
}

func clientAddress(r *http.Request) netip.Addr {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr().Unmap()
}
