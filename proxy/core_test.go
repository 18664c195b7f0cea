package proxy

import (
	"fmt"
	"net/netip"
	"testing"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against a start-up cost that grows with the square of the number of
// endpoints: each entry of the table made the selector iterate over all
// endpoints.
func TestReadingAllEntriesUpdatesSelectorOnce(t *testing.T) {
	core := NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, DefaultRetryLimit())
	core.SetConfig(route.NewConfig(1, nil, []route.Service{{Name: "s"}}, route.Limits{}))
	for i := range 1000 {
		core.ApplyEntry(roster.Entry{
			Endpoint: model.EndpointName(fmt.Sprint("e-", i)), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
			Zone: "za", Slots: 3, State: roster.Ready, Sequence: 1, Incarnation: 1,
		})
	}
	assert.Equal(t, core.selectorRevision, uint64(0))
	decision := core.choose(steer.Query{Service: "s", AttemptID: "a1"})
	_, isSend := decision.(steer.Send)
	assert.Assert(t, isSend, "%+v", decision)
	assert.Equal(t, core.selectorRevision, core.roster.Revision())
}
