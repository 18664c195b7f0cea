package claim

import (
	"bytes"
	"time"

	"filberthold/model"
)

const (
	// initialBackoff is about one round trip between availability zones.
	initialBackoff = 10 * time.Millisecond
	// maxBackoff limits the reads of a waiting attempt to two per second.
	maxBackoff = 500 * time.Millisecond
	// maxUnconfirmedCalls limits the store calls without a result during a claim.
	// After that the caller gets notSent, since another host may reach the store.
	maxUnconfirmedCalls = 6
	// maxAbsentReads limits the reads that find no row in phase cleaningUp. With
	// their backoffs they cover about two seconds. A create that takes effect later
	// leaves a claimed row, for which a repeat of the key gets unknown.
	maxAbsentReads = 9
	// LateWindow is the time after the deadline in which an attempt still waits for
	// a late response and retries an unconfirmed write.
	LateWindow = 30 * time.Second
)

// firstVersion is the version of a row that has been written once. The holder
// writes its row at most once more, if the row has this version.
const firstVersion = 1

// phase is the state of the state machine of an Attempt.
type phase int

const (
	// claiming: the create of the row is in progress or unconfirmed.
	claiming phase = iota
	// polling: another attempt holds the row, which is read until it is final.
	polling
	// holding: this attempt holds the row and may send the request.
	holding
	// storingResponse: the response is being written to the row.
	storingResponse
	// storingNotRun: notRun is being written to the row.
	storingNotRun
	// cleaningUp: the caller got notSent while the create was unconfirmed. If a
	// row with the token of this attempt is found, notRun is written to it, so
	// repeats of the key get a final outcome.
	cleaningUp
	finished
)

// Attempt is one attempt of one host to run the request of a key. Values are
// immutable; Next returns the next value.
type Attempt struct {
	row   Row
	phase phase
	// otherRow is the row of another attempt, in phase polling only.
	otherRow Row
	// sendsInFlight counts the sends that have not ended.
	sendsInFlight int
	// mayHaveRun is true once a send has ended without proof that the upstream did
	// not start the request. It is never reset.
	mayHaveRun bool
	// noMoreSends is true once no further send is allowed. It is never reset.
	noMoreSends bool
	answered    bool
	// backoffs counts the backoffs; the length of the next one depends on it.
	// unconfirmedCalls counts the calls whose results were lost since the claim or
	// the last write began.
	backoffs         int
	unconfirmedCalls int
	// absentReads counts the reads that found no row in phase cleaningUp.
	absentReads int
}

// New returns an attempt to claim a row. The token must be unique to the attempt.
func New(token Token, host model.HostName, deadline time.Time, fingerprint []byte) Attempt {
	return Attempt{row: Row{
		State: Claimed, Token: token, Host: host, Deadline: deadline, Fingerprint: fingerprint,
	}}
}

// Deadline returns the time after which the attempt does not send.
func (a Attempt) Deadline() time.Time { return a.row.Deadline }

// Next applies an event that occurred at the time now. It returns the changed
// attempt and the action to perform next.
func (a Attempt) Next(event Event, now time.Time) (Attempt, Action) {
	switch a.phase {
	case claiming:
		return a.nextClaiming(event, now)
	case polling:
		return a.nextPolling(event, now)
	case holding:
		return a.nextHolding(event, now)
	case storingResponse, storingNotRun:
		return a.nextWriting(event, now)
	case cleaningUp:
		return a.nextCleaningUp(event, now)
	case finished:
	}
	return a, Finish{}
}

func (a Attempt) nextClaiming(event Event, now time.Time) (Attempt, Action) {
	switch event := event.(type) {
	case Started:
		if !now.Before(a.row.Deadline) {
			return a.answerAndFinish(Answer{Outcome: model.NotSent, Reason: "deadline passed before the claim"})
		}
		return a, Write{Row: a.row}
	case Committed:
		return a.hold()
	case CurrentRow:
		return a.confirmClaim(event, now)
	case TimerFired:
		return a, Read{}
	case WriteUnconfirmed, ReadFailed:
		a.unconfirmedCalls++
		if _, isWrite := event.(WriteUnconfirmed); isWrite && a.unconfirmedCalls == 1 {
			return a, Read{}
		}
		if a.unconfirmedCalls >= maxUnconfirmedCalls || !now.Before(a.row.Deadline) {
			return a.cleanUp("the store did not confirm the claim")
		}
		return a.backOff(now, a.row.Deadline)
	}
	return a, Read{}
}

