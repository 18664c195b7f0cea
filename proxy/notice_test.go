package proxy

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"filberthold/platform/fake"
	"filberthold/roster"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// applyEntry applies an entry of the first endpoint.
func (s *testServer) applyEntry(sequence uint64, incarnation int64) {
	s.core.ApplyEntry(roster.Entry{
		Endpoint: "i-0", Service: "s", Address: netip.MustParseAddrPort(s.endpoints[0].Address()),
		Zone: "za", Slots: 3, State: roster.Ready, Sequence: sequence, Incarnation: incarnation,
	})
}

// sendAll sends a number of requests, each as a new attempt, and returns the number
// of them that were served.
func (s *testServer) sendAll(prefix string, count int) int {
	served := 0
	for i := range count {
		if status, _, _ := s.send(http.MethodGet, fmt.Sprint("/read/", i), fmt.Sprint(prefix, i), ""); status == http.StatusOK {
			served++
		}
	}
	return served
}

// Guards against requests to an endpoint after it said in a response of any kind that
// it is leaving, while the table of endpoints still shows it as ready, and against one
// that gets none after it started again.
func TestLeavingEndpointGetsNoFurtherRequest(t *testing.T) {
	for name, behaviour := range map[string]fake.Behaviour{
		"success": fake.Serve, "refusal": fake.Shed, "error": fake.Fail, "truncated": fake.Truncate, "unsigned": fake.Unsigned, "endless": fake.UnsignedEndless,
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, 2)
			leaving := ts.endpoints[0]
			leaving.SetBehaviour(behaviour)
			leaving.SetLeaving(true)
			for i := 0; leaving.RequestCount() == 0 && i < 20; i++ {
				ts.send(http.MethodPost, "/submit/1", fmt.Sprint("first", i), "")
				ts.endpoints[1].SetLatency(50 * time.Millisecond)
			}
			ts.endpoints[1].SetLatency(0)
			assert.Equal(t, leaving.RequestCount(), 1)
			leaving.SetBehaviour(fake.Serve)
			ts.applyEntry(2, 1)
			assert.Equal(t, ts.sendAll("second", 10), 10)
			ts.core.RemoveEntry("i-0", time.Time{})
			ts.sendAll("third", 1)
			ts.applyEntry(3, 1)
			assert.Equal(t, ts.sendAll("fourth", 10), 10)
			assert.Equal(t, leaving.RequestCount(), 1)
			leaving.SetLeaving(false)
			ts.applyEntry(1, 2)
			ts.core.RemoveEntry("i-1", time.Time{})
			assert.Equal(t, ts.sendAll("fifth", 3), 3)
		})
	}
}

// Guards against a request that waits, or is rejected without the time after which
// another endpoint may be known, when the last endpoint is leaving.
func TestRequestIsRejectedAtOnceIfLastEndpointIsLeaving(t *testing.T) {
	ts := startTestServer(t, 1)
	ts.endpoints[0].SetLeaving(true)
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	assert.Equal(t, status, http.StatusOK)
	startedAt := time.Now()
	status, _, header := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "1.000")
	assert.Assert(t, time.Since(startedAt) < 200*time.Millisecond)
	assert.Equal(t, ts.endpoints[0].RequestCount(), 1)
}

// Guards against a request that is sent after its host heard, while it asked for a
// permit, that the endpoint is leaving.
func TestPermitIsNotUsedAfterEndpointSaidThatItIsLeaving(t *testing.T) {
	permits := &fakePermits{isGranted: true}
	ts := startLimitedServer(t, 1, permits)
	ts.send(http.MethodPost, "/submit/1", "a1", "")
	permits.onAsk = func() {
		ts.core.hear(steer.Notice{Endpoint: "i-0", Incarnation: 1, IsLeaving: true})
	}
	status, _, _ := ts.send(http.MethodPost, "/submit/1", "a2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, ts.runs("a2"), 0)
}

// Guards against a response of another endpoint at the address, or to another request,
// that takes an endpoint out of use.
func TestNoticeOfAnotherEndpointIsIgnored(t *testing.T) {
	ts := startTestServer(t, 1)
	header := http.Header{"Server-Leaving": {"1"}, "Attempt-Id": {"a1"}}
	e := &exchange{server: ts.server}
	e.header.AttemptID = "a1"
	e.lastSend.Endpoint = roster.Endpoint{Name: "i-0", Incarnation: 1}
	assert.Assert(t, e.matchesResponse(http.StatusMisdirectedRequest, header, true))
	header.Set("Attempt-Id", "other")
	assert.Assert(t, !e.matchesResponse(http.StatusOK, header, true))
	assert.Equal(t, ts.sendAll("b", 2), 2)
}
