// Package place is the decision core of an entry host. It takes typed events
// with an explicit time and returns typed decisions. It has no clock, no
// goroutines and no I/O, so a recorded session can be replayed.
package place

import (
	"time"

	"filberthold/model"
	"filberthold/share"
)

// RequestID identifies a request; it is a ULID in text form.
type RequestID string

// AttemptID identifies an attempt of a request within one incarnation of an entry
// host. It counts from 1.
type AttemptID uint64

// Request holds the properties of a request that placement uses.
type Request struct {
	ID       RequestID          `cbor:"id"`
	Service  model.ServiceName  `cbor:"service"`
	Customer model.CustomerName `cbor:"customer"`
	// BlockHash is a hash of the client block. Shift plans move low hashes first,
	// so the clients of a block move together.
	BlockHash uint64 `cbor:"blockHash"`
	// Home is the home region of the client block, which serves it when no shift
	// applies.
	Home     model.RegionName `cbor:"home"`
	Deadline time.Time        `cbor:"deadline"`
}

// Event is an input of Core. It is one of the event types of this package.
type Event interface{ isEvent() }

// Arrived reports a new request. For a submit, this host has claimed the key's
// row in the register.
type Arrived struct {
	Request Request `cbor:"request"`
}

// Abandoned reports that the caller of a request disconnected.
type Abandoned struct {
	Request RequestID `cbor:"request"`
}

// Result is the result of an attempt.
type Result string

const (
	// Succeeded means that the complete response has arrived. For an export it
	// means that the response has been passed on to its end.
	Succeeded Result = "succeeded"
	// NotStarted means that no byte was sent, or that the upstream reported that
	// it did not start the request.
	NotStarted Result = "notStarted"
	// Failed means that the attempt ended with an error after its first byte.
	// The upstream has stopped executing it.
	Failed Result = "failed"
	// Lost means that this host stopped waiting for the attempt. The upstream may
	// execute it until the deadline that was sent with it.
	Lost Result = "lost"
)

// MinExportProgress is the number of bytes that an attempt of an export must pass on to be
// resumed without a charge. Fewer would let an endpoint that breaks each response get as
// many requests as it can break.
const MinExportProgress = 4 << 10

// Finished reports the end of an attempt.
type Finished struct {
	Attempt AttemptID `cbor:"attempt"`
	Result  Result    `cbor:"result"`
	// Leaving is true if the upstream reported that it accepts no more requests.
	Leaving bool `cbor:"leaving"`
	// SpareFor is the time for which the upstream, which did not start the request, asked
	// to get no further one from this host, or 0.
	SpareFor time.Duration `cbor:"spareFor,omitempty" json:",omitempty"`
	// Progress is true if the attempt passed at least MinExportProgress bytes of an
	// export on to the caller. The next attempt resumes after them.
	Progress bool `cbor:"progress"`
	// Detail is a short text for logs and records.
	Detail string `cbor:"detail"`
}

// Responded reports the response header of an attempt whose body is streamed.
type Responded struct {
	Attempt AttemptID `cbor:"attempt"`
	// Leaving is true if the upstream reported that it accepts no more requests.
	Leaving bool `cbor:"leaving,omitempty"`
}

// Ticked reports that time has passed; see Core.NextTick.
type Ticked struct{}

// Adopted reports a new revision of the configuration.
type Adopted struct {
	Deployment *model.Deployment `cbor:"-"`
	Revision   uint64            `cbor:"revision"`
	// Skipped holds the revisions between the previous one of the host and this
	// one, in order. For the first revision of an incarnation it holds those since
	// a revision in which the owners could use all slots. Without them a gained
	// slot is not used, because its owner in a skipped revision may still use it.
	Skipped []*model.Deployment `cbor:"-"`
	// BusyUntil is set with the first revision of an incarnation if requests or
	// loans of an earlier incarnation may still be in flight. It is the latest time
	// at which they can end. Until then the host uses none of its own slots.
	BusyUntil time.Time `cbor:"busyUntil"`
	// IsRestart is true for the first revision of an incarnation unless it is known to
	// be the first incarnation of the host. Then the host has no share of the retry
	// reserve, which an earlier incarnation may have used.
	IsRestart bool `cbor:"isRestart,omitempty"`
}

// Marked reports that an incarnation of an endpoint is leaving. Source names the
// origin of the report: the host list, a peer or an operator.
type Marked struct {
	Endpoint    model.EndpointName `cbor:"endpoint"`
	Incarnation string             `cbor:"incarnation"`
	Source      string             `cbor:"source"`
}

// Unmarked reports a new incarnation of an endpoint that accepts requests.
type Unmarked struct {
	Endpoint    model.EndpointName `cbor:"endpoint"`
	Incarnation string             `cbor:"incarnation"`
}

// LoadReported reports the load report of an endpoint.
type LoadReported struct {
	Endpoint  model.EndpointName `cbor:"endpoint"`
	BusySlots int                `cbor:"busySlots"`
}

// ReleaseHeard reports the release of a slot by a former owner, from a peer
// message or from the owner's row of the platform table.
type ReleaseHeard struct {
	Release share.Release `cbor:"release"`
}

// LoanAsked reports that a peer requests a loan of a slot of an endpoint.
type LoanAsked struct {
	// Number is the number of the peer's AskLoan; the grant returns it.
	Number   uint64             `cbor:"number"`
	Endpoint model.EndpointName `cbor:"endpoint"`
	Borrower model.HostName     `cbor:"borrower"`
	Duration time.Duration      `cbor:"duration"`
}

// LoanGranted reports the loan that a peer granted.
type LoanGranted struct {
	// Number is the number of the AskLoan that the loan grants.
	Number uint64     `cbor:"number"`
	Loan   share.Loan `cbor:"loan"`
}

// LoanReturned reports that the borrower returned a loan of this host.
type LoanReturned struct {
	Loan share.LoanID `cbor:"loan"`
}

func (Arrived) isEvent()      {}
func (Abandoned) isEvent()    {}
func (Finished) isEvent()     {}
func (Responded) isEvent()    {}
func (Ticked) isEvent()       {}
func (Adopted) isEvent()      {}
func (Marked) isEvent()       {}
func (Unmarked) isEvent()     {}
func (LoadReported) isEvent() {}
func (ReleaseHeard) isEvent() {}
func (LoanAsked) isEvent()    {}
func (LoanGranted) isEvent()  {}
func (LoanReturned) isEvent() {}
