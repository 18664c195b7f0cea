package revise_test

import (
	"fmt"
	"testing"

	"filberthold/revise"

	"gotest.tools/v3/assert"
)

// Guards against a host that returns to an older revision or adopts a body that
// is not the accepted one.
func TestTrackerAdoptsOnlyHigherRevisions(t *testing.T) {
	body := func(n uint64) []byte { return fmt.Appendf(nil, "revision %d", n) }
	steps := []struct {
		id      revise.RevisionID
		body    []byte
		result  revise.CheckResult
		current uint64
	}{
		{revise.RevisionIDOf(2, body(2)), body(2), revise.Adopted, 2},
		{revise.RevisionIDOf(1, body(1)), body(1), revise.Stale, 2},
		{revise.RevisionIDOf(2, body(2)), body(2), revise.Stale, 2},
		{revise.RevisionIDOf(2, body(9)), body(9), revise.Conflicting, 2},
		{revise.RevisionIDOf(3, body(3)), body(4), revise.Corrupt, 2},
		{revise.RevisionIDOf(5, body(5)), body(5), revise.Adopted, 5},
		{revise.RevisionIDOf(4, body(4)), body(4), revise.Stale, 5},
	}
	var tracker revise.Tracker
	for i, step := range steps {
		assert.Equal(t, tracker.Adopt(step.id, step.body), step.result, "step %d", i)
		assert.Equal(t, tracker.Current().Number(), step.current, "step %d", i)
	}
	missing := revise.RevisionIDOf(7, body(7))
	tracker.SetAnnounced(missing)
	tracker.SetAnnounced(revise.RevisionIDOf(6, body(6)))
	announced, isMissing := tracker.MissingBody()
	assert.Assert(t, isMissing && announced == missing)
	tracker.ClearAnnounced(missing)
	_, isMissing = tracker.MissingBody()
	assert.Assert(t, !isMissing)
}
