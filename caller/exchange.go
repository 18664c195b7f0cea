package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	// cancels holds the cancel function of each attempt in flight.
	cancels map[place.AttemptID]context.CancelFunc
	// whole holds complete replies until placement chooses one.
	whole map[place.AttemptID]*wholeReply
}

type wholeReply struct {
	status int
	header http.Header
	body   []byte
}

type reply struct {
	attempt place.AttemptID
	whole   *wholeReply
	err     error
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	service, exists := s.directory.Service(model.ServiceName(r.PathValue("service")))
	if !exists {
		writeProblem(w, http.StatusNotFound, problem{Reason: "unknown service"})
		return
	}
	exchange, err := s.newExchange(w, r, service)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, problem{Reason: err.Error()})
		return
	}
	if service.Class() == model.Submit {
		exchange.serveSubmit(w, r)
		return
	}
	exchange.serve(w, r)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, service model.Service) (*exchange, error) {
	if service.Class() == model.Submit && r.Header.Get(KeyHeader) == "" {
		return nil, errors.New("an Idempotency-Key header is required")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	deadline, err := requestDeadline(r, service)
	if err != nil {
		return nil, fmt.Errorf("parse deadline: %w", err)
	}
	home, blockHash := s.directory.Locate(clientAddress(r))
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &exchange{
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
		replies: make(chan reply, 8),
		cancels: make(map[place.AttemptID]context.CancelFunc),
		whole:   make(map[place.AttemptID]*wholeReply),
	}, nil
}

func requestDeadline(r *http.Request, service model.Service) (time.Time, error) {
	text := r.Header.Get(upstrm.DeadlineHeader)
	if text == "" {
		return time.Now().Add(service.DefaultTimeout()), nil
	}
	return time.Parse(time.RFC3339Nano, text)
}

// forwardedHeader returns the end-to-end headers of a request.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
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
	defer e.server.dispatcher.Close(e.request.ID)
	defer e.cancelAll()
	for {
		select {
		case decision := <-decisions:
			if e.act(w, decision) {
				return
			}
		case reply := <-e.replies:
			e.report(reply)
		case <-r.Context().Done():
			_ = e.server.dispatcher.Report(context.WithoutCancel(r.Context()), place.Abandoned{Request: e.request.ID})
			return
		}
	}
}

// act carries out a decision and reports whether the exchange has ended.
func (e *exchange) act(w http.ResponseWriter, decision place.Decision) bool {
	switch decision := decision.(type) {
	case place.Send:
		ctx, cancel := context.WithDeadline(context.Background(), e.call.Deadline)
		e.cancels[decision.Attempt] = cancel
		sending := &sending{exchange: e, decision: decision}
		go sending.run(ctx)
	case place.Cancel:
		if cancel, exists := e.cancels[decision.Attempt]; exists {
			cancel()
		}
	case place.Refuse:
		e.refuse(w, decision)
		return true
	case place.Deliver:
		e.deliver(w, e.whole[decision.Attempt])
		return true
	case place.Wait:
	}
	return false
}

func (e *exchange) report(reply reply) {
	finished := place.Finished{Attempt: reply.attempt, Result: place.Succeeded}
	var notStarted *upstrm.NotStartedError
	switch {
	case errors.As(reply.err, &notStarted):
		finished.Result = place.NotStarted
		finished.Leaving = notStarted.Leaving()
		finished.Detail = reply.err.Error()
	case reply.err != nil:
		finished.Result = place.Lost
		finished.Detail = reply.err.Error()
	default:
		e.whole[reply.attempt] = reply.whole
	}
	_ = e.server.dispatcher.Report(context.Background(), finished)
}

func (e *exchange) refuse(w http.ResponseWriter, decision place.Refuse) {
	writeProblem(w, statusOf(decision.Outcome), problem{
		Outcome: decision.Outcome, Reason: decision.Reason, Request: e.request.ID,
	})
}

func (e *exchange) deliver(w http.ResponseWriter, whole *wholeReply) {
	for name, values := range whole.header {
		w.Header()[name] = values
	}
	w.Header().Set(RequestHeader, string(e.request.ID))
	w.Header().Set(OutcomeHeader, string(model.Served))
	w.WriteHeader(whole.status)
	_, _ = w.Write(whole.body)
}

func (e *exchange) cancelAll() {
	for _, cancel := range e.cancels {
		cancel()
	}
}

// sending is one attempt in flight.
type sending struct {
	exchange *exchange
	decision place.Send
}

func (s *sending) run(ctx context.Context) {
	whole, err := s.fetch(ctx)
	s.exchange.replies <- reply{attempt: s.decision.Attempt, whole: whole, err: err}
}

func (s *sending) fetch(ctx context.Context) (*wholeReply, error) {
	call := s.exchange.call
	call.Address = s.decision.Address
	response, err := s.exchange.server.upstreams.Do(ctx, call)
	if err != nil {
		return nil, fmt.Errorf("send attempt %d: %w", s.decision.Number, err)
	}
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
