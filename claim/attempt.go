package claim

import (
	"bytes"
	"time"

	"filberthold/model"
)

const (
	// firstBackoff is about one round trip between availability zones.
	firstBackoff = 10 * time.Millisecond
	// longestBackoff bounds the reads of a waiting attempt to two a second.
	longestBackoff = 500 * time.Millisecond
	// maxUnconfirmed bounds the lost calls of a claim before the caller is told
	// notSent; another host may reach the store.
	maxUnconfirmed = 6
	// maxAbsent bounds the reads that find no row after an unconfirmed claim was
	// given up. With their backoffs they cover about two seconds; a create that
	// takes effect later leaves a row that reads as unknown.
	maxAbsent = 9
	// LateWindow is the time after the deadline in which a late response is
	// awaited and an unconfirmed write is settled.
	LateWindow = 30 * time.Second
)

// firstVersion is the version of a row that has been written once. A holder
// writes its row one more time at most, on this version.
const firstVersion = 1

type phase int

const (
	// claiming: the create is under way or unconfirmed.
	claiming phase = iota
	// watching: another attempt holds the row.
	watching
	// holding: this attempt may send.
	holding
	// keeping: the response is being written to the row.
	keeping
	// refusing: notRun is being written to the row.
	refusing
	// releasing: the caller has been told notSent while the create was
	// unconfirmed. If the row turns up with the own token it becomes notRun, so
	// that repeats of the key are told a final outcome.
	releasing
	finished
)

// Attempt is one attempt of one host to run a key. Values are immutable; Next
// returns the successor.
type Attempt struct {
	row   Row
	phase phase
	// seen is the row of another attempt, in phase watching only.
	seen Row
	// open counts the sendings that have not ended.
	open int
	// mayHaveRun is true once a sending ended without proof that it did not
	// start. It is never reset.
	mayHaveRun bool
	// gaveUp is true once no further sending is allowed. It is never reset.
	gaveUp   bool
	answered bool
	// waits counts the backoffs, and unconfirmed the calls whose results were
	// lost since the claim or the last write began.
	waits       int
	unconfirmed int
	// absent counts the reads that found no row in phase releasing.
	absent int
}

// New returns an attempt to claim a row. The token must be unique to it.
func New(token Token, host model.HostName, deadline time.Time, fingerprint []byte) Attempt {
	return Attempt{row: Row{
		State: Claimed, Token: token, Host: host, Deadline: deadline, Fingerprint: fingerprint,
	}}
}

// Deadline returns the time after which the attempt does not send.
func (a Attempt) Deadline() time.Time { return a.row.Deadline }

// Next takes a fact and the time, and returns the attempt that knows the fact
// and its next action.
func (a Attempt) Next(fact Event, now time.Time) (Attempt, Action) {
	switch a.phase {
	case claiming:
		return a.nextClaiming(fact, now)
	case watching:
		return a.nextWatching(fact, now)
	case holding:
		return a.nextHolding(fact, now)
	case keeping, refusing:
		return a.nextWriting(fact, now)
	case releasing:
		return a.nextReleasing(fact, now)
	case finished:
	}
	return a, Finish{}
}

func (a Attempt) nextClaiming(fact Event, now time.Time) (Attempt, Action) {
	switch fact := fact.(type) {
	case Started:
		if !now.Before(a.row.Deadline) {
			return a.finishWith(Answer{Outcome: model.NotSent, Reason: "deadline passed before the claim"})
		}
		return a, Write{Row: a.row}
	case Committed:
		return a.hold()
	case CurrentRow:
		return a.settleClaim(fact, now)
	case TimerFired:
		return a, Read{}
	case WriteUnconfirmed, ReadFailed:
		a.unconfirmed++
		if _, isWrite := fact.(WriteUnconfirmed); isWrite && a.unconfirmed == 1 {
			return a, Read{}
		}
		if a.unconfirmed >= maxUnconfirmed || !now.Before(a.row.Deadline) {
			return a.release("the store did not confirm the claim")
		}
		return a.backOff(now, a.row.Deadline)
	}
	return a, Read{}
}

// settleClaim handles the present row while the create is unconfirmed.
func (a Attempt) settleClaim(found CurrentRow, now time.Time) (Attempt, Action) {
	switch {
	case found.Version == 0 && !now.Before(a.row.Deadline):
		return a.release("deadline passed before the claim was confirmed")
	case found.Version == 0:
		// The lost create may still take effect. A second create with the same
		// token is harmless: only one of the two finds the row absent.
		return a, Write{Row: a.row}
	case found.Row.Token == a.row.Token && found.Row.State == Claimed:
		return a.hold()
	}
	return a.watch(found.Row, now)
}

func (a Attempt) hold() (Attempt, Action) {
	a.phase = holding
	a.waits = 0
	return a, Place{Until: a.row.Deadline}
}

func (a Attempt) release(reason string) (Attempt, Action) {
	a.phase = releasing
	a.answered = true
	a.waits = 0
	return a, Answer{Outcome: model.NotSent, Reason: reason}
}

func (a Attempt) nextReleasing(fact Event, now time.Time) (Attempt, Action) {
	switch fact := fact.(type) {
	case TimerFired:
		return a, Read{}
	case CurrentRow:
		if fact.Version > 0 && fact.Row.Token == a.row.Token && fact.Row.State == Claimed {
			return a.startWriting(refusing, nil)
		}
		a.absent++
		if fact.Version > 0 || a.absent >= maxAbsent {
			return a.finish()
		}
	default:
	}
	return a.backOffLate(now)
}

func (a Attempt) nextWatching(fact Event, now time.Time) (Attempt, Action) {
	switch fact := fact.(type) {
	case TimerFired:
		return a, Read{}
	case CurrentRow:
		if fact.Version > 0 {
			return a.watch(fact.Row, now)
		}
	default:
	}
	return a.watch(a.seen, now)
}

