package proxy

import (
	"fmt"
	"net/netip"
	"testing"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"
)

// BenchmarkReadTable measures how long a starting host takes to apply the
// entries of 1,000 endpoints.
func BenchmarkReadTable(b *testing.B) {
	for b.Loop() {
		core := NewCore("h", "za", map[model.ZoneName]model.RegionName{"za": "north"}, DefaultRetryLimit())
		core.SetConfig(route.NewConfig(1, nil, []route.Service{{Name: "s"}}, route.Limits{}))
		for i := range 1000 {
			core.ApplyEntry(roster.Entry{
				Endpoint: model.EndpointName(fmt.Sprint("e-", i)), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
				Zone: "za", Slots: 3, State: roster.Ready, Sequence: 1, Incarnation: 1,
			})
		}
		core.Loads(true)
	}
}
