// Package audit records the decisions of entry hosts. Records are stored in
// segments that form a hash chain for each incarnation of a host, so that a
// changed, missing or reordered segment can be detected.
package audit

import (
	"strings"
	"time"
	"unicode/utf8"

	"filberthold/model"
	"filberthold/place"
)

// Kind is the kind of event or decision that a record describes.
type Kind string

const (
	// Admitted records that a request entered placement.
	Admitted Kind = "admitted"
	// Waiting records that a request was queued.
	Waiting Kind = "waiting"
	// Sent records that a request was sent to an endpoint.
	Sent Kind = "sent"
	// Ended records how an attempt ended.
	Ended Kind = "ended"
	// Cancelled records that an attempt was cancelled.
	Cancelled Kind = "cancelled"
	// Abandoned records that the caller disconnected.
	Abandoned Kind = "abandoned"
	// Delivered records that a response was returned to the caller.
	Delivered Kind = "delivered"
	// Refused records that a request was refused: the caller gets an outcome
	// without a response of an upstream.
	Refused Kind = "refused"
	// Answered records the outcome that was sent to the caller of a submit.
	Answered Kind = "answered"
	// Adopted records that a revision of the configuration came into force.
	Adopted Kind = "adopted"
	// Marked records that an endpoint was marked as leaving.
	Marked Kind = "marked"
	// Unmarked records that an endpoint accepts requests again.
	Unmarked Kind = "unmarked"
	// Gap represents records that were dropped because memory was full.
	Gap Kind = "gap"
)

// Record describes one event or decision of an entry host.
type Record struct {
	// Host and Incarnation are stored once for each segment.
	Host        model.HostName `cbor:"-" json:"host"`
	Incarnation string         `cbor:"-" json:"incarnation"`
	// Number counts the records of an incarnation from 1. A gap record has
	// the number of the last record that it represents.
	Number   uint64             `cbor:"number" json:"number"`
	At       time.Time          `cbor:"at" json:"at"`
	Kind     Kind               `cbor:"kind" json:"kind"`
	Request  place.RequestID    `cbor:"request,omitempty" json:"request,omitempty"`
	Customer model.CustomerName `cbor:"customer,omitempty" json:"customer,omitempty"`
	Service  model.ServiceName  `cbor:"service,omitempty" json:"service,omitempty"`
	// Class is empty for records that are not about a request.
	Class string `cbor:"class,omitempty" json:"class,omitempty"`
	// Attempt identifies an attempt within the incarnation; AttemptNumber counts
	// the attempts of the request from 1.
	Attempt       place.AttemptID    `cbor:"attempt,omitempty" json:"attempt,omitempty"`
	AttemptNumber int                `cbor:"try,omitempty" json:"try,omitempty"`
	Endpoint      model.EndpointName `cbor:"endpoint,omitempty" json:"endpoint,omitempty"`
	// Alternatives are the endpoints that were considered and not chosen.
	Alternatives []model.EndpointName `cbor:"alternatives,omitempty" json:"alternatives,omitempty"`
	// Position is the position in the queue of the service; 1 is served next.
	Position int  `cbor:"position,omitempty" json:"position,omitempty"`
	Hedge    bool `cbor:"hedge,omitempty" json:"hedge,omitempty"`
	// Reason is the reason of the decision or outcome. It is the source of the
	// mark in a Marked record, the incarnation of the endpoint in an Unmarked
	// record, and the detail of the result in an Ended record.
	Reason string `cbor:"reason,omitempty" json:"reason,omitempty"`
	// Outcome is the outcome of a request or the result of an attempt.
	Outcome string `cbor:"outcome,omitempty" json:"outcome,omitempty"`
	// Deadline is the deadline of the request in an Admitted record. In a Sent
	// record it is the time after which the upstream must not start the request.
	Deadline time.Time `cbor:"deadline,omitzero" json:"deadline,omitzero"`
	// Revision is the number of the adopted revision.
	Revision uint64   `cbor:"revision,omitempty" json:"revision,omitempty"`
	Dropped  *Dropped `cbor:"dropped,omitempty" json:"dropped,omitempty"`
}

// Dropped counts the records that a gap record represents. Since is the time of
// the first one.
type Dropped struct {
	Since   time.Time `cbor:"since" json:"since"`
	Reads   uint64    `cbor:"reads" json:"reads"`
	Exports uint64    `cbor:"exports" json:"exports"`
	Others  uint64    `cbor:"others" json:"others"`
}

// Total returns the number of dropped records.
func (d Dropped) Total() uint64 { return d.Reads + d.Exports + d.Others }

// firstNumber returns the lowest record number that the record represents.
func (r Record) firstNumber() uint64 {
	if r.Dropped == nil {
		return r.Number
	}
	return r.Number - r.Dropped.Total() + 1
}

// EndsPlacement reports whether the record is the last decision of placement on
// a request.
func (r Record) EndsPlacement() bool {
	return r.Kind == Delivered || r.Kind == Refused
}

// IsFinal reports whether the record is the last one of a request. A submit
// ends with an Answered record, which contains the outcome that the register
// allows.
func (r Record) IsFinal() bool {
	if r.Class == model.Submit.String() {
		return r.Kind == Answered
	}
	return r.EndsPlacement()
}

const (
	// maxReasonBytes, maxAlternatives and maxNameBytes keep a record below
	// maxRecordBytes, so that the reservation of a submit is enough for its
	// records.
	maxReasonBytes  = 200
	maxAlternatives = 8
	maxNameBytes    = 64
	maxRecordBytes  = 1536
)

// clipped returns the record with its texts shortened to their limits.
func (r Record) clipped() Record {
	r.At = r.At.Round(0).UTC()
	r.Deadline = r.Deadline.Round(0).UTC()
	r.Reason = clip(r.Reason, maxReasonBytes)
	r.Customer = clip(r.Customer, maxNameBytes)
	r.Service = clip(r.Service, maxNameBytes)
	r.Request = clip(r.Request, maxNameBytes)
	r.Endpoint = clip(r.Endpoint, maxNameBytes)
	r.Outcome = clip(r.Outcome, maxNameBytes)
	r.Class = clip(r.Class, maxNameBytes)
	alternatives := r.Alternatives[:min(len(r.Alternatives), maxAlternatives)]
	r.Alternatives = nil
	for _, alternative := range alternatives {
		r.Alternatives = append(r.Alternatives, clip(alternative, maxNameBytes))
	}
	return r
}

// clip shortens a text and replaces invalid UTF-8. Some texts come from
// callers, and a decoder rejects text that is not valid UTF-8.
func clip[T ~string](text T, limit int) T {
	valid := strings.ToValidUTF8(string(text), "\uFFFD")
	if len(valid) <= limit {
		return T(valid)
	}
	for !utf8.RuneStart(valid[limit]) {
		limit--
	}
	return T(valid[:limit] + "…")
}
