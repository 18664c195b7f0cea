package entry

import (
	"fmt"
	"time"

	"filberthold/audit"
	"filberthold/model"
	"filberthold/place"
)

// Reserve keeps room for the records of a submit, or returns an error that
// wraps audit.ErrFull. A request of an unknown service counts as a submit.
func (a *Archive) Reserve(request place.Request, now time.Time) error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if class := a.classOf(request.Service); class != "" && class != model.Submit.String() {
		return nil
	}
	if err := a.buffer.Reserve(request.ID); err != nil {
		a.recordOutcome(request, model.NotSent, err.Error(), now)
		return fmt.Errorf("account for request: %w", err)
	}
	return nil
}

// Reserve keeps room for the records of a submit. It is called before the row
// of the register is claimed, since a refusal after the claim would leave the
// key unknown; Open calls it again, to no effect.
func (d *Dispatcher) Reserve(request place.Request) error {
	return d.archive.Reserve(request, time.Now())
}

// RecordOutcome accounts for a request that was answered without placement,
// and writes its log line.
func (a *Archive) RecordOutcome(request place.Request, outcome model.Outcome, reason string, now time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordOutcome(request, outcome, reason, now)
}

func (a *Archive) recordOutcome(request place.Request, outcome model.Outcome, reason string, now time.Time) {
	a.log.Info("refuse", "request", request.ID, "outcome", outcome, "reason", reason)
	record := about(openRequest{request: request, class: a.classOf(request.Service)}, audit.Refused)
	record.Outcome, record.Reason = string(outcome), reason
	a.add(record, now)
}

// Record accounts for an event and the decisions that it led to.
func (a *Archive) Record(event place.Event, decisions []place.Decision, now time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if record, exists := a.recordEvent(event); exists {
		a.add(record, now)
	}
	for _, decision := range decisions {
		a.add(a.recordDecision(decision), now)
	}
	if finished, isFinished := event.(place.Finished); isFinished {
		delete(a.attempts, finished.Attempt)
	}
	if abandoned, isAbandoned := event.(place.Abandoned); isAbandoned &&
		a.requests[abandoned.Request].class != model.Submit.String() {
		delete(a.requests, abandoned.Request)
		a.buffer.Release(abandoned.Request)
	}
	if a.threshold > 0 && a.buffer.UnstoredBytes() >= a.threshold {
		select {
		case a.full <- struct{}{}:
		default:
		}
	}
}

func (a *Archive) add(record audit.Record, now time.Time) {
	record.At = now
	if err := a.buffer.Add(record); err != nil {
		a.log.Error("audit record not kept", "request", record.Request, "error", err)
	}
	if record.EndsPlacement() {
		delete(a.requests, record.Request)
	}
	if record.IsFinal() {
		a.buffer.Release(record.Request)
	}
}

func (a *Archive) classOf(name model.ServiceName) string {
	if a.deployment == nil {
		return ""
	}
	service, exists := a.deployment.Service(name)
	if !exists {
		return ""
	}
	return service.Class().String()
}

func (a *Archive) recordEvent(event place.Event) (audit.Record, bool) {
	switch event := event.(type) {
	case place.Arrived:
		open := openRequest{request: event.Request, class: a.classOf(event.Request.Service)}
		a.requests[event.Request.ID] = open
		record := about(open, audit.Admitted)
		record.Deadline = event.Request.Deadline
		return record, true
	case place.Finished:
		ended, exists := a.attempts[event.Attempt]
		record := about(ended.openRequest, audit.Ended)
		record.Attempt, record.Try, record.Endpoint = event.Attempt, ended.try, ended.endpoint
		record.Outcome, record.Reason = string(event.Result), event.Detail
		return record, exists
	case place.Abandoned:
		record := about(a.open(event.Request), audit.Abandoned)
		record.Reason = "caller gave up"
		return record, true
	case place.Adopted:
		a.adopt(event.Deployment)
		return audit.Record{Kind: audit.Adopted, Revision: event.Revision}, true
	case place.Marked:
		return audit.Record{Kind: audit.Marked, Endpoint: event.Endpoint, Reason: event.Source}, true
	case place.Answered:
		return a.recordAnswer(event), true
	case place.Unmarked:
		return audit.Record{Kind: audit.Unmarked, Endpoint: event.Endpoint, Reason: event.Incarnation}, true
	}
	return audit.Record{}, false
}

// recordAnswer accounts for an answer that was not decided by placement. The
// register decides after placement what the caller of a submit may be told;
// other requests are answered so only when they are refused before placement.
func (a *Archive) recordAnswer(event place.Answered) audit.Record {
	kind, class := audit.Answered, a.classOf(event.Request.Service)
	if class != model.Submit.String() {
		kind = audit.Refused
	}
	record := about(openRequest{request: event.Request, class: class}, kind)
	record.Outcome, record.Reason = string(event.Outcome), event.Reason
	return record
}

func (a *Archive) recordDecision(decision place.Decision) audit.Record {
	open := a.open(decision.RequestID())
	switch decision := decision.(type) {
	case place.Send:
		a.attempts[decision.Attempt] = openAttempt{openRequest: open, endpoint: decision.Endpoint, try: decision.Number}
		record := about(open, audit.Sent)
		record.Attempt, record.Try = decision.Attempt, decision.Number
		record.Endpoint, record.Hedge = decision.Endpoint, decision.Hedge
		record.Reason, record.Alternatives, record.Deadline = decision.Reason, decision.Alternatives, decision.Deadline
		return record
	case place.Wait:
		record := about(open, audit.Waiting)
		record.Position, record.Reason = decision.Position, decision.Reason
		return record
	case place.Refuse:
		record := about(open, audit.Refused)
		record.Outcome, record.Reason = string(decision.Outcome), decision.Reason
		return record
	case place.Deliver:
		record := about(open, audit.Delivered)
		record.Outcome = string(model.Served)
		a.addAttempt(&record, decision.Attempt)
		return record
	case place.Cancel:
		record := about(open, audit.Cancelled)
		record.Reason = decision.Reason
		a.addAttempt(&record, decision.Attempt)
		return record
	}
	return about(open, audit.Kind(place.KindOf(decision)))
}

// addAttempt names an attempt in a record.
func (a *Archive) addAttempt(record *audit.Record, id place.AttemptID) {
	sent := a.attempts[id]
	record.Attempt, record.Try, record.Endpoint = id, sent.try, sent.endpoint
}

// open returns what is known of a request, at least its identifier.
func (a *Archive) open(id place.RequestID) openRequest {
	open, exists := a.requests[id]
	if !exists {
		open.request.ID = id
	}
	return open
}

func about(open openRequest, kind audit.Kind) audit.Record {
	return audit.Record{
		Kind: kind, Request: open.request.ID, Customer: open.request.Customer,
		Service: open.request.Service, Class: open.class,
	}
}

func (a *Archive) adopt(deployment *model.Deployment) {
	if deployment == nil {
		return
	}
	a.deployment = deployment
	a.interval, a.threshold = segmentInterval, segmentBytes
	if len(deployment.Hosts()) >= manyHosts {
		a.interval, a.threshold = sparseInterval, 0
	}
}
