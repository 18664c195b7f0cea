package node

import (
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/relay"
	"filberthold/roster"

	"gotest.tools/v3/assert"
)

// Guards against an evacuation that ends, and an endpoint that is dropped, because
// a read of the whole table that began earlier ends after another host's update.
func TestOlderTableDoesNotRevertNewerRows(t *testing.T) {
	rt := newReplicaTest(t)
	entry := platform.Row{Key: "i-1", Value: []byte(readyEntry), Version: platform.Version{Number: 61}}
	rt.replica.applyUpdate(relay.Update{
		Operator:  relay.Changes{Rows: []platform.Row{{Key: "evacuate/za", Value: []byte("{}"), Version: platform.Version{Number: 60}}}, Version: platform.Version{Number: 61}},
		Endpoints: relay.Changes{Rows: []platform.Row{entry}, Version: platform.Version{Number: 61}}, ReceivedAt: time.Now(),
	}, "h2")
	older := platform.Rows{Version: platform.Version{Number: 50}}
	rt.replica.applyOperatorTable(older, time.Now())
	rt.replica.applyEndpointTable(older, time.Now())
	assert.DeepEqual(t, rt.replica.evacuated, map[model.ZoneName]bool{"za": true})
	decoded, err := platform.DecodeEntry(entry)
	assert.NilError(t, err)
	assert.Equal(t, rt.core.ApplyEntry(decoded), roster.Unchanged)
}

// Guards against requests to an endpoint whose removal a follower never gets, because the
// host that it follows started after the removal.
func TestFollowerLearnsRemovalFromHostThatStartedLater(t *testing.T) {
	follower, reader := newReplicaTest(t).replica, newReplicaTest(t).replica
	version := func(number uint64) platform.Version { return platform.Version{Era: 1, Number: number} }
	entry := platform.Row{Key: "i-9", Value: []byte(readyEntry), Version: version(5)}
	follower.applyEndpointRows([]platform.Row{entry}, version(5), time.Now())
	reader.applyEndpointTable(platform.Rows{Version: version(8)}, time.Now())
	changes, _ := reader.endpoints.Since(follower.endpoints.Version())
	follower.applyUpdate(relay.Update{Endpoints: changes, ReceivedAt: time.Now()}, "reader")
	after, _ := follower.endpoints.Since(version(5))
	assert.Equal(t, len(after.Rows), 1)
	assert.Assert(t, after.Rows[0].IsRemoved)
}
