package node

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/fakes"
	"filberthold/member"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/relay"

	"gotest.tools/v3/assert"
)

const (
	// smallLink is the bandwidth of a host's link in bytes per second.
	smallLink = 10_000_000 / 8
	// largeFollowers is the number of hosts that follow one reader.
	largeFollowers = 22
	// largeApplyTime is the time within which a configuration must be in force.
	largeApplyTime = 4 * time.Second
)

// startRelay serves the replica's rows to followers over a link until the test ends.
func (rt *replicaTest) startRelay(link *fakes.Link) {
	rt.t.Helper()
	handler := relay.NewHandler(slog.New(slog.DiscardHandler), rt.replica.operator, rt.replica.endpoints, rt.core.Removals, rt.intervals.pollWait)
	server := &httpServer{http: &http.Server{Handler: handler}, listener: link}
	rt.run(server.run)
}

// startFollowerOver runs a follower of the host at the other end of a link until the
// test ends.
func (rt *replicaTest) startFollowerOver(link *fakes.Link) {
	rt.t.Helper()
	sources := func() []member.Heartbeat { return []member.Heartbeat{{Host: "reader", ControlAddress: "reader:1"}} }
	poll := relay.NewClientOver(rt.intervals.pollWait, link.DialContext).Poll
	rt.run(newFollower(slog.New(slog.DiscardHandler), rt.replica, rt.intervals, sources, neverBehind, poll).loop)
}

// Guards against routes that are answered with 404 although they were added in time:
// each transfer of a large configuration to a follower was ended before it was
// complete, and begun again.
func TestLargeConfigurationIsInForceInTimeOverSmallLink(t *testing.T) {
	for _, routes := range []int{1400, 10000} {
		t.Run(fmt.Sprint(routes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := newIntervals(platform.Settings{ConfigApplyTime: largeApplyTime, DrainTime: largeApplyTime})
				reader := newReplicaTest(t)
				reader.intervals = limits
				reader.startReader(func(platform.Table) bool { return true })
				link := fakes.NewLink(smallLink)
				reader.startRelay(link)
				var followers []*replicaTest
				for range largeFollowers {
					follower := newReplicaTest(t)
					follower.intervals = limits
					follower.startFollowerOver(link)
					followers = append(followers, follower)
				}
				time.Sleep(largeApplyTime)
				reader.store.Put(platform.OperatorTable, platform.ConfigKey, fake.LargeConfig(2, routes))
				time.Sleep(largeApplyTime)
				for _, follower := range followers {
					assert.Equal(t, follower.configVersion(), uint64(2))
				}
			})
		})
	}
}

// Guards against a configuration that a host never gets from the store because each
// call for it ends while its response arrives.
func TestLargeConfigurationArrivesFromStoreOverSmallLink(t *testing.T) {
	for _, transfer := range []time.Duration{applyTime / 2, applyTime * 7 / 10} {
		t.Run(transfer.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := newReplicaTest(t)
				rt.startReader(func(platform.Table) bool { return true })
				time.Sleep(applyTime)
				config := fake.LargeConfig(2, 1400)
				// The store returns the value in base64.
				encodedBytes := len(config) * 4 / 3
				rt.transport.SetBandwidth(int(float64(encodedBytes) / transfer.Seconds()))
				rt.store.Put(platform.OperatorTable, platform.ConfigKey, config)
				time.Sleep(applyTime)
				assert.Equal(t, rt.configVersion(), uint64(2))
			})
		})
	}
}

// Guards against rows that pass for current although their transfer took longer than
// a change may take: a host would deny requests for good that a change meanwhile
// allows.
func TestAgeOfRowsIncludesTheirTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const transfer = 3 * time.Second
		config := fake.LargeConfig(2, 1400)
		rt := newReplicaTest(t)
		r := rt.newReader(func(platform.Table) bool { return true })
		assert.NilError(t, r.readOperator(t.Context()))
		rt.transport.SetBandwidth(int(float64(len(config)*4/3) / transfer.Seconds()))
		rt.store.Put(platform.OperatorTable, platform.ConfigKey, config)
		assert.NilError(t, r.readOperator(t.Context()))
		assert.Equal(t, rt.configVersion(), uint64(2))
		assert.Assert(t, rt.replica.operator.Age(time.Now()) >= transfer)
	})
}
