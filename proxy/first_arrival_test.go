package proxy

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"filberthold/model"
	"filberthold/platform/fake"
	"filberthold/route"

	"gotest.tools/v3/assert"
)

// startWithoutCredit starts a server that may not retry. It returns the numbers of the
// endpoints in the order in which the first request of the tests prefers them, by trying
// them one after the other.
func startWithoutCredit(t *testing.T, endpoints int) (*testServer, []int) {
	t.Helper()
	ts := startTestServer(t, endpoints)
	_, first, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
	var order []int
	for i := range ts.endpoints {
		if first == fmt.Sprint("i-", i) {
			order = append([]int{i}, order...)
			continue
		}
		order = append(order, i)
	}
	ts.drainCredit()
	return ts, order
}

func (s *testServer) drainCredit() {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	for s.core.budgets["s"].Spend() {
	}
}

// Guards against requests that are refused for lack of credit although no endpoint has got
// them: their first attempt found no connection, so the next one is the first arrival.
func TestAttemptAfterUnsentOneNeedsNoCredit(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			path := map[string]string{http.MethodGet: "/read/1", http.MethodPost: "/submit/1"}[method]
			ts, order := startWithoutCredit(t, 2)
			ts.stopEndpoint(ts.endpoints[order[0]])
			status, _, _ := ts.send(method, path, "a2", "")
			assert.Equal(t, status, http.StatusOK)
			ts.core.mu.Lock()
			defer ts.core.mu.Unlock()
			assert.Equal(t, ts.core.retryUse("s").chosen, uint64(0))
			assert.Equal(t, ts.core.outstandingRetries("s"), 0)
		})
	}
}

// Guards against repeats without credit: an attempt arrived after one that was not sent,
// and the next one is a repeat.
func TestRepeatAfterUnsentAttemptNeedsCredit(t *testing.T) {
	ts, order := startWithoutCredit(t, 3)
	ts.stopEndpoint(ts.endpoints[order[0]])
	for _, i := range order[1:] {
		ts.endpoints[i].SetBehaviour(fake.Shed)
	}
	ts.setMaxAttempts(3)
	before := ts.arrivals()
	status, _, _ := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, ts.arrivals()-before, 1)
	assert.Equal(t, ts.rejectedRetries(), uint64(1))
}

// Guards against endless attempts at endpoints that nobody can reach: attempts without
// credit count towards those of the route.
func TestUnsentAttemptsAreBounded(t *testing.T) {
	ts, _ := startWithoutCredit(t, 3)
	lines := ts.recordLog()
	for _, endpoint := range ts.endpoints {
		ts.stopEndpoint(endpoint)
	}
	status, _, header := ts.send(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	ended, attempts := lines.ended(t, "a2")
	assert.Equal(t, ended["attempts"], 2.0)
	assert.Equal(t, len(attempts), 2)
}

// stopEndpoint stops an endpoint, so that nobody accepts connections at its address.
func (s *testServer) stopEndpoint(endpoint *fake.Endpoint) {
	s.t.Helper()
	assert.NilError(s.t, endpoint.Close())
	s.server.pool.CloseIdle(netip.MustParseAddrPort(endpoint.Address()))
}

func (s *testServer) setMaxAttempts(count int) {
	read := s.route("/read/", model.Read)
	read.MaxAttempts = count
	s.core.SetConfig(route.NewConfig(2, []route.Route{read}, []route.Service{{Name: "s", ColdRate: 2}}, route.Limits{MaxBodyBytes: 1 << 20}))
}

func (s *testServer) arrivals() int {
	total := 0
	for _, endpoint := range s.endpoints {
		total += endpoint.RequestCount()
	}
	return total
}

func (s *testServer) rejectedRetries() uint64 {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	return s.core.retryUse("s").rejected
}
