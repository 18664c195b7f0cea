package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filberthold/model"
	"filberthold/place"
	"filberthold/upstrm"

	"github.com/oklog/ulid/v2"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

// exchange handles one request from its arrival to the end of its response.
type exchange struct {
	server          *Server
	request         place.Request
	service         model.Service
	upstreamRequest upstrm.Request
	updates         chan attemptUpdate
	// ended is closed when the exchange receives no more updates. An attempt that
	// ends later reports to placement itself.
	ended chan struct{}
	// cancels holds the cancel function of each attempt.
	cancels map[place.AttemptID]context.CancelFunc
	// buffered holds complete responses until placement chooses one.
	buffered map[place.AttemptID]*bufferedResponse
	// isAbandoned is true after the caller has disconnected.
	isAbandoned bool
	// export is nil unless the class of the service is Export.
	export *export
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	service, exists := s.directory.Service(model.ServiceName(r.PathValue("service")))
	if !exists && !s.acceptsRequests() {
		// Without a configuration, the existing services are not known.
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: isolatedReason})
		return
	}
	if !exists {
		writeProblem(w, http.StatusNotFound, problem{Reason: "unknown service"})
		return
	}
	bodyBytes := 2 * bodyLength(r)
	if !s.memory.Reserve(bodyBytes) {
		w.Header().Set("Connection", "close")
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: tooManyReason})
		return
	}
	defer s.memory.Release(bodyBytes)
	exchange, err := s.newExchange(w, r, service)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, problem{Reason: err.Error()})
		return
	}
	if s.observe != nil {
		started := time.Now()
		defer func() { s.observe(service, model.Outcome(w.Header().Get(OutcomeHeader)), time.Since(started)) }()
	}
	switch {
	case !s.acceptsRequests():
		exchange.refuseBeforePlacement(w, isolatedReason)
	case service.Class() == model.Submit:
		exchange.serveSubmit(w, r)
	default:
		exchange.serve(w, r)
	}
}

// bodyLength returns how many bytes of a request's body are read at most. Twice as many are
// used while the buffer for them grows.
func bodyLength(r *http.Request) int {
	if r.ContentLength < 0 || r.ContentLength > maxBodyBytes {
		return maxBodyBytes
	}
	return int(r.ContentLength)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, service model.Service) (*exchange, error) {
	if service.Class() == model.Submit && r.Header.Get(KeyHeader) == "" {
		return nil, errors.New("an Idempotency-Key header is required")
	}
	// Without the deadline, a caller that stops sending would block a graceful
	// shutdown. The server's ReadTimeout would also end requests that are being
	// served. After an error the deadline stays, because net/http reads the rest
	// of the body.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(callerTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	deadline, err := requestDeadline(r, service)
	if err != nil {
		return nil, fmt.Errorf("parse deadline: %w", err)
	}
	home, blockHash := s.directory.Locate(clientAddress(r))
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	e := &exchange{
		server:  s,
		service: service,
		request: place.Request{
			ID:        place.RequestID(ulid.Make().String()),
			Service:   service.Name(),
			Customer:  model.CustomerName(r.Header.Get(CustomerHeader)),
			BlockHash: blockHash,
			Home:      home,
			Deadline:  deadline,
		},
		upstreamRequest: upstrm.Request{
			Class:    service.Class(),
			Method:   r.Method,
			Path:     path,
			Header:   forwardedHeader(r.Header),
			Body:     body,
			Deadline: deadline,
		},
		updates:  make(chan attemptUpdate),
		ended:    make(chan struct{}),
		cancels:  make(map[place.AttemptID]context.CancelFunc),
		buffered: make(map[place.AttemptID]*bufferedResponse),
	}
	if service.Class() == model.Export {
		e.export = newExport(w, r)
	}
	return e, nil
}

func requestDeadline(r *http.Request, service model.Service) (time.Time, error) {
	text := r.Header.Get(upstrm.DeadlineHeader)
	if text == "" {
		return time.Now().Add(service.DefaultTimeout()), nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// forwardedHeader returns the end-to-end headers of a request or a response.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		forwarded.Del(name)
	}
	return forwarded
}

func (e *exchange) serve(w http.ResponseWriter, r *http.Request) {
	decisions, err := e.server.dispatcher.Open(r.Context(), e.request)
	if err != nil {
		e.refuse(w, place.Refuse{Outcome: model.NotSent, Reason: err.Error()})
		return
	}
	defer e.end(decisions)
	for {
		select {
		case decision := <-decisions:
			if e.handleDecision(w, decision) {
				return
			}
		case update := <-e.updates:
			e.handleUpdate(update)
		case <-r.Context().Done():
			e.isAbandoned = true
			e.server.report(place.Abandoned{Request: e.request.ID})
			e.abortStartedResponse()
			return
		}
	}
}

// letsLosingAttemptsFinish reports whether attempts that are no longer needed run
// to their end. With HTTP/1.1, a host cannot detect that a cancelled upstream has
// stopped, so the slot of a cancelled attempt stays occupied until its deadline. A
// hedged read that is not cancelled ends sooner.
func (e *exchange) letsLosingAttemptsFinish() bool {
	return e.service.Class() == model.Read && !e.isAbandoned
}

