package proxy

import (
	"strconv"
	"time"

	"filberthold/conns"
	"filberthold/steer"
)

// maxFields is the number of names and values for which a log line has room without
// another allocation.
const maxFields = 60

// reportAttempt updates the metrics of attempts, and writes the log line of one that got
// no valid response or a refusal. Others have the line of their request only.
func (e *exchange) reportAttempt(outcome attemptOutcome, trace *conns.Trace) {
	e.lastTrace = trace
	e.proof = outcome.proof()
	metrics := e.server.metrics
	metrics.attempts.WithLabelValues(string(e.service), outcome.result.String()).Inc()
	if trace.ForeignResponses() > 0 {
		metrics.foreign.WithLabelValues(string(e.service)).Add(float64(trace.ForeignResponses()))
	}
	e.hasAttemptLine = outcome.result != steer.Answered || e.proof != noProof
	if !e.hasAttemptLine {
		return
	}
	status := 0
	if outcome.response != nil {
		status = outcome.response.Status
	}
	endpoint := e.lastSend.Endpoint
	fields := make([]any, 0, maxFields)
	fields = append(fields, "request", e.header.AttemptID, "attempt", len(e.tried), "service", e.service,
		"endpoint", endpoint.Name, "address", endpoint.Address, "zone", endpoint.Zone, "load", e.lastSend.Load,
		"result", outcome.result.String(), "elapsed", time.Since(e.sentAt), "timeLeft", e.deadline.Sub(e.sentAt),
		"status", status, "proof", e.proof)
	fields = appendTrace(fields, trace)
	if len(e.tried) > 1 {
		fields = append(fields, "retryCredit", e.retryCredit)
	}
	e.server.log.Info("attempt failed", append(fields, "error", errorText(outcome.err))...)
}

// appendTrace appends the log fields of a connection, and of what was sent and read on it.
func appendTrace(fields []any, trace *conns.Trace) []any {
	connection := "none"
	switch {
	case trace.IsUsed():
		connection = "used"
	case trace.HasConnection():
		connection = "new"
	}
	return append(fields, "connection", connection, "local", trace.Local(), "idle", trace.Idle(),
		"connectTime", trace.ConnectTime(), "writeTime", trace.WriteTime(),
		"written", trace.Written(), "size", trace.Size(), "unacknowledged", trace.Unacknowledged(),
		"headRead", trace.HasHead(), "firstResponse", trace.IsFirstResponse(), "foreignResponses", trace.ForeignResponses())
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
	fields := make([]any, 0, maxFields)
	fields = append(fields, "request", e.header.AttemptID, "caller", e.request.RemoteAddr, "object", e.header.Object, "class", class,
		"route", e.route.Name, "organisation", e.organisation.Name, "configVersion", version,
		"knowledgeAge", e.server.freshness.EndpointAge(), "operatorAge", e.server.freshness.OperatorAge(), "service", e.service, "attempts", len(e.tried), "endpoint", e.lastSend.Endpoint.Name,
		"zone", e.lastSend.Endpoint.Zone, "place", e.lastSend.Rank, "load", e.lastSend.Load, "candidates", e.lastSend.Candidates,
		"patience", e.header.Timeout, "elapsed", elapsed, "status", status, "outcome", reason, "error", errorText(err))
	e.server.log.Info("request ended", e.appendAttempts(fields, status)...)
}

// appendAttempts appends the log fields of an ended request's withdrawn key, and of its
// attempts: when the latest one was sent if no line of its own tells that, the credit left
// at the choice of a retry, and the proof of a refusal.
func (e *exchange) appendAttempts(fields []any, status int) []any {
	if e.withdrawal.Version > 0 {
		fields = append(fields, "keyWithdrawnIn", e.withdrawal.Version, "keyOrganisation", e.withdrawal.Organisation)
	}
	if len(e.tried) > 0 && !e.hasAttemptLine {
		fields = append(fields, "sentAfter", e.sentAt.Sub(e.arrivedAt))
	}
	if execution, total := e.lastSend.Work.Expected(); total > 0 {
		fields = append(fields, "expectedTime", total, "expectedWait", total-execution)
	}
	if e.quotaRefusal != nil {
		fields = e.appendQuota(fields)
	}
	if e.isRetryChosen {
		fields = append(fields, "retryCredit", e.retryCredit)
	}
	if len(e.tried) > 0 && isRefusal(status) {
		fields = append(fields, "proof", e.proof)
	}
	if e.lastTrace != nil && e.lastTrace.ForeignResponses() > 0 {
		fields = append(fields, "foreignResponses", e.lastTrace.ForeignResponses())
	}
	return appendBacklog(fields, e.rejection)
}

// appendBacklog appends the log fields of what decided that a request got no slot in time.
func appendBacklog(fields []any, rejection steer.Reject) []any {
	backlog := rejection.Backlog
	if !backlog.IsKnown {
		return fields
	}
	return append(fields, "waiting", backlog.Waiting, "ahead", backlog.Ahead, "slotsPerSecond", backlog.SlotsPerSecond,
		"expectedWait", backlog.ExpectedWait, "maxWait", backlog.MaxWait, "retryAfter", rejection.RetryAfter)
}

// noteRetryCredit keeps the credit that is left after the choice of a retry, for the log.
func (e *exchange) noteRetryCredit() {
	if len(e.tried) == 0 {
		return
	}
	e.isRetryChosen = true
	e.retryCredit = e.server.core.retryCredit(e.service)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
