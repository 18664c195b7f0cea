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

func manyHellos(count int) []member.Heartbeat {
	hellos := make([]member.Heartbeat, count)
	for i := range hellos {
		address := netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})
		hellos[i] = member.Heartbeat{
			Host: model.HostName(fmt.Sprint("front-south-a-", i)), Zone: "south-a", Region: "south", Incarnation: 1_780_000_000_000,
			IP: address, CallerAddress: address.String() + ":8080", ControlAddress: address.String() + ":8081",
			IsReady: true, IsStoreReachable: true, ConfigVersion: 1234,
		}
	}
	return hellos
}

func BenchmarkTakeHeartbeat(b *testing.B) {
	link := &Transport{log: slog.New(slog.DiscardHandler), table: member.NewTable("self"), toldAt: make(map[netip.Addr]time.Time), events: Callbacks{HostsChanged: func() {}}}
	var contents [][]byte
	for _, hello := range manyHellos(77) {
		content, err := cbor.Marshal(datagram{Hello: &hello})
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
		link.take(message, netip.Addr{})
	}
}

func BenchmarkDecodeLoads(b *testing.B) {
	message := &loadMessage{Host: "front-south-a-1", IsFull: true}
	for i := range 8 {
		message.Endpoints = append(message.Endpoints, steer.EndpointID(uint32(i)*123456789))
		message.Counts = append(message.Counts, 1)
	}
	content, err := cbor.Marshal(datagram{Loads: message})
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

func BenchmarkAlive(b *testing.B) {
	table := member.NewTable("self")
	for _, hello := range manyHellos(77) {
		table.Observe(hello, time.Now())
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(table.Alive(time.Now())) != 77 {
			b.Fatal("not alive")
		}
	}
}
