package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"time"

	"filberthold/claim"
	"filberthold/model"
	"filberthold/place"
	"filberthold/store"
	"filberthold/upstrm"
)

const (
	// maxSubmits bounds the submits in progress at a host, including those whose
	// callers gave up. It bounds the memory for bodies and responses.
	maxSubmits = 2048
	// maxKeyBytes bounds an idempotency key, which becomes part of a row key.
	maxKeyBytes = 200
	// abortTimeout bounds the wait for submissions that were told to end. They
	// give up their calls at once.
	abortTimeout = 5 * time.Second
)

// submits carries submits from the claim of their key to the kept response. A
// submission does not end with its caller.
type submits struct {
	register *store.Register
	// bound issues host-bound keys; boundRegister holds their rows.
	bound         *store.BoundKeys
	boundRegister *store.Register
	// slots has one element for each submission in progress.
	slots chan struct{}
	// working ends when abort is called.
	working context.Context
	abort   context.CancelFunc
}

func newSubmits(register *store.Register, bound *store.BoundKeys) *submits {
	working, abort := context.WithCancel(context.Background())
	return &submits{
		register: register, bound: bound, boundRegister: bound.Register(),
		slots: make(chan struct{}, maxSubmits), working: working, abort: abort,
	}
}

// UseRegister makes the server claim the keys of submits in a register, and
// issue and claim host-bound keys. Without a register, submits are refused. It
// must be called before Run.
func (s *Server) UseRegister(register *store.Register, bound *store.BoundKeys) {
	s.submits = newSubmits(register, bound)
}

// wait waits until no submission is in progress. No new one may start.
func (s *submits) wait(ctx context.Context) error {
	for range cap(s.slots) {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return fmt.Errorf("wait for submits: %w", ctx.Err())
		}
	}
	return nil
}

// stop ends all submissions where they are.
func (s *submits) stop() error {
	s.abort()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	return s.wait(ctx)
}

// serveSubmit starts a submission and answers the caller if it is still there
// when the outcome is known.
func (e *exchange) serveSubmit(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(KeyHeader)
	if err := checkKey(key); err != nil {
		writeProblem(w, http.StatusBadRequest, problem{Reason: err.Error(), Request: e.request.ID})
		return
	}
	if e.server.submits == nil {
		e.refuseUnplaced(w, "no register")
		return
	}
	// A refusal after the claim would leave the key without a definite outcome.
	if err := e.server.dispatcher.Reserve(e.request); err != nil {
		e.refuseUnplaced(w, err.Error())
		return
	}
	register, answer := e.server.submits.registerFor(r.Context(), e, key)
	if register == nil {
		e.answerSubmit(w, answer)
		return
	}
	select {
	case e.server.submits.slots <- struct{}{}:
	default:
		e.refuseUnplaced(w, "too many submits in progress")
		return
	}
	submission := &submission{exchange: e, register: register, key: key, answers: make(chan claim.Answer, 1)}
	go submission.run(e.server.submits.working)
	select {
	case answer := <-submission.answers:
		e.answerSubmit(w, answer)
	case <-r.Context().Done():
	}
}

// refuseUnplaced answers and accounts for a request that placement never saw.
func (e *exchange) refuseUnplaced(w http.ResponseWriter, reason string) {
	e.server.base.Log().Info("refuse", "request", e.request.ID, "outcome", model.NotSent, "reason", reason)
	e.server.report(place.Answered{Request: e.request, Outcome: model.NotSent, Reason: reason})
	e.refuse(w, place.Refuse{Outcome: model.NotSent, Reason: reason})
}

func checkKey(key string) error {
	if len(key) > maxKeyBytes {
		return fmt.Errorf("%s is longer than %d bytes", KeyHeader, maxKeyBytes)
	}
	for _, char := range []byte(key) {
		if char <= ' ' || char > '~' {
			return fmt.Errorf("%s holds a character other than visible ASCII", KeyHeader)
		}
	}
	return nil
}

func (e *exchange) answerSubmit(w http.ResponseWriter, answer claim.Answer) {
	switch {
	case answer.Response != nil:
		e.deliver(w, &wholeReply{status: answer.Response.Status, header: answer.Response.Header, body: answer.Response.Body})
	case answer.KeyReused:
		writeProblem(w, http.StatusUnprocessableEntity, problem{
			Outcome: answer.Outcome, Reason: answer.Reason, Request: e.request.ID,
		})
	default:
		e.refuse(w, place.Refuse{Outcome: answer.Outcome, Reason: answer.Reason})
	}
}

