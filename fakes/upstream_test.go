package fakes_test

import (
	"context"
	"io"
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

type standIn struct {
	*fakes.Upstream
	t      *testing.T
	ledger *fakes.Ledger
	client *http.Client
}

func newStandIn(t *testing.T, class model.Class, behaviour fakes.Behaviour) *standIn {
	t.Helper()
	endpoint := model.NewEndpoint(model.EndpointParts{Name: "e", Address: "e:1", Zone: "far", Slots: 1, Connections: 9})
	ledger, network := fakes.NewLedger(), fakes.NewNetwork()
	upstream := fakes.NewUpstream(endpoint, class, ledger, 0)
	upstream.Configure(behaviour)
	server := &http.Server{Handler: upstream}
	listener := upstream.Listener(network.Listen("e:1"))
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: network.Dial, DisableCompression: true}
	t.Cleanup(func() { transport.CloseIdleConnections(); _ = server.Close() })
	return &standIn{Upstream: upstream, t: t, ledger: ledger, client: &http.Client{Transport: transport}}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *standIn) send(ctx context.Context, path string, header ...string) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://e:1"+path, http.NoBody)
	assert.NilError(s.t, err)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// run sends a request whose answer nobody reads.
func (s *standIn) run(path string) { _ = s.send(s.t.Context(), path) }

// Guards against a stand-in that executes what it says it refused, or that
// reports its drain in its health.
func TestRefusedRequestsDoNotStart(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(*standIn)
		header   []string
		isMarked bool
	}{
		{"shed", func(s *standIn) { s.Shed(1) }, nil, false},
		{"leaving", func(s *standIn) { s.Leave() }, nil, true},
		{"late", func(*standIn) {}, []string{upstrm.DeadlineHeader, "2000-01-01T00:00:00Z"}, false},
		{"no slot", func(s *standIn) { go s.run("/first") }, nil, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstream := newStandIn(t, model.Read, fakes.Behaviour{ServiceTime: time.Second})
				test.prepare(upstream)
				synctest.Wait()
				before := upstream.ledger.Started()
				refused := upstream.send(t.Context(), "/x", test.header...)
				assert.NilError(t, refused.err)
				assert.Equal(t, refused.header.Get(upstrm.NotStartedHeader), "true")
				assert.Equal(t, refused.header.Get(upstrm.LeavingHeader) == "true", test.isMarked)
				assert.Equal(t, upstream.ledger.Started(), before)
				assert.Equal(t, upstream.send(t.Context(), "/healthz").body, "ok\n")
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against cancellation that keeps a read's slot, and against one that
// ends a submit which has started.
func TestCancellationFreesTheSlotOfReadsAndExports(t *testing.T) {
	for class, freed := range map[model.Class]bool{model.Read: true, model.Submit: false, model.Export: true} {
		synctest.Test(t, func(t *testing.T) {
			upstream := newStandIn(t, class, fakes.Behaviour{ServiceTime: time.Minute, ExportBytes: 10})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.ErrorIs(t, upstream.send(ctx, "/x").err, context.DeadlineExceeded)
			synctest.Wait()
			load := upstream.send(t.Context(), "/load").body
			assert.Equal(t, strings.Contains(load, `"busySlots":0`), freed, "%s: %s", class, load)
			time.Sleep(time.Minute)
		})
	}
}

// Guards against switches of time that do nothing: cold start, stragglers,
// delays between availability zones and the lag of the load report.
func TestServiceTimesFollowTheSwitches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newStandIn(t, model.Read, fakes.Behaviour{
			ServiceTime: 10 * time.Millisecond, ColdFactor: 5, ColdPeriod: 10 * time.Second, LoadLag: 3 * time.Second,
			Delay: func(from, to model.ZoneName) time.Duration {
				return map[[2]model.ZoneName]time.Duration{{"near", "far"}: 55 * time.Millisecond}[[2]model.ZoneName{from, to}]
			},
		})
		took := func(header ...string) time.Duration {
			start := time.Now()
			assert.NilError(t, upstream.send(t.Context(), "/x", header...).err)
			return time.Since(start)
		}
		assert.Equal(t, took(), 50*time.Millisecond, "cold")
		time.Sleep(10 * time.Second)
		assert.Equal(t, took(), 10*time.Millisecond, "warm")
		assert.Equal(t, took(upstrm.ZoneHeader, "near"), 120*time.Millisecond, "far away")
		upstream.Straggle(10, time.Second)
		assert.Equal(t, took(), 100*time.Millisecond, "straggling")
		time.Sleep(time.Second)
		assert.Equal(t, took(), 10*time.Millisecond, "no longer straggling")

		upstream.Straggle(1000, time.Second)
		go upstream.run("/long")
		time.Sleep(time.Second)
		assert.Equal(t, upstream.send(t.Context(), "/load").body, `{"busySlots":0,"slots":1}`, "report is current")
		time.Sleep(3 * time.Second)
		assert.Equal(t, upstream.send(t.Context(), "/load").body, `{"busySlots":1,"slots":1}`)
		time.Sleep(time.Minute)
	})
}

// Guards against a silent connection that reports an error or carries on, and
// against an export that cannot be resumed.
func TestSilentExportsResumeOnNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newStandIn(t, model.Export, fakes.Behaviour{ExportBytes: 100_000, ExportRate: 10_000})
		time.AfterFunc(2*time.Second, upstream.Silence)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		first := upstream.send(ctx, "/x")
		assert.ErrorIs(t, first.err, context.DeadlineExceeded)
		whole := string(fakes.ExportContent("/x", 100_000))
		assert.Assert(t, len(first.body) > 0 && len(first.body) < len(whole), "%d bytes", len(first.body))
		rest := upstream.send(t.Context(), "/x", "Range", "bytes=60000-", "If-Range", `"/x"`)
		assert.NilError(t, rest.err)
		assert.Equal(t, rest.status, http.StatusPartialContent)
		assert.Assert(t, rest.body == whole[60000:])
		rest = upstream.send(t.Context(), "/x", "Range", "bytes=60000-", "If-Range", `"other"`)
		assert.NilError(t, rest.err)
		assert.Equal(t, rest.status, http.StatusOK)
		assert.Assert(t, rest.body == whole)
	})
}
