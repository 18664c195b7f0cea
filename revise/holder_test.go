package revise_test

import (
	"fmt"
	"testing"

	"filberthold/revise"

	"gotest.tools/v3/assert"
)

// Guards against a host that goes back to an older revision or adopts a body
// that is not the accepted one.
func TestHolderOnlyMovesForward(t *testing.T) {
	body := func(n uint64) []byte { return fmt.Appendf(nil, "revision %d", n) }
	steps := []struct {
		head    revise.Head
		body    []byte
		verdict revise.Verdict
		current uint64
	}{
		{revise.HeadOf(2, body(2)), body(2), revise.Adopted, 2},
		{revise.HeadOf(1, body(1)), body(1), revise.Stale, 2},
		{revise.HeadOf(2, body(2)), body(2), revise.Stale, 2},
		{revise.HeadOf(2, body(9)), body(9), revise.Contradicts, 2},
		{revise.HeadOf(3, body(3)), body(4), revise.Corrupt, 2},
		{revise.HeadOf(5, body(5)), body(5), revise.Adopted, 5},
		{revise.HeadOf(4, body(4)), body(4), revise.Stale, 5},
	}
	var holder revise.Holder
	for i, step := range steps {
		assert.Equal(t, holder.Offer(step.head, step.body), step.verdict, "step %d", i)
		assert.Equal(t, holder.Current().Number(), step.current, "step %d", i)
	}
	missing := revise.HeadOf(7, body(7))
	holder.Announce(missing)
	holder.Announce(revise.HeadOf(6, body(6)))
	needed, needs := holder.Needs()
	assert.Assert(t, needs && needed == missing)
	holder.Withdraw(missing)
	_, needs = holder.Needs()
	assert.Assert(t, !needs)
}