// watch handles the row of another attempt. The row is never taken over,
// however old it is: its holder may be paused just before sending.
func (a Attempt) watch(row Row, now time.Time) (Attempt, Action) {
	a.phase = watching
	a.seen = row
	switch {
	case !bytes.Equal(row.Fingerprint, a.row.Fingerprint):
		return a.finishWith(Answer{Outcome: model.NotSent, KeyReused: true, Reason: "the key belongs to another request"})
	case row.State == Done:
		return a.finishWith(Answer{Outcome: model.Served, Response: row.Response, Reason: "kept response"})
	case row.State == NotRun:
		return a.finishWith(Answer{Outcome: model.NotRun, Reason: "the register holds notRun"})
	case !now.Before(row.Deadline):
		return a.finishWith(Answer{Outcome: model.Unknown, Reason: "an earlier attempt with this key may have run"})
	case !now.Before(a.row.Deadline):
		return a.finishWith(Answer{Outcome: model.Pending, Reason: "another attempt with this key is in progress"})
	}
	return a.backOff(now, earliest(a.row.Deadline, row.Deadline))
}

func (a Attempt) nextHolding(fact Event, now time.Time) (Attempt, Action) {
	switch fact := fact.(type) {
	case SendRequested:
		if a.gaveUp || a.mayHaveRun || a.open > 0 || !now.Before(a.row.Deadline) {
			return a, DenySend{}
		}
		a.open++
		return a, Send{}
	case SendEnded:
		return a.end(fact, now)
	case SendsEnded:
		a.gaveUp = true
		a.mayHaveRun = a.mayHaveRun || fact.MayHaveRun
	case TimerFired:
		a.gaveUp = a.gaveUp || !now.Before(a.row.Deadline)
	default:
	}
	return a.conclude(now)
}

func (a Attempt) end(ended SendEnded, now time.Time) (Attempt, Action) {
	a.open--
	switch ended.Execution {
	case Ran:
		a, write := a.startWriting(keeping, ended.Response)
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

// conclude ends the attempt once it has been given up. It writes notRun only
// if every sending has ended with proof that it did not start.
func (a Attempt) conclude(now time.Time) (Attempt, Action) {
	switch {
	case !a.gaveUp:
		return a, AwaitSend{Until: a.row.Deadline}
	case a.open == 0 && !a.mayHaveRun:
		return a.startWriting(refusing, nil)
	case !a.answered:
		a.answered = true
		return a, Answer{Outcome: model.Unknown, Reason: "the request may have run"}
	case a.open > 0 && now.Before(a.lateLimit()):
		return a, AwaitSend{Until: a.lateLimit()}
	}
	return a.finish()
}

// startWriting moves the row on. The returned action is the write.
func (a Attempt) startWriting(to phase, response *Response) (Attempt, Action) {
	a.phase = to
	a.waits, a.unconfirmed = 0, 0
	a.row.State = NotRun
	if to == keeping {
		a.row.State = Done
		a.row.Response = response
	}
	return a, Write{Row: a.row, IfVersion: firstVersion}
}

func (a Attempt) nextWriting(fact Event, now time.Time) (Attempt, Action) {
	switch fact := fact.(type) {
	case Answered:
		if a.phase == refusing {
			return a.backOffLate(now)
		}
		return a, Write{Row: a.row, IfVersion: firstVersion}
	case Committed:
		return a.settled()
	case CurrentRow:
		switch {
		case fact.Version > 0 && fact.Row.Token == a.row.Token && fact.Row.State == a.row.State:
			return a.settled()
		case fact.Version == firstVersion && fact.Row.Token == a.row.Token && now.Before(a.lateLimit()):
			return a, Write{Row: a.row, IfVersion: firstVersion}
		}
		return a.unsettled("the register row has changed", now)
	case TimerFired:
		return a, Read{}
	case WriteUnconfirmed, ReadFailed:
		// Only the first loss is settled at once. A store that answers reads and
		// loses every write must not be called without a pause.
		a.unconfirmed++
		if _, isWrite := fact.(WriteUnconfirmed); isWrite && a.unconfirmed == 1 {
			return a, Read{}
		}
		return a.unsettled("the store did not confirm notRun", now)
	}
	return a, Read{}
}

// settled ends the attempt after its last write took effect.
func (a Attempt) settled() (Attempt, Action) {
	if a.phase == refusing && !a.answered {
		return a.finishWith(Answer{Outcome: model.NotRun, Reason: "no endpoint started the request"})
	}
	return a.finish()
}

// unsettled answers a caller that waits for notRun, and tries again later.
func (a Attempt) unsettled(reason string, now time.Time) (Attempt, Action) {
	if !a.answered {
		a.answered = true
		return a, Answer{Outcome: model.NotSent, Reason: reason}
	}
	return a.backOffLate(now)
}

func (a Attempt) backOffLate(now time.Time) (Attempt, Action) {
	if !now.Before(a.lateLimit()) {
		return a.finish()
	}
	return a.backOff(now, a.lateLimit())
}

func (a Attempt) backOff(now, limit time.Time) (Attempt, Action) {
	backoff := min(firstBackoff<<min(a.waits, 16), longestBackoff)
	a.waits++
	return a, Wait{Until: earliest(now.Add(backoff), limit)}
}

func (a Attempt) lateLimit() time.Time { return a.row.Deadline.Add(LateWindow) }

func (a Attempt) finish() (Attempt, Action) {
	a.phase = finished
	return a, Finish{}
}

// finishWith answers the caller; the fact Answered then ends the attempt.
func (a Attempt) finishWith(answer Answer) (Attempt, Action) {
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
