package claim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// key is what tells two worlds apart; it leaves out the backoff counter.
func (w world) key() string {
	text := fmt.Appendf(nil, "%v %d %s %s %d %d %v|", w.left, w.now, w.row.State, w.row.Token, w.version, w.ran, w.excused)
	for _, h := range w.hosts {
		a := h.attempt
		text = fmt.Appendf(text, "%d %d %t %t %t %d %d %s %s %T %v %s %d|", a.phase, a.open, a.mayHaveRun, a.gaveUp,
			a.answered, a.unconfirmed, a.absent, a.row.State, a.seen.State, h.action, h.dead, h.told, h.ran)
		switch action := h.action.(type) {
		case Write:
			text = fmt.Appendf(text, "%s %d|", action.Row.State, action.IfVersion)
		case Answer:
			text = fmt.Appendf(text, "%s|", action.Outcome)
		}
	}
	for _, f := range w.writes {
		text = fmt.Appendf(text, "w%d%s%d|", f.host, f.write.Row.State, f.write.IfVersion)
	}
	for _, f := range w.sends {
		text = fmt.Appendf(text, "s%d%t|", f.host, f.deaf)
	}
	return string(text)
}

// Guards against a second execution, a false notRun, notSent or served, and a
// row that stays claimed for no reason, in every interleaving of two hosts
// with one key, a crash, a lost answer and pauses anywhere.
func TestEveryInterleavingOfTwoHosts(t *testing.T) {
	start := newWorld(budget{crashes: 1, losses: 1, sends: 2, ticks: 3}, 2)
	visited := map[string]bool{start.key(): true}
	states, pending := 0, []world{start}
	for len(pending) > 0 {
		w := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		states++
		next := w.steps()
		assert.Equal(t, w.fault(len(next) == 0), "", "in state %d: %s", states, w.key())
		for _, successor := range next {
			if key := successor.key(); !visited[key] {
				visited[key] = true
				pending = append(pending, successor)
			}
		}
	}
	t.Logf("%d states", states)
}

// Guards against the same failures where several faults meet: four hosts,
// three crashes, four lost answers and up to six sendings.
func TestManyFaultsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(budget{
			crashes: rapid.IntRange(0, 3).Draw(t, "crashes"),
			losses:  rapid.IntRange(0, 4).Draw(t, "losses"),
			sends:   6,
			ticks:   6,
		}, rapid.IntRange(1, 4).Draw(t, "hosts"))
		for range 200 {
			next := w.steps()
			if fault := w.fault(len(next) == 0); fault != "" {
				t.Fatalf("%s: %s", fault, w.key())
			}
			if len(next) == 0 {
				return
			}
			w = next[rapid.IntRange(0, len(next)-1).Draw(t, "step")]
		}
	})
}
