package proxy

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform/fake"
	"filberthold/roster"
	"filberthold/route"
	"filberthold/steer"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// site is a server with endpoints behind it.
type site struct {
	t         *testing.T
	core      *Core
	server    *Server
	address   string
	endpoints []*fake.Endpoint
}

func noAge() time.Duration { return 0 }

func startSite(t *testing.T, endpoints int) *site {
	t.Helper()
	regions := map[model.ZoneName]model.RegionName{"za": "north"}
	made := &site{t: t, core: NewCore("h", "za", regions, DefaultRetryLimit())}
	made.server = NewServer(slog.New(slog.DiscardHandler), made.core, NewMetrics(prometheus.NewRegistry()), noAge)
	made.core.SetConfig(route.NewConfig(1, []route.Route{
		made.route("/read/", model.Read), made.route("/submit/", model.Submit), made.route("/export/", model.Export),
	}, []route.Service{{Name: "s", ColdRate: 2}}, route.Limits{MaxBodyBytes: 1 << 20}))
	for i := range endpoints {
		made.addEndpoint(i)
	}
	made.core.MarkEndpointsLoaded()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	made.address = listener.Addr().String()
	go func() { _ = made.server.Run(listener) }()
	t.Cleanup(func() { _ = made.server.Stop(t.Context()) })
	return made
}

func (s *site) route(prefix string, class model.Class) route.Route {
	return route.Route{
		Name: prefix, Domain: "a.example", Prefix: prefix, Class: class, Timeout: 2 * time.Second,
		LatencyObjective: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, HasAffinity: true,
	}
}

func (s *site) addEndpoint(i int) {
	endpoint, err := fake.StartEndpoint(fmt.Sprintf("i-%d", i), "127.0.0.1:0")
	assert.NilError(s.t, err)
	go endpoint.Run()
	s.t.Cleanup(func() { _ = endpoint.Close() })
	s.endpoints = append(s.endpoints, endpoint)
	s.core.ApplyEntry(roster.Entry{
		Endpoint: model.EndpointName(fmt.Sprintf("i-%d", i)), Service: "s",
		Address: netip.MustParseAddrPort(endpoint.Address()), Zone: "za", Slots: 3, State: roster.Ready, Sequence: 1, Incarnation: 1,
	})
}

func (s *site) behave(behaviour fake.Behaviour) {
	for _, endpoint := range s.endpoints {
		endpoint.SetBehaviour(behaviour)
	}
}

// ask sends a request and returns its status, body and headers.
func (s *site) ask(method, path, attempt, body string) (int, string, http.Header) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.address+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Affinity-Key", "7")
	request.Header.Set("Deadline-Ms", "1500")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	if response.Close {
		// net/http takes the header out when it reads the response.
		response.Header.Set("Connection", "close")
	}
	return response.StatusCode, string(content), response.Header
}

func (s *site) runs(attempt string) int {
	sum := 0
	for _, endpoint := range s.endpoints {
		sum += endpoint.Runs(attempt)
	}
	return sum
}

func TestRequestIsServed(t *testing.T) {
	for _, path := range []string{"/read/1", "/submit/1", "/export/1"} {
		served := startSite(t, 2)
		status, body, header := served.ask(http.MethodPost, path, "a1", "content")
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, strings.HasPrefix(body, "i-"))
		assert.Equal(t, header.Get("Server-Seal"), "s")
		assert.Equal(t, header.Get("Attempt-Id"), "a1")
	}
}

// A complaint that an endpoint has run must not be sent to another one, and
// must not be refused as not run.
func TestSubmitRunsAtMostOnce(t *testing.T) {
	for name, behaviour := range map[string]fake.Behaviour{
		"connection reset": fake.Reset, "answer truncated": fake.Truncate, "answer not signed": fake.Unsigned,
	} {
		t.Run(name, func(t *testing.T) {
			served := startSite(t, 3)
			served.behave(behaviour)
			status, _, _ := served.ask(http.MethodPost, "/submit/1", "a1", "content")
			assert.Equal(t, status, http.StatusBadGateway)
			assert.Equal(t, served.runs("a1"), 1)
		})
	}
}

// A refusal promises that the request has not run and tells when to come back.
func TestShedSubmitIsRefusedTruthfully(t *testing.T) {
	served := startSite(t, 3)
	served.behave(fake.Shed)
	status, _, header := served.ask(http.MethodPost, "/submit/1", "a1", "content")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, served.runs("a1"), 0)
}

