package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a host that sends no retries for as long as its clock is set back while it
// waits: the deadline must be one of the monotonic clock.
func TestEarlierRunDelayIsIndependentOfClockSteps(t *testing.T) {
	now := time.Now()
	run := EarlierRun{StartedAt: time.UnixMilli(now.UnixMilli() - 1000)}
	until := run.retriesFrom(now)
	assert.Assert(t, !until.IsZero())
	// Round(0) drops the monotonic reading. A time without one is compared by the wall clock.
	assert.Assert(t, until != until.Round(0), "%s has no monotonic reading", until)
}
