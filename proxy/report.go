package proxy

import (
	"strconv"
	"time"

	"filberthold/steer"
)

// reportAttempt updates the metrics of attempts, and writes the log line of one without
// a valid response.
func (e *exchange) reportAttempt(decision steer.Send, outcome attemptOutcome, startedAt time.Time) {
	e.server.metrics.attempts.WithLabelValues(string(e.service), outcome.result.String()).Inc()
	if outcome.result != steer.Answered {
		e.server.log.Info("attempt failed", "request", e.header.AttemptID, "attempt", len(e.tried), "service", e.service,
			"endpoint", decision.Endpoint.Name, "zone", decision.Endpoint.Zone, "load", decision.Load,
			"result", outcome.result.String(), "elapsed", time.Since(startedAt), "error", errorText(outcome.err))
	}
}

// logAndCount writes the log line and updates the metrics of an ended request.
func (e *exchange) logAndCount(status int, reason string, err error) {
	elapsed := time.Since(e.arrivedAt)
	class := "none"
	if e.route.Class != 0 {
		class = e.route.Class.String()
	}
	e.server.metrics.observeRequest(class, strconv.Itoa(status), elapsed)
	version := uint64(0)
	if e.config != nil {
		version = e.config.Version()
	}
	e.server.log.Info("request ended", "request", e.header.AttemptID, "object", e.header.Object, "class", class,
		"route", e.route.Name, "configVersion", version,
		"knowledgeAge", e.server.freshness.EndpointAge(), "operatorAge", e.server.freshness.OperatorAge(), "service", e.service, "attempts", len(e.tried), "endpoint", e.lastSend.Endpoint.Name,
		"place", e.lastSend.Rank, "load", e.lastSend.Load, "candidates", e.lastSend.Candidates,
		"patience", e.header.Timeout, "elapsed", elapsed, "status", status, "outcome", reason, "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
