package claim

import (
	"fmt"
	"slices"
	"time"

	"filberthold/model"
)

// tick is the time step of the model. Deadlines are multiples of it.
const tick = 20 * time.Second

// limits bounds the faults, sends and ticks from a state on. Pauses need no limit:
// every pending action may be delayed past any other step.
type limits struct {
	crashes, losses, sends int
	ticks                  int
}

// message is a write or a send that has left its host.
type message struct {
	host  int
	write Write
	// isIgnored is true if the host no longer waits for the response.
	isIgnored bool
}

// hostState is the state of a host. executions counts the executions of its sends.
type hostState struct {
	attempt    Attempt
	action     Action
	hasCrashed bool
	outcome    model.Outcome
	executions int
}

// modelState is the state of a model: a store, an upstream that does not check
// deadlines, and hosts that received the same key. A step is one atomic event.
type modelState struct {
	remaining limits
	now       int
	row       Row
	version   uint64
	hosts     []hostState
	// writes holds unconfirmed writes that may still take effect in the store.
	writes []message
	// sends holds the sends that the upstream has not handled yet.
	sends      []message
	executions int
	// mayStayClaimed is true after a fault that may leave the row claimed for ever.
	// A send that lasts longer than LateWindow is such a fault.
	mayStayClaimed bool
}

func newModelState(remaining limits, hosts int) modelState {
	s := modelState{remaining: remaining}
	for i := range hosts {
		attempt := New(Token(fmt.Sprint("token-", i)), "host", clock(i+1), []byte("same"))
		s.hosts = append(s.hosts, hostState{attempt: attempt})
	}
	return s
}

func clock(now int) time.Time { return time.Unix(0, 0).UTC().Add(time.Duration(now) * tick) }

func (s modelState) clone() modelState {
	s.hosts = slices.Clone(s.hosts)
	s.writes = slices.Clone(s.writes)
	s.sends = slices.Clone(s.sends)
	return s
}

// applyEvent applies an event to the attempt of a host.
func (s *modelState) applyEvent(i int, event Event) {
	host := &s.hosts[i]
	host.attempt, host.action = host.attempt.Next(event, clock(s.now))
	host.attempt.backoffs = 0
	if host.attempt.phase == finished && host.attempt.sendsInFlight > 0 {
		s.mayStayClaimed = true
	}
}

// applyWrite applies a write to the store and returns the resulting event.
func (s *modelState) applyWrite(write Write) Event {
	if write.IfVersion != s.version {
		return CurrentRow{Row: s.row, Version: s.version}
	}
	s.row, s.version = write.Row, s.version+1
	return Committed{}
}

// successors returns the states that can follow.
func (s modelState) successors() []modelState {
	var next []modelState
	step := func(change func(*modelState)) {
		successor := s.clone()
		change(&successor)
		next = append(next, successor)
	}
	if s.remaining.ticks > 0 {
		step(func(s *modelState) { s.remaining.ticks--; s.now++ })
	}
	for i, delayed := range s.writes {
		step(func(s *modelState) { s.writes = slices.Delete(s.writes, i, i+1); s.applyWrite(delayed.write) })
	}
	for i := range s.sends {
		s.upstreamSteps(i, step)
	}
	for i, host := range s.hosts {
		if _, isFinished := host.action.(Finish); host.hasCrashed || isFinished {
			continue
		}
		if s.remaining.crashes > 0 {
			step(func(s *modelState) { s.remaining.crashes--; s.hosts[i].hasCrashed = true; s.mayStayClaimed = true })
		}
		s.hostSteps(i, host, step)
	}
	return next
}

// upstreamSteps adds the ways in which the upstream and the network may handle a
// send.
func (s modelState) upstreamSteps(i int, step func(func(*modelState))) {
	sent := s.sends[i]
	end := func(executions int, execution Execution) func(*modelState) {
		return func(s *modelState) {
			s.sends = slices.Delete(s.sends, i, i+1)
			s.executions += executions
			s.hosts[sent.host].executions += executions
			if host := s.hosts[sent.host]; !host.hasCrashed && !sent.isIgnored {
				s.applyEvent(sent.host, SendEnded{Execution: execution, Response: &Response{Status: 200}})
			}
		}
	}
	step(end(1, Ran))
	step(end(0, DidNotStart))
	if s.remaining.losses == 0 || sent.isIgnored {
		return
	}
	lose := func(s *modelState) { s.remaining.losses--; s.mayStayClaimed = true }
	step(func(s *modelState) { lose(s); end(1, MayHaveRun)(s) })
	step(func(s *modelState) {
		lose(s)
		s.sends[i].isIgnored = true
		if !s.hosts[sent.host].hasCrashed {
			s.applyEvent(sent.host, SendEnded{Execution: MayHaveRun})
		}
	})
}

