package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filberthold/conns"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/route"
	"filberthold/steer"
)

const (
	// maxHeldBody bounds a request body that is held in memory. A longer one is
	// passed on while it arrives, and its request is sent once.
	maxHeldBody = 64 << 10
	// submitIdle bounds the idle time of a connection that carries a request
	// that is not idempotent: it cannot be sent again if the endpoint closes
	// the connection at that moment.
	submitIdle = time.Second
	// anyIdle leaves the bound to the pool.
	anyIdle = time.Hour
	// answerMargin is how much longer than the time given to the endpoint its
	// answer is awaited: the endpoint's own timeout answer has to travel.
	answerMargin = 130 * time.Millisecond
	// unreadyPause is the Retry-After of a host that cannot serve yet or is
	// about to stop; another host can.
	unreadyPause = 100 * time.Millisecond
)

// exchange carries one request from its arrival to its answer.
type exchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	meta     platform.RequestHeader
	arrived  time.Time
	config   *route.Config
	route    route.Route
	service  model.ServiceName
	deadline time.Time
	body     []byte
	// stream is the body if it is too long to be held.
	stream io.Reader
	tried  []model.EndpointName
	// hasRun is true once an endpoint may have run the request.
	hasRun bool
	// last is the decision about the latest attempt, for the log.
	last steer.Send
}

func (s *Server) handle(writer http.ResponseWriter, request *http.Request) {
	e := &exchange{
		server: s, writer: writer, request: request,
		meta: platform.ParseRequestHeader(request.Header), arrived: time.Now(), config: s.core.Config(),
	}
	if s.isLeaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	platform.EchoAttempt(writer.Header(), e.meta)
	if s.isClosed.Load() {
		e.refuse("the host is about to stop", unreadyPause)
		return
	}
	if e.config == nil || !s.core.IsReady() {
		e.refuse("the host knows no configuration or no endpoint yet", unreadyPause)
		return
	}
	path, _, _ := strings.Cut(e.target(), "?")
	matched, exists := e.config.Match(request.Host, path)
	if !exists {
		e.fail(http.StatusNotFound, "no route matches")
		return
	}
	e.route = matched
	e.serve()
}

// target is the path and query as the caller sent them.
func (e *exchange) target() string {
	if strings.HasPrefix(e.request.RequestURI, "/") {
		return e.request.RequestURI
	}
	return e.request.URL.RequestURI()
}

