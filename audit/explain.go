package audit

import (
	"fmt"
	"io"
	"strings"
	"time"

	"filberthold/model"
	"filberthold/place"
)

// Explanation describes how a request was handled.
type Explanation struct {
	Request     place.RequestID    `json:"request"`
	Customer    model.CustomerName `json:"customer"`
	Service     model.ServiceName  `json:"service"`
	Class       string             `json:"class"`
	Host        model.HostName     `json:"host"`
	Incarnation string             `json:"incarnation"`
	// Outcome is empty if the archive does not hold the end of the request.
	Outcome string `json:"outcome"`
	// WaitedMilliseconds is the time from admission to the first attempt, or
	// to the last step if there was no attempt.
	WaitedMilliseconds int64    `json:"waitedMilliseconds"`
	Steps              []Record `json:"steps"`
	// ServedBefore lists the requests of the same service that were sent in
	// that time, in order.
	ServedBefore []PrecedingRequest `json:"servedBefore"`
	// Gaps lists the gap records of that time. Steps and ServedBefore may lack
	// the dropped records.
	Gaps []Record `json:"gaps"`
}

// PrecedingRequest is a request that was sent while the explained one waited.
type PrecedingRequest struct {
	At       time.Time          `json:"at"`
	Request  place.RequestID    `json:"request"`
	Customer model.CustomerName `json:"customer"`
	Endpoint model.EndpointName `json:"endpoint"`
	// AdmittedLater is true if the request was admitted after the explained
	// one.
	AdmittedLater bool `json:"admittedLater"`
}

// Explain explains a request from the records of its host.
func Explain(records []Record, request place.RequestID) (Explanation, error) {
	explanation := Explanation{Request: request, ServedBefore: []PrecedingRequest{}, Gaps: []Record{}}
	for _, record := range records {
		if record.Request == request {
			explanation.Steps = append(explanation.Steps, record)
		}
	}
	if len(explanation.Steps) == 0 {
		return Explanation{}, fmt.Errorf("no record of request %s", request)
	}
	first := explanation.Steps[0]
	explanation.Customer, explanation.Service, explanation.Class = first.Customer, first.Service, first.Class
	explanation.Host, explanation.Incarnation = first.Host, first.Incarnation
	for _, step := range explanation.Steps {
		if step.IsFinal() {
			explanation.Outcome = step.Outcome
		}
	}
	explanation.addPrecedingRequests(records)
	return explanation, nil
}

// addPrecedingRequests adds the waiting time, and the requests and gaps between
// admission and the first attempt.
func (e *Explanation) addPrecedingRequests(records []Record) {
	first := e.Steps[0]
	end := e.Steps[len(e.Steps)-1]
	for _, step := range e.Steps {
		if step.Kind == Sent {
			end = step
			break
		}
	}
	e.WaitedMilliseconds = end.At.Sub(first.At).Milliseconds()
	admittedLater := make(map[place.RequestID]bool)
	for _, record := range records {
		if record.Number <= first.Number || record.firstNumber() >= end.Number {
			continue
		}
		switch {
		case record.Kind == Gap:
			e.Gaps = append(e.Gaps, record)
		case record.Request == e.Request || record.Service != e.Service:
		case record.Kind == Admitted:
			admittedLater[record.Request] = true
		case record.Kind == Sent:
			e.ServedBefore = append(e.ServedBefore, PrecedingRequest{
				At: record.At, Request: record.Request, Customer: record.Customer,
				Endpoint: record.Endpoint, AdmittedLater: admittedLater[record.Request],
			})
		}
	}
}

const clockLayout = "15:04:05.000"

// Render writes the explanation as text. All times are in UTC.
func (e Explanation) Render(out io.Writer) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "request   %s\ncustomer  %s\nservice   %s (%s)\nhost      %s, incarnation %s\n",
		e.Request, e.Customer, e.Service, e.Class, e.Host, e.Incarnation)
	fmt.Fprintf(text, "date      %s (times in UTC)\n\n", e.Steps[0].At.Format(time.DateOnly))
	for _, step := range e.Steps {
		fmt.Fprintf(text, "%s  %s\n", step.At.Format(clockLayout), describe(step))
	}
	fmt.Fprintf(text, "\nwaited %d ms before it was sent\n", e.WaitedMilliseconds)
	if len(e.ServedBefore) == 0 {
		fmt.Fprintln(text, "no other request of the service was sent in that time")
	} else {
		fmt.Fprintln(text, "requests of the service that were sent in that time, in order:")
	}
	for _, preceding := range e.ServedBefore {
		admitted := "admitted before it"
		if preceding.AdmittedLater {
			admitted = "admitted after it"
		}
		fmt.Fprintf(text, "  %s  customer %s, request %s, to %s (%s)\n",
			preceding.At.Format(clockLayout), preceding.Customer, preceding.Request, preceding.Endpoint, admitted)
	}
	for _, gap := range e.Gaps {
		fmt.Fprintf(text, "gap: %d records dropped from %s to %s (%s)\n", gap.Dropped.Total(),
			gap.Dropped.Since.Format(clockLayout), gap.At.Format(clockLayout), gap.Reason)
	}
	outcome := e.Outcome
	if outcome == "" {
		outcome = "not in the archive"
	}
	fmt.Fprintf(text, "outcome: %s\n", outcome)
	if _, err := io.WriteString(out, text.String()); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	return nil
}

func describe(step Record) string {
	switch step.Kind {
	case Admitted:
		return "admitted, deadline " + step.Deadline.Format(time.RFC3339Nano)
	case Waiting:
		return fmt.Sprintf("waits at position %d: %s", step.Position, step.Reason)
	case Sent:
		text := fmt.Sprintf("attempt %d sent to %s: %s", step.AttemptNumber, step.Endpoint, step.Reason)
		if step.Hedge {
			text = "hedged " + text
		}
		if len(step.Alternatives) > 0 {
			text += fmt.Sprintf("; not chosen: %v", step.Alternatives)
		}
		return text
	case Ended:
		return strings.TrimSuffix(fmt.Sprintf("attempt %d at %s ended: %s: %s", step.AttemptNumber, step.Endpoint, step.Outcome, step.Reason), ": ")
	case Cancelled:
		return fmt.Sprintf("attempt %d at %s cancelled: %s", step.AttemptNumber, step.Endpoint, step.Reason)
	case Delivered:
		return "response delivered"
	case Refused:
		return fmt.Sprintf("refused as %s: %s", step.Outcome, step.Reason)
	case Answered:
		return fmt.Sprintf("answered as %s: %s", step.Outcome, step.Reason)
	case Abandoned, Adopted, Marked, Unmarked, Gap:
	}
	return strings.TrimSuffix(string(step.Kind)+": "+step.Reason, ": ")
}