// confirmClaim handles the current row while the create is unconfirmed.
func (a Attempt) confirmClaim(current CurrentRow, now time.Time) (Attempt, Action) {
	switch {
	case current.Version == 0 && !now.Before(a.row.Deadline):
		return a.cleanUp("deadline passed before the claim was confirmed")
	case current.Version == 0:
		// The lost create may still take effect. A second create with the same
		// token is harmless: only one of the two finds the row absent.
		return a, Write{Row: a.row}
	case current.Row.Token == a.row.Token && current.Row.State == Claimed:
		return a.hold()
	}
	return a.handleOtherRow(current.Row, now)
}

// hold makes the attempt the holder of the row.
func (a Attempt) hold() (Attempt, Action) {
	a.phase = holding
	a.backoffs = 0
	return a, Place{Until: a.row.Deadline}
}

// cleanUp answers notSent although the create may still take effect.
func (a Attempt) cleanUp(reason string) (Attempt, Action) {
	a.phase = cleaningUp
	a.answered = true
	a.backoffs = 0
	return a, Answer{Outcome: model.NotSent, Reason: reason}
}

func (a Attempt) nextCleaningUp(event Event, now time.Time) (Attempt, Action) {
	switch event := event.(type) {
	case TimerFired:
		return a, Read{}
	case CurrentRow:
		if event.Version > 0 && event.Row.Token == a.row.Token && event.Row.State == Claimed {
			return a.startWriting(storingNotRun, nil)
		}
		a.absentReads++
		if event.Version > 0 || a.absentReads >= maxAbsentReads {
			return a.finish()
		}
	default:
	}
	return a.backOffLate(now)
}

func (a Attempt) nextPolling(event Event, now time.Time) (Attempt, Action) {
	switch event := event.(type) {
	case TimerFired:
		return a, Read{}
	case CurrentRow:
		if event.Version > 0 {
			return a.handleOtherRow(event.Row, now)
		}
	default:
	}
	return a.handleOtherRow(a.otherRow, now)
}

// handleOtherRow handles the row of another attempt. The row is never taken over,
// regardless of its age: its holder may be paused just before it sends.
func (a Attempt) handleOtherRow(row Row, now time.Time) (Attempt, Action) {
	a.phase = polling
	a.otherRow = row
	switch {
	case !bytes.Equal(row.Fingerprint, a.row.Fingerprint):
		return a.answerAndFinish(Answer{Outcome: model.NotSent, KeyReused: true, Reason: "the key belongs to another request"})
	case row.State == Done:
		return a.answerAndFinish(Answer{Outcome: model.Served, Response: row.Response, Reason: "kept response"})
	case row.State == NotRun:
		return a.answerAndFinish(Answer{Outcome: model.NotRun, Reason: "the register holds notRun"})
	case !now.Before(row.Deadline):
		return a.answerAndFinish(Answer{Outcome: model.Unknown, Reason: "an earlier attempt with this key may have run"})
	case !now.Before(a.row.Deadline):
		return a.answerAndFinish(Answer{Outcome: model.Pending, Reason: "another attempt with this key is in progress"})
	}
	return a.backOff(now, earliest(a.row.Deadline, row.Deadline))
}

func (a Attempt) nextHolding(event Event, now time.Time) (Attempt, Action) {
	switch event := event.(type) {
	case SendRequested:
		if a.noMoreSends || a.mayHaveRun || a.sendsInFlight > 0 || !now.Before(a.row.Deadline) {
			return a, DenySend{}
		}
		a.sendsInFlight++
		return a, Send{}
	case SendEnded:
		return a.endSend(event, now)
	case NoMoreSends:
		a.noMoreSends = true
		a.mayHaveRun = a.mayHaveRun || event.MayHaveRun
	case TimerFired:
		a.noMoreSends = a.noMoreSends || !now.Before(a.row.Deadline)
	default:
	}
	return a.conclude(now)
}

// endSend handles the end of a send.
func (a Attempt) endSend(ended SendEnded, now time.Time) (Attempt, Action) {
	a.sendsInFlight--
	switch ended.Execution {
	case Ran:
		a, write := a.startWriting(storingResponse, ended.Response)
		if a.answered {
			return a, write
		}
		a.answered = true
		return a, Answer{Outcome: model.Served, Response: ended.Response}
	case DidNotStart:
	case MayHaveRun:
		a.mayHaveRun = true
	}
	return a.conclude(now)
}

