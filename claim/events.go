package claim

import (
	"time"

	"filberthold/model"
)

// Event is an input of Attempt.Next. It is one of the event types of this package.
type Event interface{ isEvent() }

// Started starts an attempt. It is the first event.
type Started struct{}

// Committed reports that the last write of the attempt took effect.
type Committed struct{}

// CurrentRow reports the current row, from a read or a failed compare-and-swap.
// Version 0 means that there is no row.
type CurrentRow struct {
	Row     Row
	Version uint64
}

// WriteUnconfirmed reports that the result of the last write is unknown. The write
// may have taken effect, may take effect later, or never.
type WriteUnconfirmed struct{}

// ReadFailed reports that the row could not be read.
type ReadFailed struct{}

// TimerFired reports that the time of a Wait, a Place or an AwaitSend has come.
type TimerFired struct{}

// SendRequested reports that placement wants to send the request to an endpoint.
type SendRequested struct{}

// SendEnded reports the end of one send. Response is set for Ran only.
type SendEnded struct {
	Execution Execution
	Response  *Response
}

// NoMoreSends reports that placement does not send the request to another endpoint.
// A send may still be in flight. MayHaveRun is true if placement reports that an
// earlier send may have run.
type NoMoreSends struct{ MayHaveRun bool }

// Answered reports that an Answer has been returned to the caller.
type Answered struct{}

// Execution states whether the upstream executed the request of one send.
type Execution int

const (
	// MayHaveRun applies to every error that does not prove otherwise.
	MayHaveRun Execution = iota
	// DidNotStart means that no byte was written, or that the upstream reported
	// that it did not start the request.
	DidNotStart
	// Ran means that the complete response has arrived.
	Ran
)

func (Started) isEvent()          {}
func (Committed) isEvent()        {}
func (CurrentRow) isEvent()       {}
func (WriteUnconfirmed) isEvent() {}
func (ReadFailed) isEvent()       {}
func (TimerFired) isEvent()       {}
func (SendRequested) isEvent()    {}
func (SendEnded) isEvent()        {}
func (NoMoreSends) isEvent()      {}
func (Answered) isEvent()         {}

// Action is an output of Attempt.Next, for the caller to perform. It is one of the
// action types of this package.
type Action interface{ isAction() }

// Write sets the row if its version is IfVersion. The next event is Committed,
// CurrentRow or WriteUnconfirmed.
type Write struct {
	Row       Row
	IfVersion uint64
}

// Read reads the row. The next event is CurrentRow or ReadFailed.
type Read struct{}

// Wait waits until a time. The next event is TimerFired.
type Wait struct{ Until time.Time }

// Place passes the request to placement, and then waits like an AwaitSend. It is
// returned once, when the attempt starts to hold the row.
type Place struct{ Until time.Time }

// AwaitSend waits for SendRequested, SendEnded or NoMoreSends until a time. At that
// time the next event is TimerFired.
type AwaitSend struct{ Until time.Time }

// Send allows placement to send the request once, immediately.
type Send struct{}

// DenySend denies the send that placement has requested.
type DenySend struct{}

// Answer returns an outcome to the caller. The next event is Answered.
type Answer struct {
	Outcome model.Outcome
	// Response is set for Served only.
	Response *Response
	// KeyReused is true if the key was first used for another request.
	KeyReused bool
	Reason    string
}

// Finish ends the attempt. No event follows.
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
