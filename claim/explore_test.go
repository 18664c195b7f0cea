package claim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// key returns a text that identifies a state. It leaves out the backoff counter.
func (s modelState) key() string {
	text := fmt.Appendf(nil, "%v %d %s %s %d %d %v|", s.remaining, s.now, s.row.State, s.row.Token, s.version, s.executions, s.mayStayClaimed)
	for _, h := range s.hosts {
		a := h.attempt
		text = fmt.Appendf(text, "%d %d %t %t %t %d %d %s %s %T %v %s %d|", a.phase, a.sendsInFlight, a.mayHaveRun, a.noMoreSends,
			a.answered, a.unconfirmedCalls, a.absentReads, a.row.State, a.otherRow.State, h.action, h.hasCrashed, h.outcome, h.executions)
		switch action := h.action.(type) {
		case Write:
			text = fmt.Appendf(text, "%s %d|", action.Row.State, action.IfVersion)
		case Answer:
			text = fmt.Appendf(text, "%s|", action.Outcome)
		}
	}
	for _, m := range s.writes {
		text = fmt.Appendf(text, "w%d%s%d|", m.host, m.write.Row.State, m.write.IfVersion)
	}
	for _, m := range s.sends {
		text = fmt.Appendf(text, "s%d%t|", m.host, m.isIgnored)
	}
	return string(text)
}

// Guards against a second execution, a false notRun, notSent or served, and a row
// that stays claimed without a fault. It checks every interleaving of two hosts with
// the same key, one crash, one lost response and any pauses.
func TestInvariantsHoldInEveryInterleavingOfTwoHosts(t *testing.T) {
	start := newModelState(limits{crashes: 1, losses: 1, sends: 2, ticks: 3}, 2)
	visited := map[string]bool{start.key(): true}
	states, pending := 0, []modelState{start}
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		states++
		next := state.successors()
		assert.Equal(t, state.violation(len(next) == 0), "", "in state %d: %s", states, state.key())
		for _, successor := range next {
			if key := successor.key(); !visited[key] {
				visited[key] = true
				pending = append(pending, successor)
			}
		}
	}
	t.Logf("%d states", states)
}

// Guards against the same failures with several faults: random sessions have up to
// four hosts, three crashes, four lost responses and six sends.
func TestInvariantsHoldWithManyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := newModelState(limits{
			crashes: rapid.IntRange(0, 3).Draw(t, "crashes"),
			losses:  rapid.IntRange(0, 4).Draw(t, "losses"),
			sends:   6,
			ticks:   6,
		}, rapid.IntRange(1, 4).Draw(t, "hosts"))
		for range 200 {
			next := state.successors()
			if violation := state.violation(len(next) == 0); violation != "" {
				t.Fatalf("%s: %s", violation, state.key())
			}
			if len(next) == 0 {
				return
			}
			state = next[rapid.IntRange(0, len(next)-1).Draw(t, "step")]
		}
	})
}
