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
	// eventCapacity bounds the events that wait for placement. When the queue is
	// full, Open refuses new requests and Report waits.
	eventCapacity = 4096
	// decisionCapacity bounds the decisions on a request that its exchange has not
	// yet received.
	decisionCapacity = 16
)

// Dispatcher runs the placement core on a single goroutine, and passes its
// decisions to the requests, to peers, to the archive and to the trace.
type Dispatcher struct {
	log    *slog.Logger
	core   *place.Core
	events *ring.Ring[place.Event]
	// leavingResponses is used by loop only.
	leavingResponses leavingResponses
	mu               sync.Mutex
	// open holds the decision channel of each request in progress.
	open map[place.RequestID]chan place.Decision
	// peers sends decisions about loans and releases to other hosts. It may be
	// nil.
	peers peerSender
	// archive records all events and decisions. It may be nil.
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

		leavingResponses: newLeavingResponses(),
	}
}

// Open queues a request for placement and returns the channel of its decisions,
// in order.
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

// Report queues an event for placement. It waits while the queue is full.
func (d *Dispatcher) Report(ctx context.Context, event place.Event) error {
	if err := d.events.Put(ctx, event); err != nil {
		return fmt.Errorf("report event: %w", err)
	}
	return nil
}

// Close ends the delivery of decisions to a request.
func (d *Dispatcher) Close(id place.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, id)
}

// loop applies events to the core until ctx ends, and a Ticked event at each time
// that NextTick returns.
func (d *Dispatcher) loop(ctx context.Context) error {
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		var event place.Event
		select {
		case event = <-d.events.Items():
		case <-tick.C:
			event = place.Ticked{}
		case <-ctx.Done():
			return fmt.Errorf("wait for event: %w", ctx.Err())
		}
		d.apply(event)
		tick.Stop()
		if next := d.core.NextTick(); !next.IsZero() {
			tick.Reset(time.Until(next))
		}
	}
}

func (d *Dispatcher) apply(event place.Event) {
	now := time.Now()
	decisions := d.core.Apply(event, now)
	d.archive.Record(event, decisions, now)
	d.trace.Record(event, decisions, now)
	d.leavingResponses.observe(event, decisions)
	for _, decision := range decisions {
		d.logDecision(decision)
		d.metrics.ObserveDecision(decision)
		d.sendToPeers(decision)
		send, isSend := decision.(place.Send)
		if d.forward(decision) || !isSend {
			continue
		}
		// No exchange makes the attempt or reports its end: the request has ended,
		// or the channel of its decisions is full. If the request has ended, the
		// event of its end is already in the ring, before this one.
		unsent := place.Finished{Attempt: send.Attempt, Result: place.NotStarted, Detail: "request has ended"}
		if !d.events.TryPut(unsent) {
			d.apply(unsent)
		}
	}
}

// forward queues a decision for its request and reports whether it did. It holds
// the lock meanwhile, so no decision is queued after Close.
func (d *Dispatcher) forward(decision place.Decision) bool {
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
