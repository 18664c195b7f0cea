package soak

import (
	"syscall"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see requests which arrive after they were given up, or
// blames a host for what could not be taken back.
func TestSoakSeesRequestsThatArriveAfterTheirEnd(t *testing.T) {
	sentAt := time.Now()
	at := func(offset time.Duration) time.Time { return sentAt.Add(offset) }
	deadline := callerTimeout + maxLateArrival
	for name, test := range map[string]struct {
		ended, arrived time.Duration
		host, endpoint interruption
		isViolation    bool
	}{
		"at the bound":                {callerTimeout, deadline, interruption{}, interruption{}, false},
		"beyond the bound":            {callerTimeout, deadline + 1, interruption{}, interruption{}, true},
		"before the deadline":         {time.Millisecond, callerTimeout, interruption{}, interruption{}, false},
		"beyond it, ended early":      {time.Millisecond, deadline + 1, interruption{}, interruption{}, true},
		"ended late, at the bound":    {3 * time.Second, 3*time.Second + maxLateArrival, interruption{}, interruption{}, false},
		"ended late, beyond it":       {3 * time.Second, 3*time.Second + maxLateArrival + 1, interruption{}, interruption{}, true},
		"host paused":                 {callerTimeout, 3 * time.Second, interruption{at(1), syscall.SIGSTOP}, interruption{}, false},
		"host paused before":          {callerTimeout, 3 * time.Second, interruption{at(0), syscall.SIGCONT}, interruption{}, true},
		"host killed":                 {callerTimeout, 3 * time.Second, interruption{at(1), syscall.SIGKILL}, interruption{}, true},
		"endpoint paused":             {callerTimeout, 3 * time.Second, interruption{}, interruption{at(1), syscall.SIGCONT}, false},
		"endpoint paused afterwards":  {callerTimeout, 3 * time.Second, interruption{}, interruption{at(3 * time.Second), syscall.SIGSTOP}, true},
		"endpoint that started again": {callerTimeout, 3 * time.Second, interruption{}, interruption{at(1), syscall.SIGKILL}, true},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := fake.NewRecord("i-0")
			endpoint.Record(fake.Event{Number: 1, Exchange: fake.Exchange{ID: "i-0", Attempt: "a-1", ArrivedAt: at(test.arrived)}})
			b := &testbed{endpoints: []*fake.Endpoint{endpoint}, processes: []*endpointProcess{{interruptions: []interruption{test.endpoint}}}}
			c := newCallers(b)
			host := &hostProcess{interruptions: []interruption{test.host}}
			c.ended = []endedRequest{{attempt: "a-1", host: host, timeout: callerTimeout, sentAt: sentAt, endedAt: at(test.ended)}}
			c.checkGivenUp()
			assert.Equal(t, len(b.report.Violations) > 0, test.isViolation, "%q", b.report.Violations)
		})
	}
}
