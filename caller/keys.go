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

// flushTimeout bounds the wait for the store at a planned stop. Repeats of keys
// whose rows are not stored then read as unknown.
const flushTimeout = 10 * time.Second

// IssuedKey is the response to POST /v1/keys. The key may be used at Host only
// and must be claimed before ValidUntil.
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
	if reason := s.whyNoKey(); reason != "" {
		s.base.Log().Info("refuse key", "outcome", model.NotSent, "reason", reason)
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: reason})
		return
	}
	key, validUntil, err := s.submits.bound.Issue(time.Now())
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(IssuedKey{Key: key, Host: s.submits.bound.Host(), ValidUntil: validUntil.UTC()})
}

// whyNoKey returns why no key is issued now, or "". A key runs at this host
// only, so it is of no use if the host is about to stop.
func (s *Server) whyNoKey() string {
	switch {
	case s.IsLeaving():
		return "the host is leaving"
	case !s.takesWork():
		return cutOffReason
	}
	return ""
}

// registerFor returns the register in which a key may be claimed at this host,
// or nil and the answer if there is none.
func (s *submits) registerFor(ctx context.Context, e *exchange, key string) (*store.Register, claim.Answer) {
	issuer, isBound := store.IssuingHost(key)
	switch {
	case !isBound:
		return s.register, claim.Answer{}
	case issuer != s.bound.Host():
		reason := fmt.Sprintf("the key is bound to host %q, which must be asked", issuer)
		return nil, claim.Answer{Outcome: model.NotSent, Reason: reason}
	case s.bound.Has(key):
		return s.boundRegister, claim.Answer{}
	}
	// An earlier incarnation issued the key, or it is expired and forgotten.
	return nil, s.register.LookUp(ctx, e.request.Service, key, e.fingerprint())
}

// flush waits until the rows of host-bound keys are stored.
func (s *submits) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := s.bound.Flush(ctx); err != nil {
		return fmt.Errorf("flush host-bound keys: %w", err)
	}
	return nil
}