// end cancels the remaining attempts, unless losing attempts may finish. It
// reports the attempts that placement requested too late as not started. Attempts
// in flight report their end themselves.
func (e *exchange) end(decisions <-chan place.Decision) {
	close(e.ended)
	if !e.letsLosingAttemptsFinish() {
		for _, cancel := range e.cancels {
			cancel()
		}
	}
	e.export.stopWriting()
	e.server.dispatcher.Close(e.request.ID)
	for {
		select {
		case decision := <-decisions:
			if send, isSend := decision.(place.Send); isSend {
				e.server.report(place.Finished{Attempt: send.Attempt, Result: place.NotStarted, Detail: "request has ended"})
			}
		default:
			return
		}
	}
}

// handleDecision carries out a decision and reports whether the exchange has ended.
func (e *exchange) handleDecision(w http.ResponseWriter, decision place.Decision) bool {
	switch decision := decision.(type) {
	case place.Send:
		e.send(decision)
	case place.Cancel:
		if decision.IsLoser && e.letsLosingAttemptsFinish() {
			break
		}
		e.cancelAttempt(decision.Attempt)
	case place.Refuse:
		e.abortStartedResponse()
		e.refuse(w, decision)
		return true
	case place.Deliver:
		if e.export == nil {
			e.deliver(w, e.buffered[decision.Attempt])
		}
		return true
	case place.Wait:
	}
	return false
}

func (e *exchange) send(decision place.Send) {
	request := e.upstreamRequest
	request.Address = decision.Address
	if e.export != nil {
		if e.export.isCopying() {
			e.server.report(place.Finished{Attempt: decision.Attempt, Result: place.NotStarted, Detail: "export is being passed on"})
			return
		}
		request.Header = e.export.requestHeader(request.Header)
	}
	e.start(context.Background(), decision, request, request.Deadline)
}

// start sends a request on a new goroutine and cancels it at the deadline.
func (e *exchange) start(ctx context.Context, decision place.Send, request upstrm.Request, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	e.cancels[decision.Attempt] = cancel
	attempt := &upstreamAttempt{exchange: e, decision: decision, request: request}
	e.server.attempts.Add(1)
	go attempt.run(ctx)
}

// handleUpdate handles an update of an attempt.
func (e *exchange) handleUpdate(update attemptUpdate) {
	switch {
	case update.opened != nil:
		e.startCopy(update)
	case e.export != nil:
		e.handleExportEnd(update)
	default:
		e.buffered[update.attempt] = update.buffered
		e.cancelAttempt(update.attempt)
		e.reportEnd(update)
	}
}

// cancelAttempt cancels the context of an attempt. It also releases the context's
// timer after the attempt has ended.
func (e *exchange) cancelAttempt(attempt place.AttemptID) {
	if cancel, exists := e.cancels[attempt]; exists {
		cancel()
		delete(e.cancels, attempt)
	}
}

// reportEnd reports the end of an attempt and its result to placement.
func (e *exchange) reportEnd(update attemptUpdate) {
	finished := place.Finished{Attempt: update.attempt, Result: place.Succeeded, Leaving: update.leaving, Progress: update.progressed}
	var notStarted *upstrm.NotStartedError
	switch {
	case update.err == nil:
	case errors.As(update.err, &notStarted):
		finished.Result = place.NotStarted
		finished.Leaving, finished.SpareFor = notStarted.Leaving(), notStarted.SpareFor()
	case e.service.Class() != model.Submit && upstrm.IsClosedByUpstream(update.err):
		finished.Result = place.Failed
	default:
		finished.Result = place.Lost
	}
	if update.err != nil {
		finished.Detail = update.err.Error()
	}
	e.server.report(finished)
}

func (e *exchange) refuse(w http.ResponseWriter, decision place.Refuse) {
	writeProblem(w, statusOf(decision.Outcome), problem{
		Outcome: decision.Outcome, Reason: decision.Reason, Request: e.request.ID,
	})
}

func (e *exchange) deliver(w http.ResponseWriter, response *bufferedResponse) {
	if response == nil {
		e.refuse(w, place.Refuse{Outcome: model.Unknown, Reason: "the reply is not at hand"})
		return
	}
	e.copyHeader(w, response.header)
	if e.upstreamRequest.Method != http.MethodHead && response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	w.WriteHeader(response.status)
	if _, err := writeChunks(w, response.body, func() error { return nil }); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyHeader copies the end-to-end headers of an upstream's response to the
// caller's response, and sets the request and outcome headers.
func (e *exchange) copyHeader(w http.ResponseWriter, header http.Header) {
	for name, values := range forwardedHeader(header) {
		w.Header()[name] = values
	}
	w.Header().Del(upstrm.LeavingHeader)
	w.Header().Set(RequestHeader, string(e.request.ID))
	w.Header().Set(OutcomeHeader, string(model.Served))
}
