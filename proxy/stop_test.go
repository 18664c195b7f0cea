package proxy

import (
	"net/http"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/route"

	"gotest.tools/v3/assert"
)

// Guards against a request that is sent although the host stops before it can end,
// and against a deadline of an endpoint that is later than the stop.
func TestRequestFitsIntoStop(t *testing.T) {
	const objective = 600 * time.Millisecond
	tests := []struct {
		name string
		// left and timeout are the time until the last request must have ended and
		// until the deadline of the request.
		left, timeout time.Duration
		submit, read  bool
	}{
		{"ends before the stop", 3 * time.Second, 2 * time.Second, true, true},
		{"ends with the stop", 2 * time.Second, 2 * time.Second, true, true},
		{"may end after the stop", 2 * time.Second, 2*time.Second + 1, false, true},
		{"the objective is left", objective, 2 * time.Second, false, true},
		{"less than the objective is left", objective - 1, 2 * time.Second, false, false},
		{"a short one ends before the stop", objective - 1, 100 * time.Millisecond, true, true},
		{"the time is over", -time.Second, 2 * time.Second, false, false},
	}
	now := time.Now()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for class, want := range map[model.Class]bool{model.Submit: test.submit, model.Read: test.read, model.Export: test.read} {
				server := &Server{}
				server.Leave(now.Add(test.left + stopResponseMargin))
				e := &exchange{server: server, deadline: now.Add(test.timeout), route: route.Route{Class: class, LatencyObjective: objective}}
				assert.Equal(t, e.fitsIntoStop(now), want, "%s", class)
				if want {
					assert.Equal(t, e.deadline, now.Add(min(test.left, test.timeout)), "%s", class)
				}
			}
		})
	}
}

// Guards against a host that changes deadlines or rejects requests before it stops.
func TestRequestKeepsItsDeadlineWithoutStop(t *testing.T) {
	deadline := time.Now().Add(time.Hour)
	e := &exchange{server: &Server{}, deadline: deadline, route: route.Route{Class: model.Submit}}
	assert.Assert(t, e.fitsIntoStop(time.Now()))
	assert.Equal(t, e.deadline, deadline)
}

// Guards against a submit that a stopping host sends and then cuts, and against one
// that would end in time and is rejected. Callers of send wait for 1.5 s.
func TestStoppingServerSendsOnlyWhatCanEnd(t *testing.T) {
	for left, want := range map[time.Duration]int{time.Second: http.StatusServiceUnavailable, time.Minute: http.StatusOK} {
		ts := startTestServer(t, 2)
		ts.server.Leave(time.Now().Add(left))
		status, _, header := ts.send(http.MethodPost, "/submit/1", "a1", "content")
		assert.Equal(t, status, want)
		assert.Equal(t, header.Get("Connection"), "close")
		if want == http.StatusOK {
			assert.Equal(t, ts.runs("a1"), 1)
			continue
		}
		assert.Assert(t, header.Get("Retry-After") != "")
		assert.Equal(t, ts.runs("a1"), 0)
	}
}

// Guards against a read that a stopping host cuts without a response: if its
// endpoint does not answer, it ends with a timeout at the end of the stop, although
// its caller would wait longer.
func TestReadEndsBeforeStop(t *testing.T) {
	ts := startTestServer(t, 1)
	ts.endpoints[0].SetLatency(5 * time.Second)
	ts.core.SetConfig(route.NewConfig(2, []route.Route{{
		Name: "/read/", Domain: "a.example", Prefix: "/read/", Class: model.Read, Timeout: time.Minute, LatencyObjective: 10 * time.Millisecond,
		Shares: []route.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
	}}, []route.Service{{Name: "s", ColdRate: 2}}, route.Limits{MaxBodyBytes: 1 << 20}))
	callerDeadline := time.Now().Add(1500 * time.Millisecond)
	ts.server.Leave(time.Now().Add(600 * time.Millisecond))
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Now().Before(callerDeadline))
}
