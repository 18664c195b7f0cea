package caller

import (
	"encoding/json"
	"net/http"

	"filberthold/model"
	"filberthold/place"
)

const (
	// RequestHeader carries the request ID, which audit records also have.
	RequestHeader = "Filberthold-Request"
	// OutcomeHeader carries the outcome of the request.
	OutcomeHeader = "Filberthold-Outcome"
	// CustomerHeader carries the name of the customer for whom a request is made.
	CustomerHeader = "Filberthold-Customer"
	// KeyHeader carries the idempotency key of a submit.
	KeyHeader = "Idempotency-Key"
)

// problem is the body of a response that the host itself generates (RFC 9457).
type problem struct {
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Outcome model.Outcome   `json:"outcome"`
	Reason  string          `json:"reason"`
	Request place.RequestID `json:"request,omitempty"`
}

func writeProblem(w http.ResponseWriter, status int, body problem) {
	if body.Outcome == "" {
		body.Outcome = model.NotSent
	}
	body.Title = http.StatusText(status)
	body.Status = status
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(OutcomeHeader, string(body.Outcome))
	if body.Request != "" {
		w.Header().Set(RequestHeader, string(body.Request))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// statusOf returns the HTTP status for an outcome without an upstream response.
func statusOf(outcome model.Outcome) int {
	switch outcome {
	case model.Unknown:
		return http.StatusGatewayTimeout
	case model.Pending:
		return http.StatusConflict
	case model.NotRun, model.NotSent, model.Served:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}
