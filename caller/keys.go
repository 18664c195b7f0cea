package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"filberthold/claim"
	"filberthold/model"
	"filberthold/store"
)

// flushTimeout bounds the wait for the store at a graceful shutdown. A repeat of a
// key whose row was not stored in this time gets the outcome unknown.
const flushTimeout = 10 * time.Second

// IssuedKey is the response to POST /v1/keys. The key is valid only at Host, and a
// submit must claim it before ValidUntil.
type IssuedKey struct {
	Key        string         `json:"key"`
	Host       model.HostName `json:"host"`
	ValidUntil time.Time      `json:"validUntil"`
}

// handleKeys issues a host-bound key.
func (s *Server) handleKeys(w http.ResponseWriter, _ *http.Request) {
	if s.submits == nil {
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: "no register"})
		return
	}
	if reason := s.keyRefusal(); reason != "" {
		s.base.Log().Info("refuse key", "outcome", model.NotSent, "reason", reason)
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: reason})
		return
	}
	key, validUntil, err := s.submits.boundKeys.Issue(time.Now())
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(IssuedKey{Key: key, Host: s.submits.boundKeys.Host(), ValidUntil: validUntil.UTC()})
}

// keyRefusal returns the reason not to issue a key now, or "". A key is valid only
// at this host, so a host that is leaving issues none.
func (s *Server) keyRefusal() string {
	switch {
	case s.IsLeaving():
		return "the host is leaving"
	case !s.acceptsRequests():
		return isolatedReason
	}
	return ""
}

// registerFor returns the register in which this host may claim a key. If there is
// none, it returns nil and the answer to the caller.
func (s *submitRunner) registerFor(ctx context.Context, e *exchange, key string) (*store.Register, claim.Answer) {
	issuer, isBound := store.IssuingHost(key)
	switch {
	case !isBound:
		return s.register, claim.Answer{}
	case issuer != s.boundKeys.Host():
		reason := fmt.Sprintf("the key is bound to host %q, which must be asked", issuer)
		return nil, claim.Answer{Outcome: model.NotSent, Reason: reason}
	case s.boundKeys.Has(key):
		return s.boundRegister, claim.Answer{}
	}
	// An earlier incarnation issued the key, or the key has expired.
	return nil, s.register.LookUp(ctx, e.request.Service, key, e.fingerprint())
}

// flush waits until the rows of host-bound keys are stored.
func (s *submitRunner) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.boundKeys.Flush(ctx); err != nil {
		return fmt.Errorf("flush host-bound keys: %w", err)
	}
	return nil
}
