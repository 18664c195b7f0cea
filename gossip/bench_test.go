package gossip

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/steer"

	"github.com/fxamacker/cbor/v2"
)

func manyHeartbeats(count int) []member.Heartbeat {
	heartbeats := make([]member.Heartbeat, count)
	for i := range heartbeats {
		address := netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})
		heartbeats[i] = member.Heartbeat{
			Host: model.HostName(fmt.Sprint("front-south-a-", i)), Zone: "south-a", Region: "south", Incarnation: 1_780_000_000_000,
			IP: address, CallerAddress: address.String() + ":8080", ControlAddress: address.String() + ":8081",
			IsReady: true, IsStoreReachable: true, ConfigVersion: 1234,
		}
	}
	return heartbeats
}

// BenchmarkHandleHeartbeat measures the decoding and handling of heartbeats of 77
// hosts.
func BenchmarkHandleHeartbeat(b *testing.B) {
	transport := newTransport(slog.New(slog.DiscardHandler), netip.AddrPort{}, nil, member.NewTable("self"), Callbacks{
		HostsChanged: func() {}, Heartbeat: func() member.Heartbeat { return member.Heartbeat{Host: "self"} },
	})
	var contents [][]byte
	for _, heartbeat := range manyHeartbeats(77) {
		content, err := cbor.Marshal(datagram{Heartbeat: &heartbeat})
		if err != nil {
			b.Fatal(err)
		}
		contents = append(contents, content)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		message, err := decode(contents[i%len(contents)])
		if err != nil {
			b.Fatal(err)
		}
		transport.handleMessage(message, netip.Addr{})
	}
}

// BenchmarkDecodeLoadReport measures the decoding of a load report with 8
// endpoints.
func BenchmarkDecodeLoadReport(b *testing.B) {
	report := &loadReport{Host: "front-south-a-1", IsFull: true}
	for i := range 8 {
		report.Endpoints = append(report.Endpoints, steer.EndpointID(uint32(i)*123456789))
		report.Counts = append(report.Counts, 1)
	}
	content, err := cbor.Marshal(datagram{Loads: report})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decode(content); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAlive measures the listing of 77 hosts that are alive.
func BenchmarkAlive(b *testing.B) {
	table := member.NewTable("self")
	for _, heartbeat := range manyHeartbeats(77) {
		table.Observe(heartbeat, time.Now())
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(table.Alive(time.Now())) != 77 {
			b.Fatal("not alive")
		}
	}
}
