package entry

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"filberthold/admin"
	"filberthold/model"
	"filberthold/place"
	"filberthold/replay"
	"filberthold/ring"
)

const (
	// eventCapacity bounds the events that wait for placement. Arrivals are
	// refused when it is full; reports of finished work wait for room.
	eventCapacity = 4096
	// decisionCapacity bounds the decisions that wait for one exchange.
	decisionCapacity = 16
)

// Dispatcher owns the placement core and runs it on a single goroutine.
type Dispatcher struct {
	log    *slog.Logger
	core   *place.Core
	events *ring.Ring[place.Event]
	// leaving is used by loop only.
	leaving leavingAnswers
	mu      sync.Mutex
	// open holds the decision channel of each request that is being served.
	open map[place.RequestID]chan place.Decision
	// carrier takes decisions about loans to other hosts. It may be nil.
	carrier loanCarrier
	// archive accounts for all events and decisions. It may be nil.
	archive *Archive
	// metrics counts decisions. It may be nil.
	metrics *admin.Metrics
	// trace records all events and decisions for a replay. It may be nil.
	trace *replay.Recorder
}

// NewDispatcher returns a dispatcher for a placement core.
func NewDispatcher(log *slog.Logger, core *place.Core) *Dispatcher {
	return &Dispatcher{
		log:    log,
		core:   core,
		events: ring.New[place.Event](eventCapacity),
		open:   make(map[place.RequestID]chan place.Decision),

		leaving: newLeavingAnswers(),
	}
}

// Open hands a request to placement and returns its decisions in order.
func (d *Dispatcher) Open(_ context.Context, request place.Request) (<-chan place.Decision, error) {
	if err := d.archive.Reserve(request, time.Now()); err != nil {
		return nil, err
	}
	decisions := make(chan place.Decision, decisionCapacity)
	d.mu.Lock()
	d.open[request.ID] = decisions
	d.mu.Unlock()
	if !d.events.TryPut(place.Arrived{Request: request}) {
		d.archive.RecordOutcome(request, model.NotSent, "too many events wait for placement", time.Now())
		d.Close(request.ID)
		return nil, fmt.Errorf("open request: %d events wait for placement", eventCapacity)
	}
	return decisions, nil
}

// Report hands an event to placement.
func (d *Dispatcher) Report(ctx context.Context, event place.Event) error {
	if err := d.events.Put(ctx, event); err != nil {
		return fmt.Errorf("report event: %w", err)
	}
	return nil
}

// Close ends the delivery of decisions for a request.
func (d *Dispatcher) Close(id place.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, id)
}

// loop applies events to the core until ctx ends, and wakes the core when it
// has asked for it.
func (d *Dispatcher) loop(ctx context.Context) error {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var event place.Event
		select {
		case event = <-d.events.Items():
		case <-wake.C:
			event = place.Ticked{}
		case <-ctx.Done():
			return fmt.Errorf("wait for event: %w", ctx.Err())
		}
		d.apply(event)
		wake.Stop()
		if next := d.core.NextTick(); !next.IsZero() {
			wake.Reset(time.Until(next))
		}
	}
}

func (d *Dispatcher) apply(event place.Event) {
	now := time.Now()
	decisions := d.core.Apply(event, now)
	d.archive.Record(event, decisions, now)
	d.trace.Record(event, decisions, now)
	d.leaving.observe(event, decisions)
	for _, decision := range decisions {
		d.logDecision(decision)
		d.metrics.ObserveDecision(decision)
		d.carry(decision)
		send, isSend := decision.(place.Send)
		if d.hand(decision) || !isSend {
			continue
		}
		// Nobody will carry the attempt out, so nobody else reports its end. The
		// event follows the end of the request, which is in the ring already.
		unsent := place.Finished{Attempt: send.Attempt, Result: place.NotStarted, Detail: "request has ended"}
		if !d.events.TryPut(unsent) {
			d.apply(unsent)
		}
	}
}

// hand reports whether an exchange took the decision or holds it to be taken.
// It keeps the lock, so that after Close no decision is handed any more.
func (d *Dispatcher) hand(decision place.Decision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	decisions, exists := d.open[decision.RequestID()]
	if !exists {
		return false
	}
	select {
	case decisions <- decision:
		return true
	default:
		d.log.Error("decision dropped: exchange does not take decisions", "request", decision.RequestID())
		return false
	}
}

func (d *Dispatcher) logDecision(decision place.Decision) {
	switch decision := decision.(type) {
	case place.Send:
		d.log.Info("send", "request", decision.Request, "attempt", decision.Number, "endpoint", decision.Endpoint,
			"hedge", decision.Hedge, "reason", decision.Reason, "alternatives", decision.Alternatives)
	case place.Wait:
		d.log.Info("wait", "request", decision.Request, "position", decision.Position, "reason", decision.Reason)
	case place.Refuse:
		d.log.Info("refuse", "request", decision.Request, "outcome", decision.Outcome, "reason", decision.Reason)
	case place.Deliver:
		d.log.Info("deliver", "request", decision.Request, "attempt", decision.Attempt)
	case place.Cancel:
		d.log.Info("cancel", "request", decision.Request, "attempt", decision.Attempt, "reason", decision.Reason)
	case place.AskLoan:
		d.log.Info("ask for loan", "number", decision.Number, "endpoint", decision.Endpoint, "owners", decision.Owners)
	case place.GrantLoan:
		d.log.Info("grant loan", "number", decision.Number, "loan", decision.Loan.ID, "endpoint", decision.Loan.Slot.Endpoint,
			"borrower", decision.Loan.Borrower)
	case place.ReturnLoan:
		d.log.Info("return loan", "loan", decision.Loan)
	case place.Announce:
		d.log.Info("release slots", "releases", decision.Releases)
	}
}
