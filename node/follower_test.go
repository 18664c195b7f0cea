package node

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/member"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/relay"

	"gotest.tools/v3/assert"
)

// neverBehind is the isBehind of a host that nobody tells of versions.
func neverBehind(time.Time) bool { return false }

// startFollower runs a follower that polls hosts a and b, in this order of
// preference, until the test ends. updates holds their responses.
func (rt *replicaTest) startFollower(updates map[string]relay.Update) {
	rt.t.Helper()
	sources := func() []member.Heartbeat {
		return []member.Heartbeat{{Host: "a", ControlAddress: "a"}, {Host: "b", ControlAddress: "b"}}
	}
	poll := func(_ context.Context, address string, _, _ platform.Version, _ ...string) (relay.Update, error) {
		time.Sleep(rt.intervals.pollWait)
		update := updates[address]
		update.ReceivedAt = time.Now()
		return update, nil
	}
	rt.run(newFollower(slog.New(slog.DiscardHandler), rt.replica, rt.intervals, sources, neverBehind, poll).loop)
}

func configChanges(version int, age time.Duration) relay.Changes {
	row := platform.Row{Key: platform.ConfigKey, Value: []byte(fake.VersionedConfig(version)), Version: platform.Version{Number: uint64(version)}}
	return relay.Changes{Rows: []platform.Row{row}, Version: platform.Version{Number: uint64(version)}, Age: age}
}

// Guards against a host that keeps an old configuration because it follows a
// reader with current endpoints and outdated operator's rows.
func TestFollowerLeavesReaderWithOutdatedConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newReplicaTest(t)
		endpoints := relay.Changes{Version: platform.Version{Number: 2}}
		rt.startFollower(map[string]relay.Update{
			"a": {Operator: configChanges(1, rt.intervals.operator.maxAge+time.Millisecond), Endpoints: endpoints},
			"b": {Operator: configChanges(2, 0), Endpoints: endpoints},
		})
		time.Sleep(applyTime / 2)
		assert.Equal(t, rt.configVersion(), uint64(2))
	})
}
