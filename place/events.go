// Package place is the decision core of an entry host. It takes typed events
// with an explicit time and returns typed decisions. It has no clock, no
// goroutines and no I/O, so that a recorded session can be decided again.
package place

import (
	"time"

	"filberthold/model"
	"filberthold/share"
)

// RequestID identifies a request; it is a ULID in text form.
type RequestID string

// AttemptID identifies one sending of a request within an entry host.
type AttemptID uint64

// Request is what placement needs to know of a request.
type Request struct {
	ID       RequestID          `cbor:"id"`
	Service  model.ServiceName  `cbor:"service"`
	Customer model.CustomerName `cbor:"customer"`
	// BlockHash is a hash of the client block; shift plans move low hashes
	// first, so that the clients of a block move together.
	BlockHash uint64 `cbor:"blockHash"`
	// Home is the region that serves the client block when no shift applies.
	Home     model.RegionName `cbor:"home"`
	Deadline time.Time        `cbor:"deadline"`
}

// Event is something that placement has to react to. It is one of the event
// types of this package.
type Event interface{ isEvent() }

// Arrived reports a new request. For a submit the register row is held.
type Arrived struct {
	Request Request `cbor:"request"`
}

// Abandoned reports that the caller gave up.
type Abandoned struct {
	Request RequestID `cbor:"request"`
}

// Result tells how an attempt ended.
type Result string

const (
	// Succeeded means that the whole response has arrived. For an export it
	// means that the response has been passed on to its end.
	Succeeded Result = "succeeded"
	// NotStarted means that no byte was sent or that the upstream said that
	// it did not start the request.
	NotStarted Result = "notStarted"
	// Failed means that the attempt ended with an error after its first byte.
	// The upstream has stopped working on it.
	Failed Result = "failed"
	// Lost means that the attempt was given up and that the upstream may still
	// be working on it, until the deadline that was sent along.
	Lost Result = "lost"
)

// Finished reports the end of an attempt.
type Finished struct {
	Attempt AttemptID `cbor:"attempt"`
	Result  Result    `cbor:"result"`
	// Leaving is true if the upstream said that it takes no more work.
	Leaving bool `cbor:"leaving"`
	// Progress is true if the attempt passed bytes of an export on to the
	// caller. The next attempt resumes after them.
	Progress bool `cbor:"progress"`
	// Detail is a short text for logs and records.
	Detail string `cbor:"detail"`
}

// Responded reports the response header of an attempt that streams.
type Responded struct {
	Attempt AttemptID `cbor:"attempt"`
}

// Ticked reports that time has passed; see Core.NextTick.
type Ticked struct{}

// Adopted reports a new revision of the configuration.
type Adopted struct {
	Deployment *model.Deployment `cbor:"-"`
	Revision   uint64            `cbor:"revision"`
	// Skipped holds the revisions between the one that the host had and this
	// one, in order; for the first revision of a process, those since a
	// revision whose owners had all slots. Without them a gained slot is not
	// used, because a skipped revision may have an owner that still uses it.
	Skipped []*model.Deployment `cbor:"-"`
	// BusyUntil is set with the first revision of a process if an earlier
	// process under the same name may have left requests behind, to the latest
	// time at which they or a loan can end. Until then the host uses no slot of
	// its own.
	BusyUntil time.Time `cbor:"busyUntil"`
}

// Marked reports that an endpoint is leaving, from the host list, a peer or
// an operator.
type Marked struct {
	Endpoint    model.EndpointName `cbor:"endpoint"`
	Incarnation string             `cbor:"incarnation"`
	Source      string             `cbor:"source"`
}

// Unmarked reports a new incarnation of an endpoint that takes work again.
type Unmarked struct {
	Endpoint    model.EndpointName `cbor:"endpoint"`
	Incarnation string             `cbor:"incarnation"`
}

// LoadReported reports the load report of an endpoint.
type LoadReported struct {
	Endpoint  model.EndpointName `cbor:"endpoint"`
	BusySlots int                `cbor:"busySlots"`
}

// ReleaseHeard reports the release of a slot by a former owner, from a peer or
// from its row in the table.
type ReleaseHeard struct {
	Release share.Release `cbor:"release"`
}

// LoanAsked reports that a peer asks for a slot of an endpoint.
type LoanAsked struct {
	// Number is that of the peer's AskLoan; it is returned with the grant.
	Number   uint64             `cbor:"number"`
	Endpoint model.EndpointName `cbor:"endpoint"`
	Borrower model.HostName     `cbor:"borrower"`
	Duration time.Duration      `cbor:"duration"`
}

// LoanGranted reports the loan that a peer granted.
type LoanGranted struct {
	// Number is that of the AskLoan.
	Number uint64     `cbor:"number"`
	Loan   share.Loan `cbor:"loan"`
}

// LoanReturned reports that the borrower gave a loan back.
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