// hostSteps adds the ways in which the action of a host may end.
func (s modelState) hostSteps(i int, host hostState, step func(func(*modelState))) {
	canLose := s.remaining.losses > 0
	switch action := host.action.(type) {
	case nil:
		step(func(s *modelState) { s.applyEvent(i, Started{}) })
	case Write:
		step(func(s *modelState) { s.applyEvent(i, s.applyWrite(action)) })
		if canLose {
			step(func(s *modelState) { s.remaining.losses--; s.applyWrite(action); s.applyEvent(i, WriteUnconfirmed{}) })
			step(func(s *modelState) {
				s.remaining.losses--
				s.mayStayClaimed = true
				s.writes = append(s.writes, message{host: i, write: action})
				s.applyEvent(i, WriteUnconfirmed{})
			})
		}
	case Read:
		step(func(s *modelState) { s.applyEvent(i, CurrentRow{Row: s.row, Version: s.version}) })
		if canLose {
			step(func(s *modelState) { s.remaining.losses--; s.mayStayClaimed = true; s.applyEvent(i, ReadFailed{}) })
		}
	case Wait:
		step(func(s *modelState) { s.applyEvent(i, TimerFired{}) })
	case Place:
		s.placementSteps(i, host, action.Until, step)
	case AwaitSend:
		s.placementSteps(i, host, action.Until, step)
	case Send:
		step(func(s *modelState) {
			s.sends = append(s.sends, message{host: i})
			s.hosts[i].action = AwaitSend{Until: host.attempt.Deadline()}
		})
	case DenySend:
		step(func(s *modelState) { s.applyEvent(i, NoMoreSends{}) })
	case Answer:
		step(func(s *modelState) { s.hosts[i].outcome = action.Outcome; s.applyEvent(i, Answered{}) })
	case Finish:
	}
}

// placementSteps lets placement request a send or end the sends at any moment.
// Placement never reports that a request may have run, so the attempt has to derive
// that itself.
func (s modelState) placementSteps(i int, host hostState, until time.Time, step func(func(*modelState))) {
	if s.remaining.sends > 0 && !host.attempt.noMoreSends && host.attempt.sendsInFlight == 0 {
		step(func(s *modelState) { s.remaining.sends--; s.applyEvent(i, SendRequested{}) })
	}
	if !host.attempt.noMoreSends {
		step(func(s *modelState) { s.applyEvent(i, NoMoreSends{}) })
	}
	if !clock(s.now).Before(until) {
		step(func(s *modelState) { s.applyEvent(i, TimerFired{}) })
	}
}

// violation returns the invariant that a state violates, or "".
func (s modelState) violation(isFinal bool) string {
	for i, host := range s.hosts {
		switch {
		case host.outcome == model.NotRun && s.executions > 0:
			return fmt.Sprintf("host %d reported notRun, executions %d", i, s.executions)
		case host.outcome == model.NotRun && s.row.State != NotRun:
			return fmt.Sprintf("host %d reported notRun, row holds %q", i, s.row.State)
		case host.outcome == model.NotSent && host.executions > 0:
			return fmt.Sprintf("host %d reported notSent, its executions %d", i, host.executions)
		case host.outcome == model.Served && s.executions != 1:
			return fmt.Sprintf("host %d reported served, executions %d", i, s.executions)
		}
	}
	switch {
	case s.executions > 1:
		return fmt.Sprintf("executions %d, want at most 1", s.executions)
	case s.row.State == NotRun && s.executions > 0:
		return "row holds notRun after an execution"
	case s.row.State == Done && s.executions == 0:
		return "row holds done without an execution"
	case isFinal && s.row.State == Claimed && !s.mayStayClaimed:
		return "row stays claimed without a crash or a lost message"
	}
	return ""
}
