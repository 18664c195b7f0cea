package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"filberthold/conns"
	"filberthold/drain"
	"filberthold/memory"
	"filberthold/model"
	"filberthold/orgs"
	"filberthold/platform"
	"filberthold/quota"
	"filberthold/route"
	"filberthold/steer"
)

const (
	// maxBufferedBody bounds the request body that is buffered in memory, in
	// bytes. A longer body is streamed, and its request is sent only once.
	maxBufferedBody = 64 << 10
	// responseMargin is how much longer the host waits for a response than the
	// deadline that it sends to the endpoint. An endpoint that reaches its
	// deadline sends a timeout response, which must still arrive.
	responseMargin = 130 * time.Millisecond
	// maxRefusedPermits is the number of refused permits after which a request that
	// has waited long enough is rejected. Fewer could mean that only a few endpoints
	// are limited.
	maxRefusedPermits = 3
	// unavailableRetryAfter is the Retry-After of a host that is not ready, is
	// shutting down or has no further attempt for a request that has not run. It
	// is short because another host can serve the request.
	unavailableRetryAfter = 100 * time.Millisecond
)

// exchange is the handling of one request, from its arrival to the end of its
// response.
type exchange struct {
	server    *Server
	writer    http.ResponseWriter
	request   *http.Request
	header    platform.RequestHeader
	arrivedAt time.Time
	config    *route.Config
	route     route.Route
	// isTrusted is true if the keys of config may be used. It was read before config.
	isTrusted bool
	// organisation is that of the caller's key. It is the zero value if the configuration
	// has no organisations or the route needs no key.
	organisation route.Organisation
	// withdrawal tells, for the log, which version withdrew an unknown key.
	withdrawal orgs.Withdrawal
	service    model.ServiceName
	// hasQuotaCredit is true while the request counts towards its organisation's quota.
	hasQuotaCredit bool
	// quotaRefusal is set if the request was over the quota.
	quotaRefusal *quota.Refused
	// deadline is when the caller stops waiting: after the timeout of the route or
	// its own, whichever is shorter.
	deadline time.Time
	// body is the body, or its beginning if stream is not nil.
	body *memory.Buffer
	// stream is the body if it is too long to be buffered, or the memory for bodies has
	// no room for it.
	stream *streamedBody
	// tried holds the endpoints to which the request was sent, in order.
	tried []model.EndpointName
	// triedAddresses holds the addresses of these endpoints.
	triedAddresses []netip.AddrPort
	// brokenFirst is the first attempt if its connection broke and it is not yet counted as
	// one that may still arrive.
	brokenFirst *attemptEnd
	// hasSent is true once an attempt may have been sent in part. The attempts after it are
	// repeats at their service; earlier ones cost no retry credit, as nothing of them arrives.
	hasSent bool
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// lastSend is the selection of the latest attempt, for the log.
	lastSend steer.Send
	// sentAt is when the latest attempt was sent.
	sentAt time.Time
	// lastTrace and proof are those of the latest attempt, for the log.
	lastTrace *conns.Trace
	proof     refusalProof
	// hasAttemptLine is true if the latest attempt has a log line of its own.
	hasAttemptLine bool
	// isRetryChosen is true once a further attempt was chosen, or rejected by the retry
	// limit. retryCredit is the service's credit of retries just after that.
	isRetryChosen bool
	retryCredit   float64
	// refusedPermits counts the permits for limited endpoints that were not granted.
	refusedPermits int
	// rejection is the latest rejection by the steering, for the log.
	rejection steer.Reject
}

func (s *Server) handleRequest(writer http.ResponseWriter, request *http.Request) {
	isTrusted := s.isTrusted()
	e := &exchange{
		server: s, writer: writer, request: request, isTrusted: isTrusted,
		header: platform.ParseRequestHeader(request.Header), arrivedAt: time.Now(), config: s.core.Config(), body: memory.NewBuffer(s.limit),
	}
	defer e.body.Release()
	platform.EchoAttempt(writer.Header(), e.header)
	if s.isRefusing.Load() {
		e.refuse(hostStops, unavailableRetryAfter)
		return
	}
	if e.config == nil || !s.core.IsReady() {
		e.refuse(hostStarts, unavailableRetryAfter)
		return
	}
	path, _, _ := strings.Cut(e.requestTarget(), "?")
	matchedRoute, exists := e.config.Match(request.Host, path)
	if !exists {
		e.denyByConfig(http.StatusNotFound, noRoute)
		return
	}
	e.route = matchedRoute
	if !e.authenticate() {
		return
	}
	e.serve()
}

// requestTarget returns the path and query as the caller sent them.
func (e *exchange) requestTarget() string { return requestTarget(e.request) }

