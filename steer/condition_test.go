package steer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answer lets a host send a request to the only endpoint, which answers with a load report.
func answer(t *testing.T, selector *Selector, busy int, elapsed time.Duration, now time.Time) {
	t.Helper()
	chosen := requireSend(t, selector.Choose(query("o"), now))
	selector.Done(Outcome{Endpoint: chosen.Endpoint.Name, Result: Answered, Elapsed: elapsed, HasLoad: true, Busy: busy}, now)
}

func newSingle() *fixture {
	single := newFixture(0)
	single.add("only", "za", 0)
	return single
}

// told returns what a selector tells of its only endpoint.
func told(t *testing.T, selector *Selector, now time.Time) (Condition, bool) {
	t.Helper()
	conditions := selector.TakeConditions(8, now)
	if len(conditions) == 0 {
		return 0, false
	}
	assert.Equal(t, len(conditions), 1)
	return conditions[0].Condition, true
}

// Guards against a host that counts only its own requests at an endpoint of which another
// host has told that it is full, and against a belief that outlasts its cause.
func TestToldConditionCountsUntilItIsOver(t *testing.T) {
	single := newSingle()
	slots := 3.0
	newTold := func() *Selector {
		observer, selector := single.selector("h1"), single.selector("h2")
		answer(t, observer, 5, 300*time.Millisecond, start())
		selector.ApplyConditions(observer.TakeConditions(8, start()), start())
		return selector
	}
	loadAt := func(selector *Selector, now time.Time) float64 {
		return requireSend(t, selector.Choose(query("o"), now)).Load
	}
	assert.Equal(t, loadAt(newTold(), start().Add(time.Second)), slots)
	t.Run("expiry", func(t *testing.T) {
		assert.Equal(t, loadAt(newTold(), start().Add(conditionExpiry)), 0.0)
	})
	t.Run("the host observes that it is over", func(t *testing.T) {
		selector := newTold()
		answer(t, selector, 1, 300*time.Millisecond, start().Add(time.Second))
		assert.Assert(t, loadAt(selector, start().Add(2*time.Second)) < 1)
		condition, isTold := told(t, selector, start().Add(time.Second+observationTime/2))
		assert.Assert(t, isTold && condition == 0)
	})
	t.Run("another host tells that it is over", func(t *testing.T) {
		selector := newTold()
		selector.ApplyConditions([]EndpointCondition{{Endpoint: selector.endpoints["only"].id()}}, start().Add(time.Second))
		assert.Equal(t, loadAt(selector, start().Add(time.Second)), 0.0)
	})
	t.Run("the endpoint starts again", func(t *testing.T) {
		selector := newTold()
		restarted := single.roster.Endpoints("s")[0]
		restarted.Incarnation++
		selector.endpoints["only"].update(restarted)
		assert.Equal(t, loadAt(selector, start().Add(time.Second)), 0.0)
	})
}

// Guards against messages for each response of an endpoint whose load varies around its
// slots, and against a condition that hosts forget although it lasts.
func TestConditionsAreToldRarely(t *testing.T) {
	for name, c := range map[string]struct {
		busy             func(turn int) int
		atLeast, atMost  int
		hasConfirmations bool
	}{
		"always full":              {func(int) int { return 5 }, 5, 6, true},
		"busy, and never full":     {func(turn int) int { return turn % 5 }, 0, 0, false},
		"full, then requests wait": {func(turn int) int { return 5 - min(2, turn) }, 5, 6, true},
		"full, then free":          {func(turn int) int { return 5 - 3*min(1, turn) }, 2, 2, false},
		"full and free by turns":   {func(turn int) int { return 5 * (turn % 2) }, 8, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			selector := newSingle().selector("h")
			changes, confirmations := 0, 0
			for turn := range 100 {
				now := start().Add(time.Duration(turn) * 100 * time.Millisecond)
				answer(t, selector, c.busy(turn), 300*time.Millisecond, now)
				for _, told := range selector.TakeConditions(8, now) {
					if told.IsConfirmation {
						confirmations++
						continue
					}
					changes++
				}
			}
			total := changes + confirmations
			assert.Assert(t, total >= c.atLeast && total <= c.atMost, "%d changes and %d confirmations", changes, confirmations)
			assert.Equal(t, confirmations > 0, c.hasConfirmations)
		})
	}
}

