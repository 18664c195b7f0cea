package place

import (
	"time"

	"filberthold/model"
)

// Decision is a result of placement. It is one of the decision types of this
// package.
type Decision interface {
	isDecision()
	// For returns the request that the decision is about.
	For() RequestID
}

// Send tells to send a request to an endpoint.
type Send struct {
	Request  RequestID          `cbor:"request"`
	Attempt  AttemptID          `cbor:"attempt"`
	Endpoint model.EndpointName `cbor:"endpoint"`
	Address  string             `cbor:"address"`
	// Number counts the attempts of the request from 1.
	Number int `cbor:"number"`
	// Hedge is true if an earlier attempt is still in flight.
	Hedge bool `cbor:"hedge"`
	// Deadline is sent along; the upstream must not start after it.
	Deadline time.Time `cbor:"deadline"`
	Reason   string    `cbor:"reason"`
	// Alternatives are the endpoints that were considered and not chosen.
	Alternatives []model.EndpointName `cbor:"alternatives"`
}

// Wait tells that a request is queued.
type Wait struct {
	Request RequestID `cbor:"request"`
	// Position is 1 for the request that is served next in its service.
	Position int    `cbor:"position"`
	Reason   string `cbor:"reason"`
}

// Refuse tells to answer a request without a response of an upstream.
type Refuse struct {
	Request RequestID     `cbor:"request"`
	Outcome model.Outcome `cbor:"outcome"`
	Reason  string        `cbor:"reason"`
}

// Deliver tells to return the response of an attempt to the caller.
type Deliver struct {
	Request RequestID `cbor:"request"`
	Attempt AttemptID `cbor:"attempt"`
}

// Cancel tells to cancel an attempt whose response is no longer needed.
type Cancel struct {
	Request RequestID `cbor:"request"`
	Attempt AttemptID `cbor:"attempt"`
	Reason  string    `cbor:"reason"`
}

func (Send) isDecision()    {}
func (Wait) isDecision()    {}
func (Refuse) isDecision()  {}
func (Deliver) isDecision() {}
func (Cancel) isDecision()  {}

// For returns the request that is sent.
func (d Send) For() RequestID { return d.Request }

// For returns the request that waits.
func (d Wait) For() RequestID { return d.Request }

// For returns the request that is refused.
func (d Refuse) For() RequestID { return d.Request }

// For returns the request whose response is delivered.
func (d Deliver) For() RequestID { return d.Request }

// For returns the request whose attempt is cancelled.
func (d Cancel) For() RequestID { return d.Request }