func requestTarget(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

func (e *exchange) serve() {
	if !e.countTowardsQuota() {
		return
	}
	timeout := e.route.Timeout
	if e.header.Timeout > 0 {
		timeout = min(timeout, e.header.Timeout)
	}
	e.deadline = e.arrivedAt.Add(timeout)
	if !e.readBody() {
		return
	}
	e.service = e.server.core.pickService(e.config.Version(), e.route)
	for {
		if e.attempt() {
			return
		}
	}
}

// readBody buffers a short body. If the body is too long or cannot be read, it
// fails the request and returns false.
func (e *exchange) readBody() bool {
	limit := e.config.Limits().MaxBodyBytes
	if limit > 0 && e.request.ContentLength > limit {
		e.denyByConfig(http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if e.request.ContentLength > maxBufferedBody {
		return e.streamBody(e.request.Body)
	}
	isComplete, err := e.fillBody()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e.fail(http.StatusRequestTimeout, "the body did not arrive in time")
		return false
	}
	if err != nil {
		e.fail(http.StatusBadRequest, "the body did not arrive: "+err.Error())
		return false
	}
	if !isComplete {
		return e.streamBody(io.MultiReader(bytes.NewReader(e.body.Bytes()), e.request.Body))
	}
	return true
}

// completeBody returns the body if it is buffered as a whole.
func (e *exchange) completeBody() []byte {
	if e.stream != nil {
		return nil
	}
	return e.body.Bytes()
}

// attempt sends the request to an endpoint. It reports whether the exchange has
// ended; otherwise serve calls it again.
func (e *exchange) attempt() bool {
	if !e.fitsIntoStop(time.Now()) {
		e.rejectForStop()
		return true
	}
	query := e.query()
	decision := e.server.core.chooseOrWait(e.request.Context(), query, e.waitDeadline())
	e.noteRetryCredit()
	switch decision := decision.(type) {
	case steer.Reject:
		e.handleReject(decision)
		return true
	case steer.Send:
		if decision.Permit.IsNeeded() {
			if permit := e.obtainPermit(query, decision); !permit.IsGranted {
				return e.endWithoutPermit(permit)
			}
		}
		e.lastSend = decision
		e.tried = append(e.tried, decision.Endpoint.Name)
		return e.handleOutcome(e.send(decision))
	}
	return true
}

func (e *exchange) query() steer.Query {
	return steer.Query{
		Service: e.service, Object: e.header.Object, AttemptID: e.header.AttemptID, Method: e.request.Method, SizeClass: steer.SizeClassOf(e.request.ContentLength), Route: e.route, Organisation: e.organisation, Tried: e.tried, IsUnsent: !e.hasSent, HasWaited: e.refusedPermits > 0,
	}
}

// obtainPermit asks for the permit that a send needs.
func (e *exchange) obtainPermit(query steer.Query, decision steer.Send) steer.Permit {
	startedAt := time.Now()
	permit, err := e.server.core.obtainPermit(e.request.Context(), query, decision)
	if permit.IsGranted {
		return permit
	}
	e.refusedPermits++
	e.server.log.Info("permit not granted", "request", e.header.AttemptID, "endpoint", decision.Endpoint.Name, "service", e.service,
		"owner", decision.Permit.Owner, "limit", decision.Permit.News.Limit.PerSecond, "elapsed", time.Since(startedAt),
		"retryAfter", permit.RetryAfter, "error", errorText(err))
	return permit
}

// endWithoutPermit ends a request that got no permit if its caller has left, or if it
// has waited as long as requests wait for a slot and several permits were refused. It
// returns false if another endpoint may be chosen.
func (e *exchange) endWithoutPermit(permit steer.Permit) bool {
	if e.request.Context().Err() != nil {
		e.fail(http.StatusBadGateway, "the caller has left")
		return true
	}
	if time.Now().Before(e.waitDeadline()) || e.refusedPermits < maxRefusedPermits {
		return false
	}
	e.handleReject(steer.Reject{Reason: "no permit for a limited endpoint", RetryAfter: permit.RetryAfter})
	return true
}

// waitDeadline returns the time until which the request waits for a slot.
func (e *exchange) waitDeadline() time.Time { return waitDeadline(e.route, e.arrivedAt, e.deadline) }

func (e *exchange) handleReject(reject steer.Reject) {
	e.rejection = reject
	if e.mayHaveRun {
		e.fail(http.StatusBadGateway, reject.Reason)
		return
	}
	e.refuse(reject.Reason, reject.RetryAfter)
}

func (e *exchange) send(decision steer.Send) attemptOutcome {
	startedAt := time.Now()
	e.sentAt = startedAt
	ctx := e.request.Context()
	if !e.route.Class.Idempotent() {
		// The endpoint may complete the request after the caller disconnects, so
		// the host waits for the outcome.
		ctx = context.WithoutCancel(ctx)
	}
	header := forwardedHeader(e.request.Header)
	e.setOrganisation(header)
	platform.SetTarget(header, decision.Endpoint.Name, e.deadline.Sub(startedAt))
	trace := new(conns.Trace)
	response, err := e.server.pool.Exchange(ctx, decision.Endpoint.Address, conns.Request{
		Method: e.request.Method, Target: e.requestTarget(), Domain: e.request.Host, Header: header,
		Body: e.completeBody(), Stream: e.streamReader(), Length: e.request.ContentLength,
		Deadline: e.deadline.Add(responseMargin), MaxIdle: e.maxIdle(decision.Endpoint.Address), MatchesResponse: e.matchesResponse, Trace: trace,
	})
	e.triedAddresses = append(e.triedAddresses, decision.Endpoint.Address)
	var responseHeader platform.ResponseHeader
	if response != nil {
		responseHeader = platform.ParseResponseHeader(response.Status, response.Header)
	}
	outcome := classify(response, responseHeader, err, ctx.Err() != nil)
	limitChanged := e.server.core.recordOutcome(steer.Outcome{
		Endpoint: decision.Endpoint.Name, Result: outcome.result, Elapsed: time.Since(startedAt),
		HasLoad: responseHeader.HasLoad, Busy: responseHeader.Load.Running + responseHeader.Load.Waiting,
		Limit: steer.RateLimit{IsSet: responseHeader.HasLimit, PerSecond: responseHeader.RateLimit},
		Work:  decision.Work,
	}, outcome.isEndpointGone)
	if !trace.HasHead() {
		e.recordEnd(attemptEnd{result: outcome.result, isSent: outcome.isSent(), isEndpointGone: outcome.isConnectionRefused()})
	}
	e.hasSent = e.hasSent || outcome.isSent()
	if limitChanged {
		e.server.log.Info("endpoint limit changed", "endpoint", decision.Endpoint.Name, "service", e.service, "request", e.header.AttemptID,
			"isLimited", responseHeader.HasLimit, "perSecond", responseHeader.RateLimit)
	}
	if outcome.result == steer.Unreachable {
		// Other idle connections to the endpoint may be broken too.
		e.server.pool.CloseIdle(decision.Endpoint.Address)
	}
	e.reportAttempt(outcome, trace)
	return outcome
}

// handleOutcome delivers, retries or fails the request after an attempt. It
// reports whether the exchange has ended.
func (e *exchange) handleOutcome(outcome attemptOutcome) bool {
	switch action := decideNextAction(e.route.Class, outcome).(type) {
	case deliver:
		e.deliver(outcome)
		return true
	case fail:
		outcome.discard()
		e.mayHaveRun = true
		e.fail(action.status, action.reason)
		return true
	case retry:
		e.mayHaveRun = e.mayHaveRun || action.mayHaveRun
		return e.retryOrEnd(outcome, action)
	}
	return true
}

// retryOrEnd returns false if another attempt is allowed and enough time is
// left. Otherwise it ends the exchange and returns true.
func (e *exchange) retryOrEnd(outcome attemptOutcome, action retry) bool {
	isCancelled := e.request.Context().Err() != nil
	canRetry := len(e.tried) < e.route.MaxAttempts && time.Until(e.deadline) > minRetryTime && e.stream == nil
	if !isCancelled && !canRetry && e.mayHaveRun && outcome.isDeliverable() {
		e.deliver(outcome)
		return true
	}
	outcome.discard()
	switch {
	case isCancelled:
		e.fail(http.StatusBadGateway, "the caller has left")
	case canRetry:
		return false
	case e.mayHaveRun:
		e.fail(http.StatusBadGateway, action.reason)
	default:
		e.refuse(action.reason, max(unavailableRetryAfter, e.server.core.minRetryAfter(e.query())))
	}
	return true
}

// deliver sends the endpoint's response to the caller.
func (e *exchange) deliver(outcome attemptOutcome) {
	header := e.writer.Header()
	for name, values := range forwardedHeader(outcome.response.Header) {
		header[name] = values
	}
	hasRest := outcome.response.Rest != nil
	switch {
	case !hasRest && outcome.response.Status != http.StatusNoContent && outcome.response.Status != http.StatusNotModified && e.request.Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(len(outcome.response.Body)))
	case hasRest && outcome.response.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(outcome.response.Length, 10))
	}
	e.closeBehindBody()
	e.writer.WriteHeader(outcome.response.Status)
	err := outcome.response.CopyTo(e.writer)
	var bodyErr error
	if err == nil {
		bodyErr = e.finishBody(outcome.response)
	}
	e.logAndCount(outcome.response.Status, "delivered", errors.Join(err, bodyErr, outcome.response.Close()))
	if err != nil {
		// The connection is aborted, so that the caller does not take the
		// truncated response as complete.
		drain.Abort(e.request)
	}
}

// refuse responds with status 503 and a Retry-After. It states that the request
// has not run and will not run.
func (e *exchange) refuse(reason string, retryAfter time.Duration) {
	e.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	e.fail(http.StatusServiceUnavailable, reason)
}

func (e *exchange) fail(status int, reason string) {
	e.returnQuotaCredit()
	e.closeBehindBody()
	e.writer.Header().Set("Content-Type", "application/problem+json")
	e.writer.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = io.WriteString(e.writer, `{"reason":`+strconv.Quote(reason)+"}\n")
	e.logAndCount(status, reason, nil)
}

// forwardedHeader returns a copy of the headers without those that apply to a
// single connection.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		forwarded.Del(name)
	}
	return forwarded
}
