package soak

import (
	"syscall"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see requests which go on after their callers have left,
// or sees them where they are allowed.
func TestSoakCountsAbandonedRequests(t *testing.T) {
	leftAt := time.Now()
	const bound = leftNoticeTime
	lasting, working, late := abandonedCounts{lasting: 1}, abandonedCounts{lasting: 1, working: 1}, abandonedCounts{late: 1}
	for name, test := range map[string]struct {
		// arrived and answered are the times after the caller has left.
		arrived, latency, answered time.Duration
		isSubmit                   bool
		expected                   abandonedCounts
	}{
		"arrived at the bound":      {bound, 0, bound, false, abandonedCounts{}},
		"arrived beyond it":         {bound + 1, 0, bound + 1, false, late},
		"submit beyond it":          {bound + 1, 0, bound + 1, true, late},
		"short, at work":            {0, bound, bound + 1, false, abandonedCounts{}},
		"lasting, ended in time":    {0, bound + 1, bound, false, lasting},
		"lasting, at work":          {0, bound + 1, bound + 1, false, working},
		"submit, at work":           {0, bound + 1, bound + 1, true, abandonedCounts{}},
		"arrived behind, ended":     {bound, 1, bound, false, lasting},
		"arrived behind, still on":  {bound, 1, bound + 1, false, working},
		"arrived before, not ended": {-bound, 2*bound + 1, bound + 1, false, working},
	} {
		t.Run(name, func(t *testing.T) {
			var counts abandonedCounts
			counts.add(endedRequest{endedAt: leftAt, isSubmit: test.isSubmit}, fake.Exchange{
				ArrivedAt: leftAt.Add(test.arrived), Latency: test.latency, AnsweredAt: leftAt.Add(test.answered),
			})
			assert.Equal(t, counts, test.expected)
		})
	}
}

// Guards against bounds that are not those of the guarantee, and against a soak that blames
// hosts which could not know that a caller left.
func TestSoakJudgesAbandonedRequests(t *testing.T) {
	sentAt := time.Now().Add(-time.Hour)
	at := func(offset time.Duration) time.Time { return sentAt.Add(offset) }
	const left = 200 * time.Millisecond
	const bound = left + leftNoticeTime
	lateArrival := fake.Exchange{ArrivedAt: at(bound + 1), AnsweredAt: at(bound + 2)}
	stopped := fake.Exchange{ArrivedAt: at(1), Latency: time.Second, AnsweredAt: at(left)}
	working := fake.Exchange{ArrivedAt: at(1), Latency: time.Second, AnsweredAt: at(time.Second)}
	for name, test := range map[string]struct {
		exchanges   []fake.Exchange
		isAnswered  bool
		host        interruption
		fault       faultTime
		isViolation bool
	}{
		"a few late":              {[]fake.Exchange{lateArrival, lateArrival, lateArrival}, false, interruption{}, faultTime{}, false},
		"more late":               {[]fake.Exchange{lateArrival, lateArrival, lateArrival, lateArrival}, false, interruption{}, faultTime{}, true},
		"more late, answered":     {[]fake.Exchange{lateArrival, lateArrival, lateArrival, lateArrival}, true, interruption{}, faultTime{}, false},
		"a quarter":               {[]fake.Exchange{working, stopped, stopped, stopped}, false, interruption{}, faultTime{}, false},
		"a third":                 {[]fake.Exchange{working, stopped, stopped}, false, interruption{}, faultTime{}, true},
		"host paused":             {[]fake.Exchange{working}, false, interruption{at(1), syscall.SIGSTOP}, faultTime{}, false},
		"host stopped":            {[]fake.Exchange{working}, false, interruption{at(1), syscall.SIGTERM}, faultTime{}, false},
		"host reads its settings": {[]fake.Exchange{working}, false, interruption{at(1), syscall.SIGHUP}, faultTime{}, true},
		"host started before":     {[]fake.Exchange{working}, false, interruption{at(0), 0}, faultTime{}, true},
		"host started":            {[]fake.Exchange{working}, false, interruption{at(1), 0}, faultTime{}, false},
		"host paused afterwards":  {[]fake.Exchange{working}, false, interruption{at(bound), syscall.SIGSTOP}, faultTime{}, true},
		"link at fault":           {[]fake.Exchange{working}, false, interruption{}, faultTime{at(bound - 1), at(bound)}, false},
		"link at fault before":    {[]fake.Exchange{working}, false, interruption{}, faultTime{at(-time.Minute), at(0)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := fake.NewRecord("i-0")
			for i, exchange := range test.exchanges {
				exchange.Attempt = "a-1"
				endpoint.Record(fake.Event{Number: i, Exchange: exchange})
			}
			b := &testbed{endpoints: []*fake.Endpoint{endpoint}, endpointProxies: []*faultProxy{{faults: []faultTime{test.fault}}}}
			b.report.Checked = make(map[string]int)
			c := newCallers(b)
			host := &hostProcess{interruptions: []interruption{test.host}}
			c.ended = []endedRequest{{attempt: "a-1", host: host, hasLeft: !test.isAnswered, sentAt: sentAt, endedAt: at(left)}}
			c.checkAbandoned()
			assert.Equal(t, len(b.report.Violations) > 0, test.isViolation, "%q", b.report.Violations)
		})
	}
}
