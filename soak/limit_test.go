package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see more requests at an endpoint with a rate limit than
// it tolerates, or counts those outside of the window.
func TestSoakCountsRequestsAtLimitedEndpoints(t *testing.T) {
	// Of 2 requests a second, a window allows 12 and 5 more.
	const allowed = 17
	from := time.Now()
	limited := limitedTime{perSecond: 2, to: from.Add(stableWindow + 2*limitWindow)}
	first := stableWindow + limitWindow
	for name, test := range map[string]struct {
		count int
		// firstAt is the first arrival, and step the time to each further one.
		firstAt, step time.Duration
		isBeyond      bool
	}{
		"as many as allowed":  {allowed, first, 10 * time.Millisecond, false},
		"one more":            {allowed + 1, first, 10 * time.Millisecond, true},
		"within a window":     {allowed + 1, first, (limitWindow - 1) / allowed, true},
		"over a window":       {allowed + 1, first, limitWindow/allowed + 1, false},
		"begins in time":      {allowed + 1, stableWindow + 100*time.Millisecond, limitWindow / allowed, true},
		"begins before":       {allowed + 1, stableWindow - 100*time.Millisecond, limitWindow / allowed, false},
		"ends with the limit": {allowed + 1, first + limitWindow - allowed*10*time.Millisecond, 10 * time.Millisecond, true},
		"ends behind it":      {allowed + 1, first + limitWindow + 1 - allowed*10*time.Millisecond, 10 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			var arrivals []time.Time
			for i := range test.count {
				arrivals = append(arrivals, from.Add(test.firstAt+time.Duration(i)*test.step))
			}
			most, _ := limited.mostArrivals(from, arrivals)
			assert.Equal(t, float64(most) > limited.bound(), test.isBeyond, most)
		})
	}
}

// Guards against a soak that counts requests of hosts which could not know of a limit, or
// excuses others.
func TestSoakExcusesHostsThatCannotKnowLimits(t *testing.T) {
	from := time.Now()
	at := func(offset time.Duration) time.Time { return from.Add(offset) }
	const passedOn, notice = time.Second, time.Second + limitNoticeTime
	for name, test := range map[string]struct {
		limit     string
		status    int
		arrivedAt time.Duration
		host      interruption
		fault     faultTime
		isCounted bool
	}{
		"at the bound":         {"2.0", http.StatusOK, notice, interruption{}, faultTime{}, true},
		"before the bound":     {"2.0", http.StatusOK, notice - 1, interruption{}, faultTime{}, false},
		"no limit":             {"", http.StatusOK, notice, interruption{}, faultTime{}, false},
		"answer not passed on": {"2.0", http.StatusBadGateway, notice, interruption{}, faultTime{}, false},
		"start":                {"2.0", http.StatusOK, notice, interruption{at(passedOn + 1), 0}, faultTime{}, false},
		"pause":                {"2.0", http.StatusOK, notice, interruption{at(passedOn + 1), syscall.SIGSTOP}, faultTime{}, false},
		"stop":                 {"2.0", http.StatusOK, notice, interruption{at(passedOn + 1), syscall.SIGTERM}, faultTime{}, false},
		"reload":               {"2.0", http.StatusOK, notice, interruption{at(passedOn + 1), syscall.SIGHUP}, faultTime{}, true},
		"start before":         {"2.0", http.StatusOK, notice, interruption{at(passedOn), 0}, faultTime{}, true},
		"link at fault":        {"2.0", http.StatusOK, notice + stableWindow, interruption{}, faultTime{at(0), at(notice + 1)}, false},
		"link at fault before": {"2.0", http.StatusOK, notice + stableWindow, interruption{}, faultTime{at(0), at(notice)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			host := &hostProcess{interruptions: []interruption{test.host}}
			told := sentRequest{
				endedRequest{host: host, status: test.status, body: "i-0", endedAt: at(passedOn)},
				fake.Exchange{ID: "i-0", RateLimit: test.limit, ArrivedAt: at(0)},
			}
			next := sentRequest{endedRequest{host: host}, fake.Exchange{ID: "i-0", ArrivedAt: at(test.arrivedAt)}}
			other := sentRequest{endedRequest{host: &hostProcess{}}, next.exchange}
			b := &testbed{endpointProxies: []*faultProxy{{faults: []faultTime{test.fault}}}}
			assert.Equal(t, len(b.boundByLimit(limitedTime{}, []sentRequest{told, next, other})) == 1, test.isCounted)
		})
	}
}

// Guards against a window that begins before the endpoint named its limit, or with a request
// to another run of it.
func TestSoakKnowsWhenLimitsAreNamed(t *testing.T) {
	from := time.Now()
	limited := limitedTime{id: "i-0", from: from, to: from.Add(time.Minute)}
	answered := func(limit string, after time.Duration) sentRequest {
		return sentRequest{exchange: fake.Exchange{RateLimit: limit, AnsweredAt: from.Add(after)}}
	}
	sent := []sentRequest{answered("", 1), answered("2.0", 4), answered("2.0", 3), {exchange: fake.Exchange{RateLimit: "2.0"}}}
	assert.Equal(t, limited.firstNamed(sent), from.Add(3))
	assert.Equal(t, limited.firstNamed(sent[:1]), limited.to)
	for i, test := range []struct {
		id         string
		after      time.Duration
		isIncluded bool
	}{{"i-0", 1, true}, {"i-1", 1, false}, {"i-0", 0, false}, {"i-0", time.Minute, false}, {"i-0", time.Minute - 1, true}} {
		exchange := fake.Exchange{ID: test.id, ArrivedAt: from.Add(test.after)}
		assert.Equal(t, limited.includes(exchange), test.isIncluded, fmt.Sprint(i))
	}
}
