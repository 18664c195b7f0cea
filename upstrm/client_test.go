package upstrm_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/fakes"
	"filberthold/model"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

type fixture struct {
	*fakes.Upstream
	t        *testing.T
	class    model.Class
	counters *fakes.Counters
	network  *fakes.Network
	options  upstrm.Options
	client   *upstrm.Client
}

// newFixture returns a fake upstream at the address e:1 and a client for it.
func newFixture(t *testing.T, class model.Class) *fixture {
	t.Helper()
	f := &fixture{t: t, class: class, counters: fakes.NewCounters(), network: fakes.NewNetwork()}
	endpoint := model.NewEndpoint(model.EndpointSpec{Name: "e", Address: "e:1", Slots: 3, Connections: 9})
	f.Upstream = fakes.NewUpstream(endpoint, class, f.counters, time.Millisecond)
	t.Cleanup(f.network.Serve("e:1", f.Upstream))
	f.options = upstrm.DefaultOptions("a")
	f.options.Dial = f.network.Dial
	f.client = upstrm.NewClientWithOptions(f.options)
	t.Cleanup(f.client.Close)
	return f
}

// sendSubmit sends a request with an idempotency key and reads the response.
func (f *fixture) sendSubmit(key string) error {
	response, err := f.client.Do(f.t.Context(), upstrm.Request{
		Class: f.class, Address: "e:1", Method: http.MethodGet, Path: "/x",
		Header: http.Header{"Idempotency-Key": {key}}, Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Join(err, response.Body.Close())
}

// Guards against a replay by net/http, which placement does not count. net/http
// sends a request again when a reused connection fails and the request is a GET or
// has an Idempotency-Key header.
func TestRequestIsNotReplayedOnBrokenConnection(t *testing.T) {
	for _, class := range model.Classes() {
		synctest.Test(t, func(t *testing.T) {
			upstream := newFixture(t, class)
			assert.NilError(t, upstream.sendSubmit("first"))
			upstream.AbortAfterExecution(1)
			err := upstream.sendSubmit("ours")
			assert.Assert(t, upstrm.IsClosedByUpstream(err), "%s: %v", class, err)
			assert.Equal(t, upstream.counters.Executions("ours"), 1, "%s", class)

			plain := &http.Client{Transport: &http.Transport{DialContext: upstream.network.Dial}}
			defer plain.CloseIdleConnections()
			for _, key := range []string{"warm", "plain"} {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://e:1/x", strings.NewReader("b"))
				assert.NilError(t, err)
				request.Header.Set("Idempotency-Key", key)
				response, err := plain.Do(request)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, errors.Join(err, response.Body.Close()))
				upstream.AbortAfterExecution(1)
			}
			assert.Equal(t, upstream.counters.Executions("plain"), 2, "a plain transport no longer replays requests")
		})
	}
}

// Guards against requests that hang on a connection that stalled while it was
// idle, and against a submit that gets such a connection at all.
func TestStalledConnectionTimesOut(t *testing.T) {
	for class, wait := range map[model.Class]time.Duration{model.Read: 2 * time.Second, model.Export: 10 * time.Second, model.Submit: 0} {
		synctest.Test(t, func(t *testing.T) {
			upstream := newFixture(t, class)
			assert.NilError(t, upstream.sendSubmit("first"))
			upstream.BlackholeConnections()
			start := time.Now()
			err := upstream.sendSubmit("second")
			if wait > 0 {
				var stall *upstrm.StallError
				assert.Assert(t, errors.As(err, &stall), "%s: %v", class, err)
				assert.Equal(t, time.Since(start), wait, "%s", class)
				err = upstream.sendSubmit("third")
			}
			assert.NilError(t, err, "%s", class)
			assert.Equal(t, upstream.network.Dials(), 2, "%s", class)
		})
	}
}

// Guards against connections that are kept for too long, idle or in use, and may
// stall meanwhile.
func TestConnectionsAreReplacedByAge(t *testing.T) {
	for _, test := range []struct {
		pause        time.Duration
		count, dials int
	}{{3 * time.Second, 2, 2}, {time.Second, 30, 1}, {time.Second, 33, 2}} {
		synctest.Test(t, func(t *testing.T) {
			upstream := newFixture(t, model.Read)
			for range test.count {
				assert.NilError(t, upstream.sendSubmit("k"))
				time.Sleep(test.pause)
			}
			assert.Equal(t, upstream.network.Dials(), test.dials, "%d requests every %v", test.count, test.pause)
		})
	}
}

// faultyConn is a connection whose writes all fail. Each one reports that
// acceptedBytes bytes were accepted before.
type faultyConn struct {
	net.Conn
	acceptedBytes int
}

func (c *faultyConn) Write([]byte) (int, error) { return c.acceptedBytes, errors.New("broken") }

// Guards against a wrong decision whether a request was started. A request may run
// after its connection accepted the first byte. It was not started if the
// connection accepted none, and no byte is written after the deadline.
func TestRequestIsNotStartedOnlyIfNothingWasWritten(t *testing.T) {
	for _, test := range []struct {
		name, address string
		dialTime      time.Duration
		acceptedBytes int
		notStarted    bool
	}{
		{"refused", "nowhere:1", 0, 0, true},
		{"no byte accepted", "e:1", 0, 0, true},
		{"one byte accepted", "e:1", 0, 1, false},
		{"dialled until after the deadline", "e:1", 2 * time.Minute, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := newFixture(t, model.Submit)
				upstream.options.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
					time.Sleep(test.dialTime)
					inner, err := upstream.network.Dial(ctx, network, test.address)
					return &faultyConn{Conn: inner, acceptedBytes: test.acceptedBytes}, err
				}
				upstream.client = upstrm.NewClientWithOptions(upstream.options)
				err := upstream.sendSubmit("k")
				var notStarted *upstrm.NotStartedError
				assert.Equal(t, errors.As(err, &notStarted), test.notStarted, "%v", err)
				assert.Equal(t, upstream.counters.Executions("k"), 0)
			})
		})
	}
}

// Guards against a probe that fails or hangs because an idle connection stalled,
// and against a probe that fails because the endpoint is leaving.
func TestProbesReportTheEndpointNotItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newFixture(t, model.Read)
		for range 2 {
			assert.NilError(t, upstream.client.ProbeHealth(t.Context(), "e:1"))
			load, err := upstream.client.ProbeLoad(t.Context(), "e:1")
			assert.NilError(t, err)
			assert.Equal(t, load, upstrm.LoadReport{Slots: 3})
			upstream.Leave()
			upstream.BlackholeConnections()
		}
		assert.ErrorContains(t, upstream.client.ProbeHealth(t.Context(), "nowhere:1"), "refused")
	})
}
