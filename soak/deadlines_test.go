package soak

import (
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// arrivalAt returns an arrival at a time with a timeout.
func arrivalAt(at time.Time, timeout time.Duration) arrival {
	return arrival{Exchange: fake.Exchange{ArrivedAt: at, Timeout: timeout}}
}

// Guards against a soak that does not see endpoints with more time than is left, or sees
// them where the time is right.
func TestSoakJudgesDeadlines(t *testing.T) {
	const sentLater = 10 * time.Millisecond
	for _, test := range []struct {
		name string
		// first and timeout are the timeouts of the first arrival and of one that follows
		// after a time. Without that time there is only the first one.
		first, after, timeout time.Duration
		isBeyond              bool
	}{
		{"first", callerTimeout, 0, 0, false},
		{"first without a deadline", 0, 0, 0, true},
		{"first with a margin", callerTimeout + deadlineMargin, 0, 0, false},
		{"first beyond the margin", callerTimeout + deadlineMargin + time.Millisecond, 0, 0, true},
		{"repeat with what is left", callerTimeout, 700 * time.Millisecond, callerTimeout - 700*time.Millisecond, false},
		{"repeat without a deadline", callerTimeout, 700 * time.Millisecond, 0, true},
		{"early repeat with all the time", callerTimeout, deadlineMargin, callerTimeout, false},
		{"late repeat with all the time", callerTimeout, deadlineMargin + sentLater + time.Millisecond, callerTimeout, true},
		{"late repeat with a margin", callerTimeout, 700 * time.Millisecond, callerTimeout - 200*time.Millisecond - sentLater, false},
		{"late repeat beyond the margin", callerTimeout, 700 * time.Millisecond, callerTimeout - 199*time.Millisecond, true},
		{"late repeat beyond the first, within the caller's", 500 * time.Millisecond, 700 * time.Millisecond, 800 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			sentAt := time.Now()
			request := endedRequest{sentAt: sentAt, timeout: callerTimeout}
			first := arrivalAt(sentAt.Add(sentLater), test.first)
			arrived := first
			if test.after > 0 {
				arrived = arrivalAt(first.ArrivedAt.Add(test.after), test.timeout)
			}
			violation := request.deadlineViolation(first, arrived)
			assert.Equal(t, violation != "", test.isBeyond, "%s", violation)
		})
	}
}
