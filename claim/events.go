package claim

import (
	"time"

	"filberthold/model"
)

// Event is something that an attempt has learnt. It is one of the fact types
// of this package.
type Event interface{ isFact() }

// Started starts an attempt.
type Started struct{}

// Committed reports that the last write of the attempt took effect.
type Committed struct{}

// CurrentRow reports the present row, from a read or a failed compare-and-swap. An
// absent row has version 0.
type CurrentRow struct {
	Row     Row
	Version uint64
}

// WriteUnconfirmed reports that the last write may or may not take effect, now or
// later.
type WriteUnconfirmed struct{}

// ReadFailed reports that the row could not be read.
type ReadFailed struct{}

// TimerFired reports that the time of a Wait or an AwaitSend has come.
type TimerFired struct{}

// SendRequested reports that placement wants to send the request to an endpoint.
type SendRequested struct{}

// SendEnded reports how one sending ended. Response is set for Ran only.
type SendEnded struct {
	Execution Execution
	Response  *Response
}

// SendsEnded reports that placement sends the request to no further endpoint.
// MayHaveRun is true if placement holds that an attempt may have run.
type SendsEnded struct{ MayHaveRun bool }

// Answered reports that an Answer has been handed to the caller.
type Answered struct{}

// Execution tells what is known of one sending.
type Execution int

const (
	// MayHaveRun is the evidence of every error that does not prove otherwise.
	MayHaveRun Execution = iota
	// DidNotStart means that no byte was written or that the upstream said
	// that it did not start the request.
	DidNotStart
	// Ran means that the whole response has arrived.
	Ran
)

func (Started) isFact()          {}
func (Committed) isFact()        {}
func (CurrentRow) isFact()       {}
func (WriteUnconfirmed) isFact() {}
func (ReadFailed) isFact()       {}
func (TimerFired) isFact()       {}
func (SendRequested) isFact()    {}
func (SendEnded) isFact()        {}
func (SendsEnded) isFact()       {}
func (Answered) isFact()         {}

// Action is what an attempt does next. It is one of the action types of this
// package.
type Action interface{ isAction() }

// Write sets the row if its version is IfVersion. The next fact is Committed,
// CurrentRow or WriteUnconfirmed.
type Write struct {
	Row       Row
	IfVersion uint64
}

// Read reads the row. The next fact is CurrentRow or ReadFailed.
type Read struct{}

// Wait waits until a time. The next fact is TimerFired.
type Wait struct{ Until time.Time }

// Place hands the request to placement. It is returned once, when the attempt
// has become the holder of the row; then it acts as an AwaitSend.
type Place struct{ Until time.Time }

// AwaitSend waits for SendRequested, SendEnded or SendsEnded until a time, and then for TimerFired.
type AwaitSend struct{ Until time.Time }

// Send allows one sending of the request, at once.
type Send struct{}

// DenySend forbids the sending that placement wants.
type DenySend struct{}

// Answer hands an outcome to the caller. The next fact is Answered.
type Answer struct {
	Outcome model.Outcome
	// Response is set for Served only.
	Response *Response
	// KeyReused is true if the key belongs to another request.
	KeyReused bool
	Reason    string
}

// Finish ends the attempt.
type Finish struct{}

func (Write) isAction()     {}
func (Read) isAction()      {}
func (Wait) isAction()      {}
func (Place) isAction()     {}
func (AwaitSend) isAction() {}
func (Send) isAction()      {}
func (DenySend) isAction()  {}
func (Answer) isAction()    {}
func (Finish) isAction()    {}
