package claim

import (
	"time"

	"filberthold/model"
)

// Fact is something that an attempt has learnt. It is one of the fact types
// of this package.
type Fact interface{ isFact() }

// Began starts an attempt.
type Began struct{}

// Committed reports that the last write of the attempt took effect.
type Committed struct{}

// Found reports the present row, from a read or a failed compare-and-swap. An
// absent row has version 0.
type Found struct {
	Row     Row
	Version uint64
}

// WriteLost reports that the last write may or may not take effect, now or
// later.
type WriteLost struct{}

// ReadLost reports that the row could not be read.
type ReadLost struct{}

// Woke reports that the time of a Wait or an Await has come.
type Woke struct{}

// Placed reports that placement wants to send the request to an endpoint.
type Placed struct{}

// Ended reports how one sending ended. Response is set for Ran only.
type Ended struct {
	Evidence Evidence
	Response *Response
}

// GaveUp reports that placement sends the request to no further endpoint.
// MayHaveRun is true if placement holds that an attempt may have run.
type GaveUp struct{ MayHaveRun bool }

// Answered reports that an Answer has been handed to the caller.
type Answered struct{}

// Evidence tells what is known of one sending.
type Evidence int

const (
	// MayHaveRun is the evidence of every error that does not prove otherwise.
	MayHaveRun Evidence = iota
	// DidNotStart means that no byte was written or that the upstream said
	// that it did not start the request.
	DidNotStart
	// Ran means that the whole response has arrived.
	Ran
)

func (Began) isFact()     {}
func (Committed) isFact() {}
func (Found) isFact()     {}
func (WriteLost) isFact() {}
func (ReadLost) isFact()  {}
func (Woke) isFact()      {}
func (Placed) isFact()    {}
func (Ended) isFact()     {}
func (GaveUp) isFact()    {}
func (Answered) isFact()  {}

// Action is what an attempt does next. It is one of the action types of this
// package.
type Action interface{ isAction() }

// Write sets the row if its version is IfVersion. The next fact is Committed,
// Found or WriteLost.
type Write struct {
	Row       Row
	IfVersion uint64
}

// Read reads the row. The next fact is Found or ReadLost.
type Read struct{}

// Wait waits until a time. The next fact is Woke.
type Wait struct{ Until time.Time }

// Place hands the request to placement. It is returned once, when the attempt
// has become the holder of the row; then it acts as an Await.
type Place struct{ Until time.Time }

// Await waits for Placed, Ended or GaveUp until a time, and then for Woke.
type Await struct{ Until time.Time }

// Send allows one sending of the request, at once.
type Send struct{}

// Withhold forbids the sending that placement wants.
type Withhold struct{}

// Answer hands an outcome to the caller. The next fact is Answered.
type Answer struct {
	Outcome model.Outcome
	// Response is set for Served only.
	Response *Response
	// OtherRequest is true if the key belongs to another request.
	OtherRequest bool
	Reason       string
}

// Finish ends the attempt.
type Finish struct{}

func (Write) isAction()    {}
func (Read) isAction()     {}
func (Wait) isAction()     {}
func (Place) isAction()    {}
func (Await) isAction()    {}
func (Send) isAction()     {}
func (Withhold) isAction() {}
func (Answer) isAction()   {}
func (Finish) isAction()   {}
