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

type pair struct {
	*fakes.Upstream
	t       *testing.T
	class   model.Class
	ledger  *fakes.Counters
	network *fakes.Network
	options upstrm.Options
	client  *upstrm.Client
}

// newPair returns a stand-in at the address e:1 and a client for it.
func newPair(t *testing.T, class model.Class) *pair {
	t.Helper()
	made := &pair{t: t, class: class, ledger: fakes.NewCounters(), network: fakes.NewNetwork()}
	endpoint := model.NewEndpoint(model.EndpointParts{Name: "e", Address: "e:1", Slots: 3, Connections: 9})
	made.Upstream = fakes.NewUpstream(endpoint, class, made.ledger, time.Millisecond)
	t.Cleanup(made.network.Serve("e:1", made.Upstream))
	made.options = upstrm.DefaultOptions("a")
	made.options.Dial = made.network.Dial
	made.client = upstrm.NewClientWithOptions(made.options)
	t.Cleanup(made.client.Close)
	return made
}

// do sends a call with a key and reads the reply.
func (p *pair) do(key string) error {
	reply, err := p.client.Do(p.t.Context(), upstrm.Call{
		Class: p.class, Address: "e:1", Method: http.MethodGet, Path: "/x",
		Header: http.Header{"Idempotency-Key": {key}}, Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, reply.Body)
	return errors.Join(err, reply.Body.Close())
}

// Guards against the replay of net/http: it sends a request again, unseen by
// placement, when a reused connection breaks and the request has an
// Idempotency-Key header or is a GET.
func TestRequestIsNotReplayedOnBrokenConnection(t *testing.T) {
	for _, class := range model.Classes() {
		synctest.Test(t, func(t *testing.T) {
			upstream := newPair(t, class)
			assert.NilError(t, upstream.do("first"))
			upstream.AbortAfterExecution(1)
			err := upstream.do("ours")
			assert.Assert(t, upstrm.IsClosedByUpstream(err), "%s: %v", class, err)
			assert.Equal(t, upstream.ledger.Executions("ours"), 1, "%s", class)

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
			assert.Equal(t, upstream.ledger.Executions("plain"), 2, "a plain transport does not replay any more")
		})
	}
}

// Guards against requests that hang on a connection that went silent while it
// was idle, and against a submit that meets such a connection at all.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	for class, wait := range map[model.Class]time.Duration{model.Read: 2 * time.Second, model.Export: 10 * time.Second, model.Submit: 0} {
		synctest.Test(t, func(t *testing.T) {
			upstream := newPair(t, class)
			assert.NilError(t, upstream.do("first"))
			upstream.BlackholeConnections()
			start := time.Now()
			err := upstream.do("second")
			if wait > 0 {
				var silent *upstrm.StallError
				assert.Assert(t, errors.As(err, &silent), "%s: %v", class, err)
				assert.Equal(t, time.Since(start), wait, "%s", class)
				err = upstream.do("third")
			}
			assert.NilError(t, err, "%s", class)
			assert.Equal(t, upstream.network.Dials(), 2, "%s", class)
		})
	}
}

// Guards against idle connections that are kept, and go silent, for long.
func TestConnectionsAreReplacedByAge(t *testing.T) {
	for _, test := range []struct {
		pause        time.Duration
		count, dials int
	}{{3 * time.Second, 2, 2}, {time.Second, 30, 1}, {time.Second, 33, 2}} {
		synctest.Test(t, func(t *testing.T) {
			upstream := newPair(t, model.Read)
			for range test.count {
				assert.NilError(t, upstream.do("k"))
				time.Sleep(test.pause)
			}
			assert.Equal(t, upstream.network.Dials(), test.dials, "%d requests every %v", test.count, test.pause)
		})
	}
}

// faultyConn fails its first write after some bytes.
type faultyConn struct {
	net.Conn
	accepts int
}

func (c *faultyConn) Write([]byte) (int, error) { return c.accepts, errors.New("broken") }

// Guards against evidence that is wrong in either direction: a request whose
// first byte was accepted may run, one whose connection accepted none did not
// start, and none is written after its deadline.
func TestEvidenceThatNothingWasWritten(t *testing.T) {
	for _, test := range []struct {
		name, address string
		dialTime      time.Duration
		accepts       int
		notStarted    bool
	}{
		{"refused", "nowhere:1", 0, 0, true},
		{"no byte accepted", "e:1", 0, 0, true},
		{"one byte accepted", "e:1", 0, 1, false},
		{"dialled until after the deadline", "e:1", 2 * time.Minute, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := newPair(t, model.Submit)
				upstream.options.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
					time.Sleep(test.dialTime)
					inner, err := upstream.network.Dial(ctx, network, test.address)
					return &faultyConn{Conn: inner, accepts: test.accepts}, err
				}
				upstream.client = upstrm.NewClientWithOptions(upstream.options)
				err := upstream.do("k")
				var notStarted *upstrm.NotStartedError
				assert.Equal(t, errors.As(err, &notStarted), test.notStarted, "%v", err)
				assert.Equal(t, upstream.ledger.Executions("k"), 0)
			})
		})
	}
}

// Guards against a probe that fails, or hangs, because of a connection that
// went silent, or that takes the word of a draining endpoint for a drain.
func TestProbesTellOfTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newPair(t, model.Read)
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
