package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"filberthold/model"
	"filberthold/route"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// fakePermits answers permit requests as another host would.
type fakePermits struct {
	isGranted bool
	err       error
	asked     int
	// onAsk is called at each request for a permit, if it is set.
	onAsk func()
	news  []steer.LimitNews
}

func (p *fakePermits) AskPermit(_ context.Context, request steer.PermitRequest) (steer.Permit, error) {
	p.asked++
	if p.onAsk != nil {
		p.onAsk()
	}
	permit := request.Refusal()
	permit.IsGranted = p.isGranted
	return permit, p.err
}

func (p *fakePermits) SendLimitNews(_ model.HostName, news steer.LimitNews) {
	p.news = append(p.news, news)
}

// startLimitedServer returns a server whose endpoints name a limit and are owned by
// another host.
func startLimitedServer(t *testing.T, endpoints int, permits *fakePermits) *testServer {
	t.Helper()
	ts := startTestServer(t, endpoints)
	ts.core.SetPermits(permits)
	ts.core.SetHosts(map[model.RegionName][]model.HostName{"north": {"owner"}})
	for _, endpoint := range ts.endpoints {
		endpoint.SetRateLimit("2.5")
	}
	return ts
}

// Guards against a request that is sent to a limited endpoint without a permit, and
// against one that is not refused as not run, with a Retry-After, if no endpoint may
// get it.
func TestNothingIsSentWithoutPermit(t *testing.T) {
	for name, err := range map[string]error{"the owner refuses": nil, "the owner does not answer": errors.New("no answer")} {
		t.Run(name, func(t *testing.T) {
			permits := &fakePermits{err: err}
			ts := startLimitedServer(t, 1, permits)
			status, _, _ := ts.send(http.MethodPost, "/submit/1", "a1", "content")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, len(permits.news), 1)
			status, _, header := ts.send(http.MethodPost, "/submit/1", "a2", "content")
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, ts.runs("a2"), 0)
			assert.Assert(t, permits.asked > 0)
			retryAfter, parseErr := strconv.ParseFloat(header.Get("Retry-After"), 64)
			assert.NilError(t, parseErr)
			assert.Assert(t, retryAfter > 0)
		})
	}
}

// Guards against a request that fails although an endpoint without a limit can
// serve it.
func TestRequestWithoutPermitUsesOtherEndpoint(t *testing.T) {
	permits := &fakePermits{}
	ts := startLimitedServer(t, 2, permits)
	ts.endpoints[0].SetRateLimit("")
	for _, attempt := range []string{"a1", "a2", "a3", "a4"} {
		status, _, _ := ts.send(http.MethodPost, "/submit/1", attempt, "content")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Assert(t, ts.endpoints[1].RequestCount() <= 1)
}

// Guards against a limited endpoint that gets no request although the owner grants
// the permit, and against a limit that stays in force at this host and unknown at
// the owner after a response without one.
func TestGrantedPermitIsUsed(t *testing.T) {
	permits := &fakePermits{isGranted: true}
	ts := startLimitedServer(t, 1, permits)
	for _, attempt := range []string{"a1", "a2"} {
		status, _, _ := ts.send(http.MethodPost, "/submit/1", attempt, "content")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, permits.asked, 1)
	ts.endpoints[0].SetRateLimit("")
	for _, attempt := range []string{"a3", "a4"} {
		status, _, _ := ts.send(http.MethodPost, "/submit/1", attempt, "content")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, permits.asked, 2)
	assert.Equal(t, len(permits.news), 2)
	assert.Assert(t, !permits.news[1].Limit.IsSet)
}

// Guards against a submit that is sent to another endpoint after its caller has
// left while the host asked for a permit.
func TestNothingIsSentAfterCallerLeftWithoutPermit(t *testing.T) {
	permits := &fakePermits{}
	ts := startLimitedServer(t, 2, permits)
	ts.send(http.MethodPost, "/submit/1", "a1", "content")
	ctx, cancel := context.WithCancel(t.Context())
	permits.onAsk = cancel
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/submit/1", strings.NewReader("content"))
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", "a2")
	request.Header.Set("Affinity-Key", "7")
	ts.server.handleRequest(httptest.NewRecorder(), request)
	assert.Equal(t, permits.asked, 1)
	assert.Equal(t, ts.runs("a2"), 0)
}

// Guards against a request that is rejected because the refusal of a permit came
// late, although an endpoint without a limit can serve it.
func TestLateRefusalOfPermitUsesOtherEndpoint(t *testing.T) {
	permits := &fakePermits{}
	ts := startLimitedServer(t, 2, permits)
	// Without a latency objective no request waits for a slot, so each refusal is late.
	changed := ts.route("/submit/", model.Submit)
	changed.LatencyObjective = 0
	ts.core.SetConfig(route.NewConfig(2, []route.Route{changed}, []route.Service{{Name: "s"}}, route.Limits{}))
	ts.send(http.MethodPost, "/submit/1", "a1", "content")
	status, _, _ := ts.send(http.MethodPost, "/submit/1", "a2", "content")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, permits.asked, 1)
}
