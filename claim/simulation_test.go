package claim

import (
	"fmt"
	"slices"
	"time"

	"filberthold/model"
)

// tick is the time step of the model. Deadlines lie on ticks.
const tick = 20 * time.Second

// budget bounds the faults and the freedom of a world. Pauses need no budget:
// every pending action may be delayed past any other step.
type budget struct {
	crashes, losses, sends int
	ticks                  int
}

// flight is a write or a sending that has left its host.
type flight struct {
	host  int
	write Write
	// deaf is true if the host no longer waits for the answer.
	deaf bool
}

type machine struct {
	attempt Attempt
	action  Action
	dead    bool
	told    model.Outcome
	ran     int
}

// world is a store, an upstream that checks no deadline, and some hosts that
// were given the same key. It models no I/O: a step is one atomic event.
type world struct {
	left    budget
	now     int
	row     Row
	version uint64
	hosts   []machine
	// writes are lost to their hosts but may still reach the store.
	writes []flight
	// sends are on their way to the upstream.
	sends []flight
	ran   int
	// excused is true after a fault that may leave the row claimed for ever.
	// A sending that outlasts LateWindow is such a fault.
	excused bool
}

func newWorld(left budget, hosts int) world {
	w := world{left: left}
	for i := range hosts {
		attempt := New(Token(fmt.Sprint("token-", i)), "host", clock(i+1), []byte("same"))
		w.hosts = append(w.hosts, machine{attempt: attempt})
	}
	return w
}

func clock(now int) time.Time { return time.Unix(0, 0).UTC().Add(time.Duration(now) * tick) }

func (w world) clone() world {
	w.hosts = slices.Clone(w.hosts)
	w.writes = slices.Clone(w.writes)
	w.sends = slices.Clone(w.sends)
	return w
}

// learn gives a fact to a host.
func (w *world) learn(i int, fact Event) {
	host := &w.hosts[i]
	host.attempt, host.action = host.attempt.Next(fact, clock(w.now))
	host.attempt.waits = 0
	if host.attempt.phase == finished && host.attempt.open > 0 {
		w.excused = true
	}
}

// apply lets a write reach the store.
func (w *world) apply(write Write) Event {
	if write.IfVersion != w.version {
		return CurrentRow{Row: w.row, Version: w.version}
	}
	w.row, w.version = write.Row, w.version+1
	return Committed{}
}

// steps returns the worlds that can follow.
func (w world) steps() []world {
	var next []world
	step := func(change func(*world)) {
		successor := w.clone()
		change(&successor)
		next = append(next, successor)
	}
	if w.left.ticks > 0 {
		step(func(w *world) { w.left.ticks--; w.now++ })
	}
	for i, stray := range w.writes {
		step(func(w *world) { w.writes = slices.Delete(w.writes, i, i+1); w.apply(stray.write) })
	}
	for i := range w.sends {
		w.upstreamSteps(i, step)
	}
	for i, host := range w.hosts {
		if _, isFinished := host.action.(Finish); host.dead || isFinished {
			continue
		}
		if w.left.crashes > 0 {
			step(func(w *world) { w.left.crashes--; w.hosts[i].dead = true; w.excused = true })
		}
		w.hostSteps(i, host, step)
	}
	return next
}

func (w world) upstreamSteps(i int, step func(func(*world))) {
	sent := w.sends[i]
	end := func(ran int, evidence Execution) func(*world) {
		return func(w *world) {
			w.sends = slices.Delete(w.sends, i, i+1)
			w.ran += ran
			w.hosts[sent.host].ran += ran
			if host := w.hosts[sent.host]; !host.dead && !sent.deaf {
				w.learn(sent.host, SendEnded{Execution: evidence, Response: &Response{Status: 200}})
			}
		}
	}
	step(end(1, Ran))
	step(end(0, DidNotStart))
	if w.left.losses == 0 || sent.deaf {
		return
	}
	lose := func(w *world) { w.left.losses--; w.excused = true }
	step(func(w *world) { lose(w); end(1, MayHaveRun)(w) })
	step(func(w *world) {
		lose(w)
		w.sends[i].deaf = true
		if !w.hosts[sent.host].dead {
			w.learn(sent.host, SendEnded{Execution: MayHaveRun})
		}
	})
}

func (w world) hostSteps(i int, host machine, step func(func(*world))) {
	canLose := w.left.losses > 0
	switch action := host.action.(type) {
	case nil:
		step(func(w *world) { w.learn(i, Started{}) })
	case Write:
		step(func(w *world) { w.learn(i, w.apply(action)) })
		if canLose {
			step(func(w *world) { w.left.losses--; w.apply(action); w.learn(i, WriteUnconfirmed{}) })
			step(func(w *world) {
				w.left.losses--
				w.excused = true
				w.writes = append(w.writes, flight{host: i, write: action})
				w.learn(i, WriteUnconfirmed{})
			})
		}
	case Read:
		step(func(w *world) { w.learn(i, CurrentRow{Row: w.row, Version: w.version}) })
		if canLose {
			step(func(w *world) { w.left.losses--; w.excused = true; w.learn(i, ReadFailed{}) })
		}
	case Wait:
		step(func(w *world) { w.learn(i, TimerFired{}) })
	case Place:
		w.placementSteps(i, host, action.Until, step)
	case AwaitSend:
		w.placementSteps(i, host, action.Until, step)
	case Send:
		step(func(w *world) {
			w.sends = append(w.sends, flight{host: i})
			w.hosts[i].action = AwaitSend{Until: host.attempt.Deadline()}
		})
	case DenySend:
		step(func(w *world) { w.learn(i, SendsEnded{}) })
	case Answer:
		step(func(w *world) { w.hosts[i].told = action.Outcome; w.learn(i, Answered{}) })
	case Finish:
	}
}

// placementSteps lets placement ask for a sending or give up at any moment.
// Placement never claims that a request may have run, so that the attempt has
// to know it by itself.
func (w world) placementSteps(i int, host machine, until time.Time, step func(func(*world))) {
	if w.left.sends > 0 && !host.attempt.gaveUp && host.attempt.open == 0 {
		step(func(w *world) { w.left.sends--; w.learn(i, SendRequested{}) })
	}
	if !host.attempt.gaveUp {
		step(func(w *world) { w.learn(i, SendsEnded{}) })
	}
	if !clock(w.now).Before(until) {
		step(func(w *world) { w.learn(i, TimerFired{}) })
	}
}

// fault returns the property that a world breaks, or "".
func (w world) fault(final bool) string {
	for i, host := range w.hosts {
		switch {
		case host.told == model.NotRun && w.ran > 0:
			return fmt.Sprintf("host %d reported notRun, executions %d", i, w.ran)
		case host.told == model.NotRun && w.row.State != NotRun:
			return fmt.Sprintf("host %d reported notRun, row holds %q", i, w.row.State)
		case host.told == model.NotSent && host.ran > 0:
			return fmt.Sprintf("host %d reported notSent, its executions %d", i, host.ran)
		case host.told == model.Served && w.ran != 1:
			return fmt.Sprintf("host %d reported served, executions %d", i, w.ran)
		}
	}
	switch {
	case w.ran > 1:
		return fmt.Sprintf("executions %d, want at most 1", w.ran)
	case w.row.State == NotRun && w.ran > 0:
		return "row holds notRun after an execution"
	case w.row.State == Done && w.ran == 0:
		return "row holds done without an execution"
	case final && w.row.State == Claimed && !w.excused:
		return "row stays claimed without a crash or a loss of evidence"
	}
	return ""
}
