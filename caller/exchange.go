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

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 4 << 20
	// maxReplyBytes bounds the response to a read or a submit, which is held
	// in memory until it is whole.
	maxReplyBytes = 8 << 20
)

// exchange carries one request from arrival to response.
type exchange struct {
	server  *Server
	request place.Request
	service model.Service
	call    upstrm.Call
	replies chan reply
	// ended is closed when the exchange takes no more replies. An attempt that
	// ends later reports to placement itself.
	ended chan struct{}
	// cancels holds the cancel function of each attempt.
	cancels map[place.AttemptID]context.CancelFunc
	// whole holds complete replies until placement chooses one.
	whole map[place.AttemptID]*wholeReply
	// isAbandoned is true once the caller has gone.
	isAbandoned bool
	// export is nil unless the service exports.
	export *export
}

type wholeReply struct {
	status int
	header http.Header
	body   []byte
}

// reply is what an attempt has come to. For reads and submits it is the end.
// For an export, opened is set first, and a second reply tells the end.
type reply struct {
	attempt place.AttemptID
	whole   *wholeReply
	opened  *upstrm.Response
	leaving bool
	// progressed is true if the attempt passed on bytes of an export.
	progressed bool
	err        error
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	service, exists := s.directory.Service(model.ServiceName(r.PathValue("service")))
	if !exists && !s.takesWork() {
		// A host without a configuration cannot tell which services exist.
		writeProblem(w, http.StatusServiceUnavailable, problem{Reason: cutOffReason})
		return
	}
	if !exists {
		writeProblem(w, http.StatusNotFound, problem{Reason: "unknown service"})
		return
	}
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
	case !s.takesWork():
		exchange.refuseUnplaced(w, cutOffReason)
	case service.Class() == model.Submit:
		exchange.serveSubmit(w, r)
	default:
		exchange.serve(w, r)
	}
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, service model.Service) (*exchange, error) {
	if service.Class() == model.Submit && r.Header.Get(KeyHeader) == "" {
		return nil, errors.New("an Idempotency-Key header is required")
	}
	// A caller that stops sending would keep a planned stop from ending. The
	// server's ReadTimeout would also end requests that are being served. After
	// an error the deadline stays, because net/http reads the rest of the body.
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
	made := &exchange{
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
		call: upstrm.Call{
			Class:    service.Class(),
			Method:   r.Method,
			Path:     path,
			Header:   forwardedHeader(r.Header),
			Body:     body,
			Deadline: deadline,
		},
		replies: make(chan reply),
		ended:   make(chan struct{}),
		cancels: make(map[place.AttemptID]context.CancelFunc),
		whole:   make(map[place.AttemptID]*wholeReply),
	}
	if service.Class() == model.Export {
		made.export = newExport(w, r.Method)
	}
	return made, nil
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
			if e.act(w, decision) {
				return
			}
		case reply := <-e.replies:
			e.take(reply)
		case <-r.Context().Done():
			e.isAbandoned = true
			e.server.report(place.Abandoned{Request: e.request.ID})
			e.abortStarted()
			return
		}
	}
}

// letsLosersFinish reports whether attempts that are no longer needed run to
// their end. HTTP/1.1 gives no proof that a cancelled upstream has stopped, so
// the slot of a cancelled attempt stays taken until its deadline. A hedged read
// ends sooner by itself.
func (e *exchange) letsLosersFinish() bool {
	return e.service.Class() == model.Read && !e.isAbandoned
}

