package place

import (
	"time"

	"filberthold/model"
	"filberthold/share"
)

// Decision is an output of Core. It is one of the decision types of this package.
type Decision interface {
	isDecision()
	// RequestID returns the request that the decision applies to, or "".
	RequestID() RequestID
}

// Send is the decision to send a request to an endpoint.
type Send struct {
	Request  RequestID          `cbor:"request"`
	Attempt  AttemptID          `cbor:"attempt"`
	Endpoint model.EndpointName `cbor:"endpoint"`
	Address  string             `cbor:"address"`
	// Number counts the attempts of the request from 1.
	Number int `cbor:"number"`
	// Hedge is true if an earlier attempt is still in flight.
	Hedge bool `cbor:"hedge"`
	// Deadline is sent with the request. The upstream must not start the request
	// after it.
	Deadline time.Time `cbor:"deadline"`
	Reason   string    `cbor:"reason"`
	// Alternatives are the endpoints that were considered and not chosen.
	Alternatives []model.EndpointName `cbor:"alternatives"`
}

// Wait is the decision to queue a request.
type Wait struct {
	Request RequestID `cbor:"request"`
	// Position is the position in the queue of the service; 1 is served next.
	Position int    `cbor:"position"`
	Reason   string `cbor:"reason"`
}

// Refuse is the decision to end a request without a response of an upstream.
type Refuse struct {
	Request RequestID     `cbor:"request"`
	Outcome model.Outcome `cbor:"outcome"`
	Reason  string        `cbor:"reason"`
}

// Deliver is the decision to return the response of an attempt to the caller.
type Deliver struct {
	Request RequestID `cbor:"request"`
	Attempt AttemptID `cbor:"attempt"`
}

// Cancel is the decision to cancel an attempt whose response is not needed.
type Cancel struct {
	Request RequestID `cbor:"request"`
	Attempt AttemptID `cbor:"attempt"`
	Reason  string    `cbor:"reason"`
	// IsLoser is true if another attempt of the request succeeded first.
	IsLoser bool `cbor:"isLoser,omitempty" json:",omitempty"`
}

// AskLoan is the decision to request a loan of a slot of an endpoint from one or
// more of its owners. This decision and those below apply to no single request.
type AskLoan struct {
	Number   uint64             `cbor:"number"`
	Endpoint model.EndpointName `cbor:"endpoint"`
	Owners   []model.HostName   `cbor:"owners"`
	Duration time.Duration      `cbor:"duration"`
}

// GrantLoan is the decision to send a loan to its borrower.
type GrantLoan struct {
	// Number is the number of the LoanAsked that the loan grants.
	Number uint64     `cbor:"number"`
	Loan   share.Loan `cbor:"loan"`
}

// ReturnLoan is the decision to return a loan to its owner before it expires.
type ReturnLoan struct {
	Loan share.LoanID `cbor:"loan"`
}

// Announce is the decision to publish releases to peers and in the host's row of
// the platform table.
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
