package gossip

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/steer"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// host is a link with what it was told.
type host struct {
	hello member.Heartbeat
	link  *Transport
	mu    sync.Mutex
	loads map[model.HostName][]steer.Load
}

const peerPort = 17540

func startHost(t *testing.T, name, ip string, seeds ...string) *host {
	t.Helper()
	made := &host{
		hello: member.Heartbeat{Host: model.HostName(name), Zone: "za", Region: "north", Incarnation: 1, IP: netip.MustParseAddr(ip), IsReady: true},
		loads: make(map[model.HostName][]steer.Load),
	}
	table := member.NewTable(made.hello.Host)
	for _, seed := range seeds {
		table.AddAddresses([]netip.Addr{netip.MustParseAddr(seed)}, time.Now())
	}
	link, err := Listen(slog.New(slog.DiscardHandler), netip.AddrPortFrom(made.hello.IP, peerPort), table, Callbacks{
		Heartbeat:    func() member.Heartbeat { return made.hello },
		HostsChanged: func() {},
		Loads:        func(bool) []steer.Load { return []steer.Load{{Endpoint: 7, Count: 2}} },
		ApplyLoads: func(host model.HostName, loads []steer.Load, _ bool) {
			made.mu.Lock()
			defer made.mu.Unlock()
			made.loads[host] = loads
		},
	})
	assert.NilError(t, err)
	made.link = link
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- link.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return made
}

// Two hosts that know only a third one have to find each other, as hosts do
// that start while the store is down.
func TestHostsFindEachOtherThroughASeed(t *testing.T) {
	startHost(t, "seed", "127.0.7.1")
	first := startHost(t, "first", "127.0.7.2", "127.0.7.1")
	second := startHost(t, "second", "127.0.7.3", "127.0.7.1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(first.link.Alive()) == 2 && len(second.link.Alive()) == 2 && first.heard("second") {
			return poll.Success()
		}
		return poll.Continue("first knows %d hosts, second %d", len(first.link.Alive()), len(second.link.Alive()))
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (h *host) heard(from model.HostName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	loads := h.loads[from]
	return len(loads) == 1 && loads[0] == steer.Load{Endpoint: 7, Count: 2}
}

// Messages may come from anyone; what lacks a field must not reach the table.
func TestDecodeRefusesUnusableMessages(t *testing.T) {
	messages := map[string]datagram{
		"hello without a host":     {Hello: &member.Heartbeat{IP: netip.MustParseAddr("127.0.0.1")}},
		"hello without an address": {Hello: &member.Heartbeat{Host: "h"}},
		"counts are missing":       {Loads: &loadMessage{Host: "h", Endpoints: []steer.EndpointID{1}}},
	}
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			content, err := cbor.Marshal(message)
			assert.NilError(t, err)
			_, err = decode(content)
			assert.Assert(t, err != nil)
		})
	}
}

func FuzzDecode(f *testing.F) {
	content, err := cbor.Marshal(datagram{Loads: &loadMessage{Host: "h", Endpoints: []steer.EndpointID{1}, Counts: []byte{2}}})
	assert.NilError(f, err)
	f.Add(content)
	f.Fuzz(func(t *testing.T, content []byte) {
		message, err := decode(content)
		if err == nil && message.Loads != nil && len(message.Loads.Endpoints) != len(message.Loads.Counts) {
			t.Fatal("unusable message accepted")
		}
	})
}
