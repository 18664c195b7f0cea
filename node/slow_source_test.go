package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/fakes"
	"filberthold/member"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/relay"
	"filberthold/roster"

	"gotest.tools/v3/assert"
)

// fastLink is a bandwidth in bytes per second at which transfers take no time.
const fastLink = 1 << 30

// currentSource is a host whose rows are always confirmed.
type currentSource struct {
	operator, endpoints *relay.Cache
	version             platform.Version
	poll                pollFunc
}

// newCurrentSource returns a source with a configuration of version 1 that serves until the
// test ends.
func (rt *replicaTest) newCurrentSource(era uint64) *currentSource {
	rt.t.Helper()
	s := &currentSource{operator: relay.NewCache(), endpoints: relay.NewCache(), version: platform.Version{Era: era}}
	handler := relay.NewHandler(slog.New(slog.DiscardHandler), s.operator, s.endpoints, func() []roster.Removal { return nil }, rt.intervals.pollWait)
	client := rt.serve(handler)
	s.poll = func(ctx context.Context, address string, operatorAfter, endpointsAfter platform.Version, watched ...string) (relay.Update, error) {
		s.operator.Confirm(s.operator.Version(), time.Now())
		s.endpoints.Confirm(s.endpoints.Version(), time.Now())
		return client.Poll(ctx, address, operatorAfter, endpointsAfter, watched...)
	}
	s.putConfig(1)
	return s
}

func (s *currentSource) putConfig(version int) {
	s.version = s.version.Next()
	s.operator.Put(platform.Row{Key: platform.ConfigKey, Value: []byte(fake.VersionedConfig(version)), Version: s.version}, true)
	s.operator.Confirm(s.version, time.Now())
	s.endpoints.Confirm(s.version, time.Now())
}

// serve serves polls until the test ends and returns a client for them.
func (rt *replicaTest) serve(handler http.Handler) *relay.Client {
	rt.t.Helper()
	link := fakes.NewLink(fastLink)
	server := &http.Server{Handler: handler}
	done := make(chan error, 1)
	go func() { done <- server.Serve(link) }()
	rt.t.Cleanup(func() {
		assert.NilError(rt.t, server.Close())
		assert.ErrorIs(rt.t, <-done, http.ErrServerClosed)
	})
	return relay.NewClientOver(rt.intervals.pollWait, link.DialContext)
}

// trickle responds with 2 KB a second, without end. It is just above the least progress of
// a transfer.
func trickle(writer http.ResponseWriter, request *http.Request) {
	for request.Context().Err() == nil {
		if _, err := writer.Write(make([]byte, 1<<10)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		sleep(request.Context(), 500*time.Millisecond)
	}
}

// silent never responds.
func silent(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

// uselessSources returns, by name, sources that are alive and deliver nothing.
func uselessSources() map[string]func(rt *replicaTest) pollFunc {
	return map[string]func(rt *replicaTest) pollFunc{
		"silent":   func(rt *replicaTest) pollFunc { return rt.serve(http.HandlerFunc(silent)).Poll },
		"trickles": func(rt *replicaTest) pollFunc { return rt.serve(http.HandlerFunc(trickle)).Poll },
		"outdated": func(rt *replicaTest) pollFunc {
			source := rt.newCurrentSource(2)
			return func(ctx context.Context, address string, operatorAfter, endpointsAfter platform.Version, watched ...string) (relay.Update, error) {
				update, err := source.poll(ctx, address, operatorAfter, endpointsAfter, watched...)
				update.Operator.Age, update.Endpoints.Age = time.Minute, time.Minute
				return update, err
			}
		},
		"earlier era":          func(rt *replicaTest) pollFunc { return rt.newCurrentSource(1).poll },
		"confirms old version": func(rt *replicaTest) pollFunc { return rt.newCurrentSource(2).poll },
	}
}

// Guards against a host that has no access to the store and gets no configuration, because
// it waits for a host which is alive and never delivers while another one would.
func TestHostLeavesSourceThatDeliversNothing(t *testing.T) {
	for name, newUseless := range uselessSources() {
		for offset := time.Duration(0); offset < applyTime; offset += 330 * time.Millisecond {
			t.Run(fmt.Sprint(name, " ", offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rt := newReplicaTest(t)
					current := rt.newCurrentSource(2)
					polls := map[string]pollFunc{"a": newUseless(rt), "b": current.poll}
					rt.followInOrder(polls, current, "a", "b")
					time.Sleep(applyTime)
					assert.Equal(t, rt.configVersion(), uint64(1))
					for version := 2; version < 8; version++ {
						time.Sleep(3*applyTime + offset)
						current.putConfig(version)
						time.Sleep(applyTime)
						assert.Equal(t, rt.configVersion(), uint64(version))
					}
				})
			})
		}
	}
}

