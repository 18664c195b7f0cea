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
	// callers have disconnected. It bounds the memory for bodies and responses.
	maxSubmits = 2048
	// maxKeyBytes bounds an idempotency key, which is part of a row key.
	maxKeyBytes = 200
	// abortTimeout bounds the wait for cancelled submissions. They cancel their
	// calls at once.
	abortTimeout = 5 * time.Second
)

// submitRunner runs submits, from the claim of their key to the stored response. A
// submission continues after its caller disconnects.
type submitRunner struct {
	register *store.Register
	// boundKeys issues host-bound keys. boundRegister holds their rows.
	boundKeys     *store.BoundKeys
	boundRegister *store.Register
	// slots has one element for each submission in progress, and one for each
	// slot that waitIdle occupied.
	slots chan struct{}
	// runCtx is the context of all submissions. cancelRun cancels it.
	runCtx    context.Context
	cancelRun context.CancelFunc
}

func newSubmitRunner(register *store.Register, boundKeys *store.BoundKeys) *submitRunner {
	runCtx, cancelRun := context.WithCancel(context.Background())
	return &submitRunner{
		register: register, boundKeys: boundKeys, boundRegister: boundKeys.Register(),
		slots: make(chan struct{}, maxSubmits), runCtx: runCtx, cancelRun: cancelRun,
	}
}

// UseRegister sets the register in which the server claims the keys of submits,
// and the issuer of host-bound keys. Without a register, submits are refused. It
// must be called before Run.
func (s *Server) UseRegister(register *store.Register, boundKeys *store.BoundKeys) {
	s.submits = newSubmitRunner(register, boundKeys)
}

// waitIdle waits until no submission is in progress, by occupying every slot.
// It frees none of them, also after an error. Submits are refused while all
// slots are occupied. No new submission may start meanwhile.
func (s *submitRunner) waitIdle(ctx context.Context) error {
	for range cap(s.slots) {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return fmt.Errorf("wait for submits: %w", ctx.Err())
		}
	}
	return nil
}

// stop cancels all submissions and waits for their end.
func (s *submitRunner) stop() error {
	s.cancelRun()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	return s.waitIdle(ctx)
}

// serveSubmit starts a submission and waits for its answer. It returns without a
// response if the caller disconnects first.
func (e *exchange) serveSubmit(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(KeyHeader)
	if err := checkKey(key); err != nil {
		writeProblem(w, http.StatusBadRequest, problem{Reason: err.Error(), Request: e.request.ID})
		return
	}
	if e.server.submits == nil {
		e.refuseBeforePlacement(w, "no register")
		return
	}
	// Memory is reserved before the claim, because a refusal after the claim would
	// leave the key without a definite outcome.
	if err := e.server.dispatcher.Reserve(e.request); err != nil {
		e.refuseBeforePlacement(w, err.Error())
		return
	}
	register, answer := e.server.submits.registerFor(r.Context(), e, key)
	if register == nil {
		// The report frees the reserved memory.
		e.server.report(place.Answered{Request: e.request, Outcome: answer.Outcome, Reason: answer.Reason})
		e.answerSubmit(w, answer)
		return
	}
	select {
	case e.server.submits.slots <- struct{}{}:
	default:
		e.refuseBeforePlacement(w, "too many submits in progress")
		return
	}
	submission := &submission{exchange: e, register: register, key: key, answer: make(chan claim.Answer, 1)}
	go submission.run(e.server.submits.runCtx)
	select {
	case answer := <-submission.answer:
		e.answerSubmit(w, answer)
	case <-r.Context().Done():
	}
}

// refuseBeforePlacement refuses a request that was not sent to placement. It
// writes the log line of the refusal and reports an Answered event, from which
// the audit record is written.
func (e *exchange) refuseBeforePlacement(w http.ResponseWriter, reason string) {
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
		e.deliver(w, &bufferedResponse{status: answer.Response.Status, header: answer.Response.Header, body: answer.Response.Body})
	case answer.KeyReused:
		writeProblem(w, http.StatusUnprocessableEntity, problem{
			Outcome: answer.Outcome, Reason: answer.Reason, Request: e.request.ID,
		})
	default:
		e.refuse(w, place.Refuse{Outcome: answer.Outcome, Reason: answer.Reason})
	}
}

// submission is one run of a submit at this host. Only the goroutine of its run
// method uses the claim and the maps of the exchange.
type submission struct {
	exchange *exchange
	register *store.Register
	key      string
	claim    *store.Claim
	// answer has a buffer for the only answer, because the caller may have
	// disconnected.
	answer chan claim.Answer
	// decisions is nil until the request is sent to placement.
	decisions <-chan place.Decision
	// requestedSend is the last send that placement requested.
	requestedSend place.Send
	// wakeAt is the time at which the claim expects a TimerFired event.
	wakeAt time.Time
}