// submission is one attempt to run a submit. Its run method is the only user
// of the claim and of the exchange's maps.
type submission struct {
	exchange *exchange
	register *store.Register
	key      string
	claim    *store.Claim
	// answers has room for the only answer.
	answers chan claim.Answer
	// decisions is nil until placement sees the request.
	decisions <-chan place.Decision
	// wanted is the sending that placement asked for last.
	wanted place.Send
	// until is the time at which the claim wants to be woken.
	until time.Time
}

// run carries the submission from the claim to its end.
func (s *submission) run(ctx context.Context) {
	e := s.exchange
	defer func() { <-e.server.submits.slots }()
	defer func() { e.end(s.decisions) }()
	var action claim.Action
	s.claim, action = s.register.Acquire(ctx, e.request.Service, s.key, e.request.Deadline, e.fingerprint())
	for {
		if _, isFinished := action.(claim.Finish); isFinished {
			return
		}
		action = s.act(ctx, action)
	}
}

// act carries out an action and returns the next one.
func (s *submission) act(ctx context.Context, action claim.Action) claim.Action {
	switch action := action.(type) {
	case claim.Answer:
		s.exchange.server.base.Log().Info("submit", "request", s.exchange.request.ID, "outcome", action.Outcome,
			"reason", action.Reason)
		s.exchange.server.report(place.Answered{Request: s.exchange.request, Outcome: action.Outcome, Reason: action.Reason})
		s.answers <- action
		return s.claim.Advance(ctx, claim.Answered{})
	case claim.Place:
		s.until = action.Until
		decisions, err := s.exchange.server.dispatcher.Open(ctx, s.exchange.request)
		if err != nil {
			return s.claim.RefuseAsNotRun(ctx)
		}
		s.decisions = decisions
	case claim.AwaitSend:
		s.until = action.Until
	case claim.Send:
		s.send(ctx)
	case claim.DenySend:
		s.withhold(ctx)
	default:
	}
	return s.await(ctx)
}

// send starts the sending that placement wants. It outlives the deadline, so
// that a late response is kept; the upstream must not start after the deadline.
func (s *submission) send(ctx context.Context) {
	call := s.exchange.call
	call.Address = s.wanted.Address
	s.exchange.start(ctx, s.wanted, call, call.Deadline.Add(claim.LateWindow))
}

// withhold reports a sending that the claim did not allow.
func (s *submission) withhold(ctx context.Context) {
	_ = s.exchange.server.dispatcher.Report(ctx, place.Finished{
		Attempt: s.wanted.Attempt, Result: place.NotStarted, Detail: "the claim allows no further sending",
	})
}

// await waits for the next fact and returns the action that follows from it.
func (s *submission) await(ctx context.Context) claim.Action {
	timer := time.NewTimer(time.Until(s.until))
	defer timer.Stop()
	for {
		select {
		case decision := <-s.decisions:
			switch decision := decision.(type) {
			case place.Send:
				s.wanted = decision
				return s.claim.Advance(ctx, claim.SendRequested{})
			case place.Refuse:
				return s.refuse(ctx, decision)
			default:
				// Deliver follows the reply, which has been handled. A submit
				// is never cancelled.
			}
		case reply := <-s.exchange.replies:
			s.exchange.reportEnd(reply)
			return s.end(ctx, reply)
		case <-timer.C:
			return s.claim.Advance(ctx, claim.TimerFired{})
		case <-ctx.Done():
			return claim.Finish{}
		}
	}
}

// refuse handles the end of placement. The claim decides from the evidence of
// each sending whether the row may hold notRun.
func (s *submission) refuse(ctx context.Context, decision place.Refuse) claim.Action {
	if decision.Outcome == model.Unknown {
		return s.claim.Advance(ctx, claim.SendsEnded{MayHaveRun: true})
	}
	return s.claim.RefuseAsNotRun(ctx)
}

// end handles the end of a sending. Only a NotStartedError proves that the
// request did not start.
func (s *submission) end(ctx context.Context, reply reply) claim.Action {
	var notStarted *upstrm.NotStartedError
	switch {
	case errors.As(reply.err, &notStarted):
		return s.claim.Advance(ctx, claim.SendEnded{Execution: claim.DidNotStart})
	case reply.err != nil:
		return s.claim.Advance(ctx, claim.SendEnded{Execution: claim.MayHaveRun})
	}
	return s.claim.Complete(ctx, &claim.Response{
		Status: reply.whole.status, Header: reply.whole.header, Body: reply.whole.body,
	})
}

// fingerprint is a digest of what a repeat of the request has to have in
// common with it. Each part is preceded by its length.
func (e *exchange) fingerprint() []byte {
	digest := sha256.New()
	parts := [][]byte{[]byte(e.request.Customer), []byte(e.call.Method), []byte(e.call.Path), e.call.Body}
	for _, part := range parts {
		_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
		_, _ = digest.Write(part)
	}
	return digest.Sum(nil)
}
