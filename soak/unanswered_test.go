package soak

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see requests without an answer at the timeout of their
// route, or sees them where they are allowed.
func TestSoakSeesUnansweredRequests(t *testing.T) {
	assert.Assert(t, strings.Contains(fake.Config(1), fmt.Sprintf(`"timeoutMs":%d,`, routeTimeout.Milliseconds())))
	sentAt := time.Now()
	const bound = routeTimeout + timeoutMargin
	for name, test := range map[string]struct {
		timeout, ended time.Duration
		host           interruption
		isViolation    bool
	}{
		"at the bound":         {longTimeout, bound, interruption{}, false},
		"beyond the bound":     {longTimeout, bound + 1, interruption{}, true},
		"in time":              {longTimeout, routeTimeout, interruption{}, false},
		"timeout of the route": {routeTimeout, bound + 1, interruption{}, false},
		"longer timeout":       {routeTimeout + 1, bound + 1, interruption{}, true},
		"host paused":          {longTimeout, bound + 1, interruption{sentAt.Add(bound - 1), syscall.SIGSTOP}, false},
		"host paused later":    {longTimeout, bound + 1, interruption{sentAt.Add(bound), syscall.SIGSTOP}, true},
		"host stopped":         {longTimeout, bound + 1, interruption{sentAt.Add(1), syscall.SIGTERM}, false},
		"host started before":  {longTimeout, bound + 1, interruption{sentAt, 0}, true},
		"host paused before":   {longTimeout, bound + 1, interruption{sentAt.Add(-time.Minute), syscall.SIGSTOP}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &testbed{report: Report{Checked: make(map[string]int)}}
			c := newCallers(b)
			host := &hostProcess{interruptions: []interruption{test.host}, storeProxy: &faultProxy{}}
			c.ended = []endedRequest{{attempt: "a-1", host: host, timeout: test.timeout, sentAt: sentAt, endedAt: sentAt.Add(test.ended)}}
			c.checkUnanswered()
			assert.Equal(t, len(b.report.Violations) > 0, test.isViolation, "%q", b.report.Violations)
		})
	}
	for _, test := range []struct {
		lasting, unanswered int
		isViolation         bool
	}{{0, 0, false}, {2, 1, false}, {3, 2, true}, {20, 7, false}, {32, 8, false}, {31, 8, true}, {8, 8, true}} {
		assert.Check(t, areTooManyUnanswered(test.lasting, test.unanswered) == test.isViolation, "%+v", test)
	}
}
