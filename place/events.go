// Package place is the decision core of an entry host. It takes typed events
// with an explicit time and returns typed decisions. It has no clock, no
// goroutines and no I/O, so that a recorded session can be decided again.
package place

import (
	"time"

	"filberthold/model"
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
	// Detail is a short text for logs and records.
	Detail string `cbor:"detail"`
}

// Responded reports the response header of an attempt that streams.
type Responded struct {
	Attempt AttemptID `cbor:"attempt"`
}

// Ticked reports that time has passed; see Core.NextWake.
type Ticked struct{}

// Adopted reports a new revision of the configuration.
type Adopted struct {
	Deployment *model.Deployment `cbor:"-"`
	Revision   uint64            `cbor:"revision"`
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

func (Arrived) isEvent()   {}
func (Abandoned) isEvent() {}
func (Finished) isEvent()  {}
func (Responded) isEvent() {}
func (Ticked) isEvent()    {}
func (Adopted) isEvent()   {}
func (Marked) isEvent()    {}
func (Unmarked) isEvent()  {}