// run claims the key and executes the actions of the claim until it is finished.
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
		action = s.execute(ctx, action)
	}
}

// execute executes an action of the claim and returns the next one.
func (s *submission) execute(ctx context.Context, action claim.Action) claim.Action {
	switch action := action.(type) {
	case claim.Answer:
		s.exchange.server.base.Log().Info("submit", "request", s.exchange.request.ID, "outcome", action.Outcome,
			"reason", action.Reason)
		s.exchange.server.report(place.Answered{Request: s.exchange.request, Outcome: action.Outcome, Reason: action.Reason})
		s.answer <- action
		return s.claim.Advance(ctx, claim.Answered{})
	case claim.Place:
		s.wakeAt = action.Until
		decisions, err := s.exchange.server.dispatcher.Open(ctx, s.exchange.request)
		if err != nil {
			return s.claim.RefuseAsNotRun(ctx)
		}
		s.decisions = decisions
	case claim.AwaitSend:
		s.wakeAt = action.Until
	case claim.Send:
		s.send(ctx)
	case claim.DenySend:
		s.denySend(ctx)
	default:
	}
	return s.awaitEvent(ctx)
}

// send starts the send that placement requested. The call ends later than the
// request's deadline, because a late response is stored as well. The upstream must
// not start the request after the deadline.
func (s *submission) send(ctx context.Context) {
	request := s.exchange.upstreamRequest
	request.Address = s.requestedSend.Address
	s.exchange.start(ctx, s.requestedSend, request, request.Deadline.Add(claim.LateWindow))
}

// denySend reports a send that the claim did not allow as not started.
func (s *submission) denySend(ctx context.Context) {
	_ = s.exchange.server.dispatcher.Report(ctx, place.Finished{
		Attempt: s.requestedSend.Attempt, Result: place.NotStarted, Detail: "the claim allows no further sending",
	})
}

// awaitEvent waits for the next event of the claim and returns the action that
// follows from it.
func (s *submission) awaitEvent(ctx context.Context) claim.Action {
	timer := time.NewTimer(time.Until(s.wakeAt))
	defer timer.Stop()
	for {
		select {
		case decision := <-s.decisions:
			switch decision := decision.(type) {
			case place.Send:
				s.requestedSend = decision
				return s.claim.Advance(ctx, claim.SendRequested{})
			case place.Refuse:
				return s.handleRefusal(ctx, decision)
			default:
				// Deliver follows the end of the send, which has been handled.
				// Placement does not cancel the attempts of a submit.
			}
		case update := <-s.exchange.updates:
			s.exchange.reportEnd(update)
			return s.handleSendEnd(ctx, update)
		case <-timer.C:
			return s.claim.Advance(ctx, claim.TimerFired{})
		case <-ctx.Done():
			return claim.Finish{}
		}
	}
}

// handleRefusal handles a refusal by placement. The claim decides from the result
// of each send whether the row may be set to notRun.
func (s *submission) handleRefusal(ctx context.Context, decision place.Refuse) claim.Action {
	if decision.Outcome == model.Unknown {
		return s.claim.Advance(ctx, claim.NoMoreSends{MayHaveRun: true})
	}
	return s.claim.RefuseAsNotRun(ctx)
}

// handleSendEnd handles the end of a send. Only a NotStartedError proves that the
// upstream did not start the request.
func (s *submission) handleSendEnd(ctx context.Context, update attemptUpdate) claim.Action {
	var notStarted *upstrm.NotStartedError
	switch {
	case errors.As(update.err, &notStarted):
		return s.claim.Advance(ctx, claim.SendEnded{Execution: claim.DidNotStart})
	case update.err != nil:
		return s.claim.Advance(ctx, claim.SendEnded{Execution: claim.MayHaveRun})
	}
	return s.claim.Complete(ctx, &claim.Response{
		Status: update.buffered.status, Header: update.buffered.header, Body: update.buffered.body,
	})
}

// fingerprint returns a digest of the customer, method, path and body, which must
// be the same in a repeat of the request. The length of each part precedes it.
func (e *exchange) fingerprint() []byte {
	digest := sha256.New()
	parts := [][]byte{[]byte(e.request.Customer), []byte(e.upstreamRequest.Method), []byte(e.upstreamRequest.Path), e.upstreamRequest.Body}
	for _, part := range parts {
		_ = binary.Write(digest, binary.BigEndian, uint64(len(part)))
		_, _ = digest.Write(part)
	}
	return digest.Sum(nil)
}
