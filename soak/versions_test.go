package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see requests which are handled by an older version of
// the configuration, or sees them where the version may be in force.
func TestSoakJudgesVersions(t *testing.T) {
	for name, test := range map[string]struct {
		version, oldest, newest, status int
		isRun, isViolation              bool
	}{
		"newest":                      {3, 3, 3, http.StatusOK, true, false},
		"newest refused":              {3, 3, 3, http.StatusNotFound, false, true},
		"newest failed":               {3, 3, 3, http.StatusServiceUnavailable, false, false},
		"newest not due":              {3, 2, 3, http.StatusNotFound, false, false},
		"newer one written":           {3, 3, 4, http.StatusNotFound, false, false},
		"dropped":                     {2, 3, 3, http.StatusNotFound, false, false},
		"dropped, run":                {2, 3, 3, http.StatusOK, true, true},
		"dropped, run without answer": {2, 3, 3, 0, true, true},
		"dropped, not due":            {2, 2, 3, http.StatusOK, true, false},
		"none due":                    {1, 0, 2, http.StatusNotFound, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			request := endedRequest{version: test.version, status: test.status}
			violation := request.versionViolation(test.oldest, test.newest, test.isRun)
			assert.Equal(t, violation != "", test.isViolation, violation)
		})
	}
}

// Guards against a soak that expects a version before it is due, or from a host that was not
// in touch, or does not expect it afterwards.
func TestSoakKnowsVersionsInForce(t *testing.T) {
	from := time.Now()
	at := func(offset time.Duration) time.Time { return from.Add(offset) }
	b := &testbed{versions: []configVersion{
		{1, at(-time.Hour), at(-time.Hour)}, {2, at(-1), at(0)}, {3, at(applyTime), at(applyTime)},
	}}
	for name, test := range map[string]struct {
		sent       time.Duration
		host       interruption
		storeFault faultTime
		oldest     int
	}{
		"not due":          {applyTime, interruption{}, faultTime{}, 1},
		"due":              {applyTime + 1, interruption{}, faultTime{}, 2},
		"next due":         {2*applyTime + 1, interruption{}, faultTime{}, 3},
		"paused":           {applyTime + 1, interruption{at(applyTime), syscall.SIGCONT}, faultTime{}, 0},
		"paused before":    {applyTime + 1, interruption{at(applyTime + 1 - stableWindow), syscall.SIGCONT}, faultTime{}, 2},
		"reload":           {applyTime + 1, interruption{at(applyTime), syscall.SIGHUP}, faultTime{}, 2},
		"store away":       {applyTime + 1, interruption{}, faultTime{at(-stableWindow - 1), at(-stableWindow + 1)}, 0},
		"store away later": {applyTime + 1, interruption{}, faultTime{at(applyTime + 1), at(time.Hour)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			host := &hostProcess{interruptions: []interruption{test.host}, storeProxy: &faultProxy{faults: []faultTime{test.storeFault}}}
			assert.Equal(t, b.oldestInForce(endedRequest{host: host, sentAt: at(test.sent)}), test.oldest)
		})
	}
	assert.Equal(t, b.newestBefore(at(-1)), 1)
	assert.Equal(t, b.newestBefore(at(0)), 2)
}

// Guards against a soak that does not see a host which goes back to an older version, or
// expects a new process to know what the earlier one knew.
func TestSoakKnowsVersionsThatHostsSaw(t *testing.T) {
	from := time.Now()
	at := func(offset time.Duration) time.Time { return from.Add(offset) }
	effects := []effect{{3, at(0)}, {2, at(time.Hour)}}
	for name, test := range map[string]struct {
		after  time.Duration
		host   interruption
		oldest int
	}{
		"at the bound":       {revertSlack, interruption{}, 0},
		"beyond the bound":   {revertSlack + 1, interruption{}, 3},
		"older effect later": {2 * time.Hour, interruption{}, 3},
		"start":              {revertSlack + 2, interruption{at(1), 0}, 0},
		"start before":       {revertSlack + 1, interruption{at(0), 0}, 3},
		"stop":               {revertSlack + 1, interruption{at(1), syscall.SIGTERM}, 3},
		"pause":              {pausedRevertSlack, interruption{at(1), syscall.SIGSTOP}, 0},
		"pause long before":  {revertSlack + 1, interruption{at(-stableWindow), syscall.SIGCONT}, 3},
		"pause and more":     {pausedRevertSlack + 1, interruption{at(1), syscall.SIGSTOP}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			host := &hostProcess{interruptions: []interruption{test.host}}
			assert.Equal(t, host.oldestSeen(at(test.after), effects), test.oldest)
		})
	}
}

// Guards against a soak that does not see that routes which were added later are served too
// rarely.
func TestSoakComparesLaterRoutes(t *testing.T) {
	for _, test := range []struct {
		served, sent int
		isUneven     bool
	}{{0, minLaterRequests - 1, false}, {0, minLaterRequests, true}, {4, minLaterRequests, true}, {5, minLaterRequests, false}} {
		var shares versionShares
		add := func(request endedRequest, count int) {
			for range count {
				shares.add(request, 2)
			}
		}
		add(endedRequest{status: http.StatusOK}, 100)
		add(endedRequest{isSubmit: true}, 1000)
		add(endedRequest{version: 1}, 1000)
		add(endedRequest{version: 3}, 1000)
		add(endedRequest{version: 2, status: http.StatusOK}, test.served)
		add(endedRequest{version: 2, status: http.StatusServiceUnavailable}, test.sent-test.served)
		assert.Check(t, shares.areUneven() == test.isUneven, "%+v", test)
	}
}