// Guards against several hosts that tell the same: the first one tells the others.
func TestToldConditionIsNotToldAgain(t *testing.T) {
	single := newSingle()
	first, second := single.selector("h1"), single.selector("h2")
	answer(t, first, 5, 300*time.Millisecond, start())
	second.ApplyConditions(first.TakeConditions(8, start()), start())
	answer(t, second, 5, 300*time.Millisecond, start().Add(100*time.Millisecond))
	_, isTold := told(t, second, start().Add(200*time.Millisecond))
	assert.Assert(t, !isTold)
}

// Guards against an observation that is told long after it was made, by a host that had
// no requests to the endpoint since.
func TestOldObservationIsNotTold(t *testing.T) {
	selector := newSingle().selector("h")
	answer(t, selector, 5, 300*time.Millisecond, start())
	_, isTold := told(t, selector, start().Add(observationTime))
	assert.Assert(t, !isTold)
}

// Guards against a host that sends to a slow endpoint which another one knows to be slow,
// and against a single long request that makes an endpoint slow for all hosts.
func TestSlowEndpointIsTold(t *testing.T) {
	single := newSingle()
	observer, selector := single.selector("h1"), single.selector("h2")
	for range 20 {
		answer(t, observer, 0, 300*time.Millisecond, start())
	}
	answer(t, observer, 0, 3*time.Second, start())
	_, isTold := told(t, observer, start())
	assert.Assert(t, !isTold)
	answer(t, observer, 0, 3*time.Second, start())
	conditions := observer.TakeConditions(8, start())
	assert.DeepEqual(t, conditions, []EndpointCondition{{Endpoint: observer.endpoints["only"].id(), Condition: IsSlow, Name: "only"}})
	target := selector.endpoints["only"]
	state := selector.services["s"]
	before := selector.expectedTime(state, target, 0, query("o"), start())
	selector.ApplyConditions(conditions, start())
	assert.Equal(t, selector.expectedTime(state, target, 0, query("o"), start()), toldSlowness*before)
}

// Guards against confirmations that take the place of changes in a message.
func TestChangesAreTakenFirst(t *testing.T) {
	f := newFixture(0)
	for i := range 6 {
		f.add(fmt.Sprint("e-", i), "za", 0)
	}
	selector := f.selector("h")
	observe := func(count int, now time.Time) {
		for _, target := range selector.endpoints {
			if count--; count >= 0 || target.condition.observed != 0 {
				target.condition.set(IsFull, true, now)
			}
		}
	}
	observe(4, start())
	assert.Equal(t, len(selector.TakeConditions(8, start())), 4)
	later := start().Add(confirmInterval)
	for _, target := range selector.endpoints {
		target.condition.set(IsFull, true, later)
	}
	taken := selector.TakeConditions(3, later)
	assert.Equal(t, len(taken), 3)
	assert.Assert(t, !taken[0].IsConfirmation && !taken[1].IsConfirmation && taken[2].IsConfirmation)
	assert.Equal(t, len(selector.TakeConditions(8, later)), 3)
}

// Guards against counts that stay for ever because their host, in a fleet that has grown,
// reports none any more but sends other news in its reports.
func TestReportWithoutCountsDoesNotExtendThem(t *testing.T) {
	single := newFixture(0)
	single.add("only", "za", 0)
	first, second := single.selector("h1"), single.selector("h2")
	for i := range 5 {
		requireSend(t, first.Choose(query(fmt.Sprintf("o-%d", i)), start()))
	}
	second.ApplyLoads("h1", first.Loads(false), false, start())
	second.ApplyLoads("h1", nil, false, start().Add(loadExpiry/2))
	requireSend(t, second.Choose(query("o"), start().Add(loadExpiry)))
}