func (e *exchange) serve() {
	wait := e.route.Timeout
	if e.meta.Timeout > 0 {
		wait = min(wait, e.meta.Timeout)
	}
	e.deadline = e.arrived.Add(wait)
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

// readBody holds a short body, and reports false if the request has ended.
func (e *exchange) readBody() bool {
	limit := e.config.Limits().MaxBodyBytes
	if limit > 0 && e.request.ContentLength > limit {
		e.fail(http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if e.request.ContentLength > maxHeldBody {
		e.stream = e.request.Body
		return true
	}
	held, err := io.ReadAll(io.LimitReader(e.request.Body, maxHeldBody+1))
	if err != nil {
		e.fail(http.StatusBadRequest, "the body did not arrive: "+err.Error())
		return false
	}
	if len(held) > maxHeldBody {
		e.stream = io.MultiReader(strings.NewReader(string(held)), e.request.Body)
		return true
	}
	e.body = held
	return true
}

// attempt sends the request to an endpoint and reports whether the request has
// ended.
func (e *exchange) attempt() bool {
	decision := e.server.core.chooseOrWait(e.request.Context(), steer.Query{
		Service: e.service, Object: e.meta.Object, Attempt: e.meta.Attempt, Route: e.route, Tried: e.tried,
	}, e.waitUntil())
	switch decision := decision.(type) {
	case steer.Reject:
		e.rejected(decision)
		return true
	case steer.Send:
		e.last = decision
		e.tried = append(e.tried, decision.Endpoint.Name)
		return e.conclude(e.send(decision))
	}
	return true
}

// waitUntil is until when the request waits for a slot.
func (e *exchange) waitUntil() time.Time {
	patience := time.Duration(float64(e.route.LatencyObjective) * waitPart)
	return e.arrived.Add(min(patience, e.deadline.Sub(e.arrived)/4))
}

func (e *exchange) rejected(decision steer.Reject) {
	if e.hasRun {
		e.fail(http.StatusBadGateway, decision.Reason)
		return
	}
	e.refuse(decision.Reason, decision.RetryAfter)
}

func (e *exchange) send(decision steer.Send) attempted {
	started := time.Now()
	ctx := e.request.Context()
	maxIdle := anyIdle
	if !e.route.Class.Idempotent() {
		// The caller's leaving does not undo what the endpoint does.
		ctx = context.WithoutCancel(ctx)
		maxIdle = submitIdle
	}
	header := forwardedHeader(e.request.Header)
	platform.SetTarget(header, decision.Endpoint.Name, e.deadline.Sub(started))
	reply, err := e.server.pool.Exchange(ctx, decision.Endpoint.Address, conns.Request{
		Method: e.request.Method, Target: e.target(), Domain: e.request.Host, Header: header,
		Body: e.body, Stream: e.stream, Length: e.request.ContentLength,
		Deadline: e.deadline.Add(answerMargin), MaxIdle: maxIdle, MatchesResponse: e.isOwn,
	})
	var answer platform.ResponseHeader
	if reply != nil {
		answer = platform.ParseResponseHeader(reply.Status, reply.Header)
	}
	made := classify(reply, answer, err, ctx.Err() != nil)
	e.server.core.done(steer.Outcome{
		Endpoint: decision.Endpoint.Name, Result: made.result, Elapsed: time.Since(started),
		HasLoad: answer.HasLoad, Busy: answer.Load.Running + answer.Load.Waiting,
	}, made.isGone)
	if made.result == steer.Unreachable {
		// Other idle connections may have broken at the same time.
		e.server.pool.CloseIdle(decision.Endpoint.Address)
	}
	e.server.metrics.attempts.WithLabelValues(string(e.service), made.result.String()).Inc()
	if made.result != steer.Answered {
		e.server.log.Info("attempt failed", "request", e.meta.Attempt, "attempt", len(e.tried), "service", e.service,
			"endpoint", decision.Endpoint.Name, "zone", decision.Endpoint.Zone, "load", decision.Load,
			"result", made.result.String(), "elapsed", time.Since(started), "error", errorText(err))
	}
	return made
}

// isOwn reports whether the headers of a response answer this request. An
// endpoint repeats the id of the request in each response to it.
func (e *exchange) isOwn(status int, header http.Header) bool {
	answer := platform.ParseResponseHeader(status, header)
	if answer.Attempt == "" {
		return answer.NotStarted || e.meta.Attempt == ""
	}
	return answer.Attempt == e.meta.Attempt
}

// conclude acts on the result of an attempt and reports whether the request
// has ended.
func (e *exchange) conclude(made attempted) bool {
	switch decided := judge(e.route.Class, made).(type) {
	case deliver:
		e.deliver(made)
		return true
	case giveUp:
		made.close()
		e.hasRun = true
		e.fail(decided.status, decided.reason)
		return true
	case tryAgain:
		e.hasRun = e.hasRun || decided.hasRun
		return e.mayNotRepeat(made, decided)
	}
	return true
}

// mayNotRepeat ends the request if no further attempt is allowed or useful.
func (e *exchange) mayNotRepeat(made attempted, decided tryAgain) bool {
	hasLeft := e.request.Context().Err() != nil
	mayRepeat := len(e.tried) < e.route.MaxAttempts && time.Until(e.deadline) > leastRetryTime && e.stream == nil
	if !hasLeft && !mayRepeat && e.hasRun && made.isWhole() {
		e.deliver(made)
		return true
	}
	made.close()
	switch {
	case hasLeft:
		e.fail(http.StatusBadGateway, "the caller has left")
	case mayRepeat:
		return false
	case e.hasRun:
		e.fail(http.StatusBadGateway, decided.reason)
	default:
		e.refuse(decided.reason, unreadyPause)
	}
	return true
}

// deliver passes the endpoint's response on.
func (e *exchange) deliver(made attempted) {
	target := e.writer.Header()
	for name, values := range forwardedHeader(made.reply.Header) {
		target[name] = values
	}
	hasRest := made.reply.Rest != nil
	switch {
	case !hasRest && made.reply.Status != http.StatusNoContent && made.reply.Status != http.StatusNotModified && e.request.Method != http.MethodHead:
		target.Set("Content-Length", strconv.Itoa(len(made.reply.Body)))
	case hasRest && made.reply.Length >= 0:
		target.Set("Content-Length", strconv.FormatInt(made.reply.Length, 10))
	}
	e.writer.WriteHeader(made.reply.Status)
	_, err := e.writer.Write(made.reply.Body)
	if hasRest {
		err = errors.Join(err, e.copyRest(made.reply.Rest))
	}
	e.record(made.reply.Status, "delivered", err)
	if err != nil {
		// An answer that ends early must not look complete.
		panic(http.ErrAbortHandler)
	}
}

func (e *exchange) copyRest(rest io.ReadCloser) error {
	_, err := io.Copy(e.writer, rest)
	return errors.Join(err, rest.Close())
}

// refuse answers that the request has not run and never will.
func (e *exchange) refuse(reason string, after time.Duration) {
	e.writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	e.fail(http.StatusServiceUnavailable, reason)
}

func (e *exchange) fail(status int, reason string) {
	e.writer.Header().Set("Content-Type", "application/problem+json")
	e.writer.WriteHeader(status)
	// A caller that is gone misses nothing.
	_, _ = io.WriteString(e.writer, `{"reason":`+strconv.Quote(reason)+"}\n")
	e.record(status, reason, nil)
}

// record writes the log line and the metrics of an ended request.
func (e *exchange) record(status int, reason string, err error) {
	elapsed := time.Since(e.arrived)
	class := "none"
	if e.route.Class != 0 {
		class = e.route.Class.String()
	}
	e.server.metrics.observeRequest(class, strconv.Itoa(status), elapsed)
	version := uint64(0)
	if e.config != nil {
		version = e.config.Version()
	}
	e.server.log.Info("request ended", "request", e.meta.Attempt, "object", e.meta.Object, "class", class,
		"route", e.route.Name, "configVersion", version,
		"knowledgeAge", e.server.knowledgeAge(), "service", e.service, "attempts", len(e.tried), "endpoint", e.last.Endpoint.Name,
		"place", e.last.Rank, "load", e.last.Load, "candidates", e.last.Candidates,
		"patience", e.meta.Timeout, "elapsed", elapsed, "status", status, "outcome", reason, "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// forwardedHeader returns the headers that are passed on: those that concern
// one connection only are left out.
func forwardedHeader(header http.Header) http.Header {
	passed := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	} {
		passed.Del(name)
	}
	return passed
}