// conclude ends the attempt once no more sends are allowed. It writes notRun only
// if every send has ended with proof that the upstream did not start the request.
func (a Attempt) conclude(now time.Time) (Attempt, Action) {
	switch {
	case !a.noMoreSends:
		return a, AwaitSend{Until: a.row.Deadline}
	case a.sendsInFlight == 0 && !a.mayHaveRun:
		return a.startWriting(storingNotRun, nil)
	case !a.answered:
		a.answered = true
		return a, Answer{Outcome: model.Unknown, Reason: "the request may have run"}
	case a.sendsInFlight > 0 && now.Before(a.lateDeadline()):
		return a, AwaitSend{Until: a.lateDeadline()}
	}
	return a.finish()
}

// startWriting returns the write of the final state to the row.
func (a Attempt) startWriting(to phase, response *Response) (Attempt, Action) {
	a.phase = to
	a.backoffs, a.unconfirmedCalls = 0, 0
	a.row.State = NotRun
	if to == storingResponse {
		a.row.State = Done
		a.row.Response = response
	}
	return a, Write{Row: a.row, IfVersion: firstVersion}
}

func (a Attempt) nextWriting(event Event, now time.Time) (Attempt, Action) {
	switch event := event.(type) {
	case Answered:
		if a.phase == storingNotRun {
			return a.backOffLate(now)
		}
		return a, Write{Row: a.row, IfVersion: firstVersion}
	case Committed:
		return a.finishWrite()
	case CurrentRow:
		switch {
		case event.Version > 0 && event.Row.Token == a.row.Token && event.Row.State == a.row.State:
			return a.finishWrite()
		case event.Version == firstVersion && event.Row.Token == a.row.Token && now.Before(a.lateDeadline()):
			return a, Write{Row: a.row, IfVersion: firstVersion}
		}
		return a.retryWrite("the register row has changed", now)
	case TimerFired:
		return a, Read{}
	case WriteUnconfirmed, ReadFailed:
		// The row is read at once only after the first lost write. A store that
		// answers reads and loses every write must not be called without a pause.
		a.unconfirmedCalls++
		if _, isWrite := event.(WriteUnconfirmed); isWrite && a.unconfirmedCalls == 1 {
			return a, Read{}
		}
		return a.retryWrite("the store did not confirm notRun", now)
	}
	return a, Read{}
}

// finishWrite ends the attempt after its last write has taken effect.
func (a Attempt) finishWrite() (Attempt, Action) {
	if a.phase == storingNotRun && !a.answered {
		return a.answerAndFinish(Answer{Outcome: model.NotRun, Reason: "no endpoint started the request"})
	}
	return a.finish()
}

// retryWrite answers a caller that waits for notRun, and then backs off before the
// row is read again.
func (a Attempt) retryWrite(reason string, now time.Time) (Attempt, Action) {
	if !a.answered {
		a.answered = true
		return a, Answer{Outcome: model.NotSent, Reason: reason}
	}
	return a.backOffLate(now)
}

// backOffLate backs off until the late deadline, and then ends the attempt.
func (a Attempt) backOffLate(now time.Time) (Attempt, Action) {
	if !now.Before(a.lateDeadline()) {
		return a.finish()
	}
	return a.backOff(now, a.lateDeadline())
}

// backOff returns a Wait for an exponential backoff, until limit at the latest.
func (a Attempt) backOff(now, limit time.Time) (Attempt, Action) {
	backoff := min(initialBackoff<<min(a.backoffs, 16), maxBackoff)
	a.backoffs++
	return a, Wait{Until: earliest(now.Add(backoff), limit)}
}

// lateDeadline returns when the attempt ends even if it has no final result.
func (a Attempt) lateDeadline() time.Time { return a.row.Deadline.Add(LateWindow) }

func (a Attempt) finish() (Attempt, Action) {
	a.phase = finished
	return a, Finish{}
}

// answerAndFinish answers the caller. The event Answered then ends the attempt.
func (a Attempt) answerAndFinish(answer Answer) (Attempt, Action) {
	a.phase = finished
	a.answered = true
	return a, answer
}

func earliest(first, second time.Time) time.Time {
	if second.Before(first) {
		return second
	}
	return first
}
