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
	ledger  *fakes.Ledger
	network *fakes.Network
	options upstrm.Options
	client  *upstrm.Client
}

// newPair returns a stand-in at the address e:1 and a client for it.
func newPair(t *testing.T, class model.Class) *pair {
	t.Helper()
	made := &pair{t: t, class: class, ledger: fakes.NewLedger(), network: fakes.NewNetwork()}
	endpoint := model.NewEndpoint(model.EndpointParts{Name: "e", Address: "e:1", Slots: 3, Connections: 9})
	made.Upstream = fakes.NewUpstream(endpoint, class, made.ledger, time.Millisecond)
	server := &http.Server{Handler: made.Upstream}
	listener := made.Listener(made.network.Listen("e:1"))
	go func() { _ = server.Serve(listener) }()
	made.options = upstrm.DefaultOptions("a")
	made.options.Dial = made.network.Dial
	made.client = upstrm.NewClientWith(made.options)
	t.Cleanup(func() { made.client.Close(); _ = server.Close() })
	return made
}

// do sends a call with a key and returns its body.
func (p *pair) do(key string) (string, error) {
	method := http.MethodGet
	if p.class == model.Submit {
		method = http.MethodPost
	}
	reply, err := p.client.Do(p.t.Context(), upstrm.Call{
		Class: p.class, Address: "e:1", Method: method, Path: "/x",
		Header: http.Header{"Idempotency-Key": {key}}, Deadline: time.Now().Add(time.Minute),
	})
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

// Guards against the replay of net/http: it sends a request again, unseen by
// placement, when a reused connection breaks and the request has an
// Idempotency-Key header or is a GET.
func TestRequestIsNotReplayedOnBrokenConnection(t *testing.T) {
	for _, class := range model.Classes() {
		synctest.Test(t, func(t *testing.T) {
			upstream := newPair(t, class)
			_, err := upstream.do("first")
			assert.NilError(t, err)
			upstream.CutAfterExecution(1)
			_, err = upstream.do("ours")
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
				upstream.CutAfterExecution(1)
			}
			assert.Equal(t, upstream.ledger.Executions("plain"), 2, "a plain transport does not replay any more")
		})
	}
}

// Guards against requests that hang on a connection that went silent while it
// was idle, and against a submit that meets such a connection at all.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	for class, wait := range map[model.Class]time.Duration{
		model.Read: 2 * time.Second, model.Export: 10 * time.Second, model.Submit: 0,
	} {
		synctest.Test(t, func(t *testing.T) {
			upstream := newPair(t, class)
			_, err := upstream.do("first")
			assert.NilError(t, err)
			upstream.Silence()
			start := time.Now()
			_, err = upstream.do("second")
			if wait > 0 {
				var silent *upstrm.SilentError
				assert.Assert(t, errors.As(err, &silent), "%s: %v", class, err)
				assert.Equal(t, time.Since(start), wait, "%s", class)
				_, err = upstream.do("third")
			}
			assert.NilError(t, err, "%s", class)
			assert.Equal(t, upstream.network.Dials(), 2, "%s", class)
		})
	}
}

// Guards against idle connections that are kept, and go silent, for long.
func TestConnectionsAreReplacedByAge(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		count int
		dials int
	}{
		{"idle too long", 3 * time.Second, 2, 2},
		{"in use", time.Second, 30, 1},
		{"in use beyond the greatest age", time.Second, 33, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := newPair(t, model.Read)
				for range test.count {
					_, err := upstream.do("k")
					assert.NilError(t, err)
					time.Sleep(test.pause)
				}
				assert.Equal(t, upstream.network.Dials(), test.dials)
			})
		})
	}
}

// Guards against a body that is waited for without end, and against a slow
// body that counts as silent although it makes progress.
func TestBodiesHaveProgressDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newPair(t, model.Export)
		upstream.Configure(fakes.Behaviour{ExportBytes: 1 << 18, ExportRate: 1 << 13})
		body, err := upstream.do("slow")
		assert.NilError(t, err)
		assert.Assert(t, body == string(fakes.ExportContent("/x", 1<<18)))
		upstream.Configure(fakes.Behaviour{ExportBytes: 1 << 18, StallAfter: 1 << 17})
		start := time.Now()
		body, err = upstream.do("stalled")
		var silent *upstrm.SilentError
		assert.Assert(t, errors.As(err, &silent), "%v", err)
		assert.Equal(t, len(body), 1<<17)
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
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
	cases := []struct {
		name       string
		dial       func(p *pair, ctx context.Context, network, address string) (net.Conn, error)
		notStarted bool
	}{
		{"refused", func(p *pair, ctx context.Context, network, _ string) (net.Conn, error) {
			return p.network.Dial(ctx, network, "nowhere:1")
		}, true},
		{"no byte accepted", func(p *pair, ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := p.network.Dial(ctx, network, address)
			return &faultyConn{Conn: inner}, err
		}, true},
		{"one byte accepted", func(p *pair, ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := p.network.Dial(ctx, network, address)
			return &faultyConn{Conn: inner, accepts: 1}, err
		}, false},
		{"dialled until after the deadline", func(p *pair, ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(2 * time.Minute)
			inner, err := p.network.Dial(ctx, network, address)
			return &faultyConn{Conn: inner, accepts: 1}, err
		}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := newPair(t, model.Submit)
				upstream.options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					return test.dial(upstream, ctx, network, address)
				}
				upstream.client = upstrm.NewClientWith(upstream.options)
				_, err := upstream.do("k")
				var notStarted *upstrm.NotStartedError
				assert.Equal(t, errors.As(err, &notStarted), test.notStarted, "%v", err)
				assert.Equal(t, upstream.ledger.Executions("k"), 0)
			})
		})
	}
}
