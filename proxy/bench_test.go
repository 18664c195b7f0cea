package proxy

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"

	"filberthold/logs"
	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"

	"gotest.tools/v3/assert"
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

// BenchmarkExchange measures a request on kept connections, from the caller through the
// host to an endpoint and back, with the log lines.
func BenchmarkExchange(b *testing.B) {
	ts := startTestServer(b, 1)
	writer := logs.NewWriter(io.Discard)
	go func() { _ = writer.Run(b.Context()) }()
	ts.server.log = slog.New(slog.NewJSONHandler(writer, nil))
	b.ReportAllocs()
	for b.Loop() {
		status, _, _ := ts.send(http.MethodGet, "/read/1", "a1", "")
		assert.Equal(b, status, http.StatusOK)
	}
}
