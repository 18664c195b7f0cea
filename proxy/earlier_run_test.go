package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retries of a third run in a short time, and against a host without retries
// for longer than those of its earlier runs may arrive.
func TestEarlierRunsDelayRetries(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		run  EarlierRun
		want time.Time
	}{
		"the earlier run was the first": {EarlierRun{StartedAt: now.Add(-time.Second), IsFirst: true}, time.Time{}},
		"another run before it":         {EarlierRun{StartedAt: now.Add(-time.Second)}, now.Add(earlierRetryTime - time.Second)},
		"it ran for long":               {EarlierRun{StartedAt: now.Add(-earlierRetryTime)}, time.Time{}},
		"the clock was set back":        {EarlierRun{StartedAt: now.Add(time.Hour)}, now.Add(earlierRetryTime)},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.run.retriesFrom(now), test.want)
		})
	}
}
