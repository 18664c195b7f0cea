package place

import (
	"time"

	"filberthold/model"
	"filberthold/share"
)

// Decision is a result of placement. It is one of the decision types of this
// package.
type Decision interface {
	isDecision()
	// RequestID returns the request that the decision is about.
	RequestID() RequestID
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
	// IsLoser is true if another attempt has answered the request.
	IsLoser bool `cbor:"isLoser,omitempty" json:",omitempty"`
}

// AskLoan tells to ask one or more of the owners for a slot of an endpoint.
// It is about no single request, and neither are the decisions below.
type AskLoan struct {
	Number   uint64             `cbor:"number"`
	Endpoint model.EndpointName `cbor:"endpoint"`
	Owners   []model.HostName   `cbor:"owners"`
	Duration time.Duration      `cbor:"duration"`
}

// GrantLoan tells to send a loan to its borrower.
type GrantLoan struct {
	// Number is that of the LoanAsked.
	Number uint64     `cbor:"number"`
	Loan   share.Loan `cbor:"loan"`
}

// ReturnLoan tells the owner of a loan that it is no longer needed.
type ReturnLoan struct {
	Loan share.LoanID `cbor:"loan"`
}

// Announce tells to publish releases to peers and in the host's table row.
type Announce struct {
	Releases []share.Release `cbor:"releases"`
}

func (Send) isDecision()       {}
func (Wait) isDecision()       {}
func (Refuse) isDecision()     {}
func (Deliver) isDecision()    {}
func (Cancel) isDecision()     {}
func (AskLoan) isDecision()    {}
func (GrantLoan) isDecision()  {}
func (ReturnLoan) isDecision() {}
func (Announce) isDecision()   {}

// RequestID returns "".
func (AskLoan) RequestID() RequestID { return "" }

// RequestID returns "".
func (GrantLoan) RequestID() RequestID { return "" }

// RequestID returns "".
func (ReturnLoan) RequestID() RequestID { return "" }

// RequestID returns "".
func (Announce) RequestID() RequestID { return "" }

// RequestID returns the request that is sent.
func (d Send) RequestID() RequestID { return d.Request }

// RequestID returns the request that waits.
func (d Wait) RequestID() RequestID { return d.Request }

// RequestID returns the request that is refused.
func (d Refuse) RequestID() RequestID { return d.Request }

// RequestID returns the request whose response is delivered.
func (d Deliver) RequestID() RequestID { return d.Request }

// RequestID returns the request whose attempt is cancelled.
func (d Cancel) RequestID() RequestID { return d.Request }
