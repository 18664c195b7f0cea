package entry

import (
	"fmt"
	"time"

	"filberthold/audit"
	"filberthold/model"
	"filberthold/place"
)

// Reserve reserves memory for the records of a submit, or returns an error that
// wraps audit.ErrFull. A request for an unknown service counts as a submit.
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

// Reserve reserves memory for the records of a submit. It is called before the
// claim of the submit's key: a refusal after the claim would leave the outcome
// unknown. The second call, in Open, has no effect.
func (d *Dispatcher) Reserve(request place.Request) error {
	return d.archive.Reserve(request, time.Now())
}

// RecordOutcome records and logs a request that was refused without placement.
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
	record := newRecord(openRequest{request: request, class: a.classOf(request.Service)}, audit.Refused)
	record.Outcome, record.Reason = string(outcome), reason
	a.add(record, now)
}

// Record records an event and the decisions that follow from it.
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
	if a.thresholdBytes > 0 && a.buffer.UnstoredBytes() >= a.thresholdBytes {
		select {
		case a.segmentReady <- struct{}{}:
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
		request := openRequest{request: event.Request, class: a.classOf(event.Request.Service)}
		a.requests[event.Request.ID] = request
		record := newRecord(request, audit.Admitted)
		record.Deadline = event.Request.Deadline
		return record, true
	case place.Finished:
		ended, exists := a.attempts[event.Attempt]
		record := newRecord(ended.openRequest, audit.Ended)
		record.Attempt, record.AttemptNumber, record.Endpoint = event.Attempt, ended.number, ended.endpoint
		record.Outcome, record.Reason = string(event.Result), event.Detail
		return record, exists
	case place.Abandoned:
		record := newRecord(a.requestOf(event.Request), audit.Abandoned)
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

// recordAnswer returns the record of an outcome that placement did not decide.
// The register decides the outcome of a submit after placement. Other requests
// get such an outcome only if they are refused before placement.
func (a *Archive) recordAnswer(event place.Answered) audit.Record {
	kind, class := audit.Answered, a.classOf(event.Request.Service)
	if class != model.Submit.String() {
		kind = audit.Refused
	}
	record := newRecord(openRequest{request: event.Request, class: class}, kind)
	record.Outcome, record.Reason = string(event.Outcome), event.Reason
	return record
}

func (a *Archive) recordDecision(decision place.Decision) audit.Record {
	request := a.requestOf(decision.RequestID())
	switch decision := decision.(type) {
	case place.Send:
		a.attempts[decision.Attempt] = openAttempt{openRequest: request, endpoint: decision.Endpoint, number: decision.Number}
		record := newRecord(request, audit.Sent)
		record.Attempt, record.AttemptNumber = decision.Attempt, decision.Number
		record.Endpoint, record.Hedge = decision.Endpoint, decision.Hedge
		record.Reason, record.Alternatives, record.Deadline = decision.Reason, decision.Alternatives, decision.Deadline
		return record
	case place.Wait:
		record := newRecord(request, audit.Waiting)
		record.Position, record.Reason = decision.Position, decision.Reason
		return record
	case place.Refuse:
		record := newRecord(request, audit.Refused)
		record.Outcome, record.Reason = string(decision.Outcome), decision.Reason
		return record
	case place.Deliver:
		record := newRecord(request, audit.Delivered)
		record.Outcome = string(model.Served)
		a.setAttempt(&record, decision.Attempt)
		return record
	case place.Cancel:
		record := newRecord(request, audit.Cancelled)
		record.Reason = decision.Reason
		a.setAttempt(&record, decision.Attempt)
		return record
	}
	return newRecord(request, audit.Kind(place.KindOf(decision)))
}

// setAttempt sets the ID, the number and the endpoint of an attempt in a record.
func (a *Archive) setAttempt(record *audit.Record, id place.AttemptID) {
	sent := a.attempts[id]
	record.Attempt, record.AttemptNumber, record.Endpoint = id, sent.number, sent.endpoint
}

// requestOf returns an open request. For a request that is not open, only the ID
// is set.
func (a *Archive) requestOf(id place.RequestID) openRequest {
	open, exists := a.requests[id]
	if !exists {
		open.request.ID = id
	}
	return open
}

func newRecord(open openRequest, kind audit.Kind) audit.Record {
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
	a.interval, a.thresholdBytes = segmentInterval, segmentBytes
	if len(deployment.Hosts()) >= largeDeploymentHosts {
		a.interval, a.thresholdBytes = largeDeploymentSegmentInterval, 0
	}
}