// end gives up all attempts and tells placement of those that it asked for
// too late. Attempts in flight report their end themselves.
func (e *exchange) end(decisions <-chan place.Decision) {
	close(e.ended)
	if !e.letsLosersFinish() {
		for _, cancel := range e.cancels {
			cancel()
		}
	}
	e.export.wait()
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

// act carries out a decision and reports whether the exchange has ended.
func (e *exchange) act(w http.ResponseWriter, decision place.Decision) bool {
	switch decision := decision.(type) {
	case place.Send:
		e.send(decision)
	case place.Cancel:
		if decision.IsLoser && e.letsLosersFinish() {
			break
		}
		e.forget(decision.Attempt)
	case place.Refuse:
		e.abortStarted()
		e.refuse(w, decision)
		return true
	case place.Deliver:
		if e.export == nil {
			e.deliver(w, e.whole[decision.Attempt])
		}
		return true
	case place.Wait:
	}
	return false
}

func (e *exchange) send(decision place.Send) {
	call := e.call
	call.Address = decision.Address
	if e.export != nil {
		if e.export.isCopying() {
			e.server.report(place.Finished{Attempt: decision.Attempt, Result: place.NotStarted, Detail: "export is being passed on"})
			return
		}
		call.Header = e.export.requestHeader(call.Header)
	}
	e.start(context.Background(), decision, call, call.Deadline)
}

// start sends a call on a goroutine of its own and gives it up at a time.
func (e *exchange) start(ctx context.Context, decision place.Send, call upstrm.Call, giveUpAt time.Time) {
	ctx, cancel := context.WithDeadline(ctx, giveUpAt)
	e.cancels[decision.Attempt] = cancel
	sending := &sending{exchange: e, decision: decision, call: call}
	e.server.attempts.Add(1)
	go sending.run(ctx)
}

// take handles what an attempt has come to.
func (e *exchange) take(reply reply) {
	switch {
	case reply.opened != nil:
		e.takeExport(reply)
	case e.export != nil:
		e.takeExportEnd(reply)
	default:
		e.whole[reply.attempt] = reply.whole
		e.forget(reply.attempt)
		e.reportEnd(reply)
	}
}

// forget releases the deadline of an attempt that has ended.
func (e *exchange) forget(attempt place.AttemptID) {
	if cancel, exists := e.cancels[attempt]; exists {
		cancel()
		delete(e.cancels, attempt)
	}
}

// reportEnd tells placement how an attempt ended.
func (e *exchange) reportEnd(reply reply) {
	finished := place.Finished{Attempt: reply.attempt, Result: place.Succeeded, Leaving: reply.leaving, Progress: reply.progressed}
	var notStarted *upstrm.NotStartedError
	switch {
	case reply.err == nil:
	case errors.As(reply.err, &notStarted):
		finished.Result = place.NotStarted
		finished.Leaving = notStarted.Leaving()
	case e.service.Class() != model.Submit && upstrm.IsClosedByUpstream(reply.err):
		finished.Result = place.Failed
	default:
		finished.Result = place.Lost
	}
	if reply.err != nil {
		finished.Detail = reply.err.Error()
	}
	e.server.report(finished)
}

func (e *exchange) refuse(w http.ResponseWriter, decision place.Refuse) {
	writeProblem(w, statusOf(decision.Outcome), problem{
		Outcome: decision.Outcome, Reason: decision.Reason, Request: e.request.ID,
	})
}

func (e *exchange) deliver(w http.ResponseWriter, whole *wholeReply) {
	if whole == nil {
		e.refuse(w, place.Refuse{Outcome: model.Unknown, Reason: "the reply is not at hand"})
		return
	}
	e.passHeader(w, whole.header)
	if e.call.Method != http.MethodHead && whole.status != http.StatusNoContent && whole.status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	}
	w.WriteHeader(whole.status)
	if _, err := writePieces(w, whole.body, func() error { return nil }); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// passHeader passes on the end-to-end headers of a response.
func (e *exchange) passHeader(w http.ResponseWriter, header http.Header) {
	for name, values := range forwardedHeader(header) {
		w.Header()[name] = values
	}
	w.Header().Del(upstrm.LeavingHeader)
	w.Header().Set(RequestHeader, string(e.request.ID))
	w.Header().Set(OutcomeHeader, string(model.Served))
}

// sending is one attempt in flight.
type sending struct {
	exchange *exchange
	decision place.Send
	call     upstrm.Call
}

func (s *sending) run(ctx context.Context) {
	defer s.exchange.server.attempts.Done()
	result := reply{attempt: s.decision.Attempt}
	response, err := s.exchange.server.upstreams.Do(ctx, s.call)
	switch {
	case err != nil:
		result.err = fmt.Errorf("send attempt %d: %w", s.decision.Number, err)
	case s.exchange.export != nil:
		result.opened, result.leaving = response, response.Leaving
	default:
		result.leaving = response.Leaving
		result.whole, result.err = s.readWhole(response)
	}
	s.exchange.hand(result)
}

// hand gives a reply to the exchange, or to placement if the exchange has ended.
func (e *exchange) hand(reply reply) {
	select {
	case e.replies <- reply:
	case <-e.ended:
		if reply.opened != nil {
			_ = reply.opened.Body.Close()
			reply.err = errors.New("reply came after the end of the request")
		}
		e.reportEnd(reply)
	}
}

// readWhole returns a reply only if it has arrived to its end.
func (s *sending) readWhole(response *upstrm.Response) (*wholeReply, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read reply of attempt %d: %w", s.decision.Number, err)
	}
	if len(body) > maxReplyBytes {
		return nil, fmt.Errorf("reply of attempt %d exceeds %d bytes", s.decision.Number, maxReplyBytes)
	}
	return &wholeReply{status: response.Status, header: response.Header, body: body}, nil
}