// Attempts are bounded by the route and by the budget of retries.
func TestAttemptsAreBounded(t *testing.T) {
	served := startSite(t, 4)
	served.behave(fake.Reset)
	for i := range 20 {
		served.ask(http.MethodGet, "/read/1", fmt.Sprintf("a%d", i), "")
	}
	seen := 0
	for _, endpoint := range served.endpoints {
		seen += endpoint.RequestCount()
	}
	assert.Assert(t, seen <= 20+3, "%d arrivals for 20 requests", seen)
}

// The failure of an endpoint is the endpoint's answer and goes to the caller
// as it is, if no other endpoint may be asked.
func TestFailureIsPassedOn(t *testing.T) {
	served := startSite(t, 1)
	served.behave(fake.Fail)
	status, body, _ := served.ask(http.MethodPost, "/submit/1", "a1", "content")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, body, "failed")
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	served := startSite(t, 1)
	status, _, _ := served.ask(http.MethodGet, "/none/", "a1", "")
	assert.Equal(t, status, http.StatusNotFound)
}

// A host without a configuration does not know which routes exist.
func TestHostWithoutConfigurationRefuses(t *testing.T) {
	bare := &site{t: t, core: NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, DefaultRetryLimit())}
	bare.server = NewServer(slog.New(slog.DiscardHandler), bare.core, NewMetrics(prometheus.NewRegistry()), noAge)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	bare.address = listener.Addr().String()
	go func() { _ = bare.server.Run(listener) }()
	t.Cleanup(func() { _ = bare.server.Stop(t.Context()) })
	status, _, header := bare.ask(http.MethodGet, "/read/1", "a1", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
}

func TestTooLongBodyIsRefused(t *testing.T) {
	served := startSite(t, 1)
	status, _, _ := served.ask(http.MethodPost, "/submit/1", "a1", strings.Repeat("x", 1<<20+1))
	assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, served.runs("a1"), 0)
}

// A host that is about to stop lets what it has begun end, and sends callers
// to other hosts.
func TestLeavingHostEndsWhatItHasBegun(t *testing.T) {
	served := startSite(t, 1)
	served.endpoints[0].SetLatency(200 * time.Millisecond)
	results := make(chan int, 1)
	go func() {
		status, _, _ := served.ask(http.MethodPost, "/submit/1", "a1", "content")
		results <- status
	}()
	waitFor(t, func() bool { return served.endpoints[0].RequestCount() == 1 })
	served.server.DisableKeepAlives()
	served.server.Refuse()
	status, _, header := served.ask(http.MethodGet, "/read/1", "a2", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Connection"), "close")
	assert.NilError(t, served.server.Stop(t.Context()))
	assert.Equal(t, <-results, http.StatusOK)
}

// A request that finds every slot taken waits for one instead of being sent
// away.
func TestRequestWaitsForASlot(t *testing.T) {
	served := startSite(t, 1)
	served.endpoints[0].SetLatency(150 * time.Millisecond)
	statuses := make(chan int, 6)
	for i := range cap(statuses) {
		go func() {
			status, _, _ := served.ask(http.MethodGet, "/read/1", fmt.Sprintf("a%d", i), "")
			statuses <- status
		}()
	}
	for range cap(statuses) {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}

// A retry that waits would be sent without its place in the budget.
func TestRetryDoesNotWait(t *testing.T) {
	served := startSite(t, 1)
	decision := served.core.chooseOrWait(t.Context(), steer.Query{
		Service: "s", Attempt: "a1", Route: served.route("/read/", model.Read), Tried: []model.EndpointName{"i-0"},
	}, time.Now().Add(time.Hour))
	_, isRejected := decision.(steer.Reject)
	assert.Assert(t, isRejected)
}

// A long response that is not passed on must not keep its connection open.
func TestUnusedResponseIsClosed(t *testing.T) {
	served := startSite(t, 1)
	served.behave(fake.UnsignedEndless)
	status, _, _ := served.ask(http.MethodPost, "/submit/1", "a1", "content")
	assert.Equal(t, status, http.StatusBadGateway)
	waitFor(t, func() bool { return served.endpoints[0].OpenConnections() == 0 })
}
