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
	rt.replica.applyOperatorTable(older, time.Now(), storeSource)
	rt.replica.applyEndpointTable(older, time.Now(), time.Time{})
	assert.DeepEqual(t, rt.replica.evacuated, map[model.ZoneName]bool{"za": true})
	decoded, err := platform.DecodeEntry(entry)
	assert.NilError(t, err)
	assert.Equal(t, rt.core.ApplyEntry(decoded), roster.Unchanged)
}