// Guards against a host without access to the store whose only store reader is alive and
// delivers nothing: the other hosts of its region read the store themselves, and have all.
func TestHostWithUselessReaderFollowsAnotherHost(t *testing.T) {
	for name, newUseless := range uselessSources() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := newReplicaTest(t)
				current := rt.newCurrentSource(2)
				own := member.Heartbeat{Host: "h", Region: "north", IsReady: true}
				reader := member.Heartbeat{Host: "reader", ControlAddress: "a", Region: "north", IsReady: true, IsStoreReachable: true, LinkMbps: 10}
				other := member.Heartbeat{Host: "other", ControlAddress: "b", Region: "north", IsReady: true, IsStoreReachable: true}
				sources := func() []member.Heartbeat { return member.Sources(own, []member.Heartbeat{reader, other}) }
				rt.followSources(map[string]pollFunc{"a": newUseless(rt), "b": current.poll}, current, sources)
				for version := 2; version < 8; version++ {
					time.Sleep(3 * applyTime)
					current.putConfig(version)
					time.Sleep(applyTime)
					assert.Equal(t, rt.configVersion(), uint64(version))
				}
			})
		})
	}
}

// Guards against a transfer over a small link that never ends, because other hosts are
// polled in its place.
func TestLongTransferIsNotGivenUp(t *testing.T) {
	const transferTime = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		rt := newReplicaTest(t)
		current := rt.newCurrentSource(2)
		slow := func(ctx context.Context, address string, operatorAfter, endpointsAfter platform.Version, watched ...string) (relay.Update, error) {
			sleep(ctx, transferTime)
			if err := ctx.Err(); err != nil {
				return relay.Update{}, err
			}
			return current.poll(ctx, address, operatorAfter, endpointsAfter, watched...)
		}
		rt.followInOrder(map[string]pollFunc{"a": slow, "b": slow, "c": slow}, current, "a", "b", "c")
		time.Sleep(transferTime + time.Second)
		assert.Equal(t, rt.configVersion(), uint64(1))
	})
}

// followInOrder runs a follower of hosts in order of preference until the test ends. One of
// them announces its versions.
func (rt *replicaTest) followInOrder(polls map[string]pollFunc, announcing *currentSource, order ...string) {
	rt.t.Helper()
	var sources []member.Heartbeat
	for _, name := range order {
		sources = append(sources, member.Heartbeat{Host: model.HostName(name), ControlAddress: name})
	}
	rt.followSources(polls, announcing, func() []member.Heartbeat { return sources })
}

// followSources does the same for the hosts that sources returns.
func (rt *replicaTest) followSources(polls map[string]pollFunc, announcing *currentSource, sources func() []member.Heartbeat) {
	rt.t.Helper()
	poll := func(ctx context.Context, address string, operatorAfter, endpointsAfter platform.Version, watched ...string) (relay.Update, error) {
		return polls[address](ctx, address, operatorAfter, endpointsAfter, watched...)
	}
	log := slog.New(slog.DiscardHandler)
	lags := newLagWatch(log, platform.Settings{}, rt.intervals, rt.replica, platform.NewStoreOver("store:1", rt.transport))
	rt.run(func(ctx context.Context) error {
		for ctx.Err() == nil {
			lags.observe([]member.Heartbeat{{Host: "b", OperatorVersion: announcing.operator.Version()}}, time.Now())
			sleep(ctx, expiryCheckInterval)
		}
		return nil
	})
	rt.run(newFollower(log, rt.replica, rt.intervals, sources, lags.isBehind, poll).loop)
}
