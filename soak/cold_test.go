package soak

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against checks whose bounds are not those of the configuration and the settings.
func TestBoundsAreThoseOfTheSettings(t *testing.T) {
	assert.Assert(t, strings.Contains(fake.Config(1), `"coldStartS":3.0,"coldPerS":2.6`))
	settings := fake.HostSettings{}.Text()
	assert.Assert(t, strings.Contains(settings, "\ndrainMs = 2000\n") && strings.Contains(settings, "\nheartbeatMs = 1000\n"))
	assert.Equal(t, coldTimeStated.Seconds(), 3.0)
	assert.Equal(t, coldPerSecond, 2.6)
	assert.Equal(t, drainTime.Milliseconds(), int64(2000))
	assert.Equal(t, heartbeat.Milliseconds(), int64(1000))
}

// Guards against a soak that does not see more requests at a cold endpoint than it
// tolerates, or counts those that were sent or arrived outside of the window.
func TestSoakCountsRequestsAtColdEndpoints(t *testing.T) {
	const allowed = 8
	from := time.Now()
	end := from.Add(2 * coldWindow)
	for name, test := range map[string]struct {
		count int
		// firstAt and step are the times of arrival. delay is the time since the sending.
		firstAt, step, delay time.Duration
		isBeyond             bool
	}{
		"as many as allowed":    {allowed, coldWindow, 10 * time.Millisecond, 0, false},
		"one more":              {allowed + 1, coldWindow, 10 * time.Millisecond, 0, true},
		"within a whole second": {allowed + 1, coldWindow, (coldWindow - 1) / allowed, 0, true},
		"over a second":         {allowed + 1, 0, coldWindow/allowed + 1, 0, false},
		"sent before":           {allowed + 1, coldWindow, 10 * time.Millisecond, coldWindow, false},
		"sent within":           {allowed + 1, coldWindow, 10 * time.Millisecond, coldWindow - 100*time.Millisecond, true},
		"before the time":       {allowed + 1, coldWindow - 100*time.Millisecond, 10 * time.Millisecond, 0, false},
		"behind the time":       {allowed + 1, 2*coldWindow + 1, 10 * time.Millisecond, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var sent []sentTimes
			for i := range test.count {
				arrivedAt := from.Add(test.firstAt + time.Duration(i)*test.step)
				sent = append(sent, sentTimes{arrivedAt.Add(-test.delay), arrivedAt})
			}
			count, _ := mostInWindow(sent, from, end, func(time.Time) bool { return true })
			assert.Equal(t, float64(count) > coldBound, test.isBeyond, count)
			count, _ = mostInWindow(sent, from, end, func(time.Time) bool { return false })
			assert.Equal(t, count, 0)
		})
	}
}

// Guards against a soak that blames hosts which could not know that an endpoint is cold, or
// excuses others.
func TestSoakExcusesHostsThatCannotKnowColdTimes(t *testing.T) {
	from := time.Now()
	end := from.Add(drainTime + coldWindow)
	for name, test := range map[string]struct {
		signal     syscall.Signal
		at         time.Time
		storeFault faultTime
		isJudged   bool
	}{
		"nothing":              {syscall.SIGHUP, from, faultTime{}, true},
		"start":                {0, from, faultTime{}, true},
		"kill":                 {syscall.SIGKILL, from, faultTime{}, true},
		"stop":                 {syscall.SIGTERM, from, faultTime{}, true},
		"pause":                {syscall.SIGSTOP, from, faultTime{}, false},
		"end of a pause":       {syscall.SIGCONT, from.Add(-stableWindow + 1), faultTime{}, false},
		"pause long before":    {syscall.SIGCONT, from.Add(-stableWindow), faultTime{}, true},
		"pause afterwards":     {syscall.SIGSTOP, end, faultTime{}, true},
		"store away":           {syscall.SIGHUP, from, faultTime{from, end}, false},
		"store away before":    {syscall.SIGHUP, from, faultTime{from.Add(-2 * stableWindow), from.Add(-stableWindow + 1)}, false},
		"store away long ago":  {syscall.SIGHUP, from, faultTime{from.Add(-2 * stableWindow), from.Add(-stableWindow)}, true},
		"store away afterward": {syscall.SIGHUP, from, faultTime{end, end.Add(time.Second)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			calm := &hostProcess{storeProxy: &faultProxy{}}
			other := &hostProcess{storeProxy: &faultProxy{faults: []faultTime{test.storeFault}}, interruptions: []interruption{{test.at, test.signal}}}
			b := &testbed{hosts: []*hostProcess{calm, other}}
			assert.Equal(t, b.knewColdTime(coldTime{from: from})(end), test.isJudged)
		})
	}
}
