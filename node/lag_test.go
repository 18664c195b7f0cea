package node

import (
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filberthold/gossip"
	"filberthold/member"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// announceBeside runs a host that tells another one, its seed, of its state and does
// nothing else, until the test ends.
func announceBeside(t *testing.T, heartbeat member.Heartbeat, seed netip.Addr) {
	t.Helper()
	table := member.NewTable(heartbeat.Host)
	table.AddAddresses([]netip.Addr{seed}, time.Now())
	transport, err := gossip.Listen(slog.New(slog.DiscardHandler), netip.AddrPortFrom(heartbeat.IP, 17541), table, gossip.Callbacks{
		Heartbeat: func() member.Heartbeat { return heartbeat }, HostsChanged: func() {},
		Loads: func(bool) []steer.Load { return nil }, LimitNews: func() []steer.LimitNews { return nil },
		ApplyLoads: func(model.HostName, []steer.Load, bool) {}, ApplyLimitNews: func(steer.LimitNews) {},
		RetryNews: func() []steer.RetryNews { return nil }, ApplyRetryNews: func(member.Run, []steer.RetryNews) {},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- transport.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

// Guards against a host that lacks what another host has and tells nobody: neither its log
// nor its metrics show for how long, or how it knows.
func TestHostReportsThatItIsBehind(t *testing.T) {
	c := startCluster(t)
	var output syncBuffer
	c.output = &output
	c.start(171)
	assert.Assert(t, strings.Contains(c.metrics(171), `filberthold_behind_seconds{table="config"} 0`+"\n"))
	ahead := member.Heartbeat{
		Host: "ahead", Zone: "za", Region: "south", Incarnation: 1, IP: netip.MustParseAddr(hostIP(t, 172)),
		IsReady: true, ConfigVersion: 9, OperatorVersion: platform.Version{Era: 1, Number: 1000},
	}
	announceBeside(t, ahead, netip.MustParseAddr(hostIP(t, 171)))
	c.waitFor("the lag is logged", func() bool { return strings.Count(output.String(), `"msg":"host is behind"`) == 2 })
	for _, expected := range []string{
		`"table":"config","version":1,"missing":9,"by":"ahead"`, `"missing":"1.1000","by":"ahead"`,
	} {
		assert.Assert(t, strings.Contains(output.String(), expected), output.String())
	}
	content := c.metrics(171)
	assert.Assert(t, !strings.Contains(content, `filberthold_behind_seconds{table="operator"} 0`+"\n"), content)
	assert.Assert(t, strings.Contains(content, `filberthold_behind_seconds{table="endpoints"} 0`+"\n"), content)
	c.store.Put(platform.OperatorTable, platform.ConfigKey, fake.VersionedConfig(9))
	c.waitFor("the end is logged", func() bool { return strings.Contains(output.String(), `"msg":"host has caught up"`) })
	assert.Assert(t, strings.Contains(c.metrics(171), `filberthold_behind_seconds{table="config"} 0`+"\n"))
}

// Guards against hosts that report a lag although the store and all hosts work: changes
// take some time to reach each host.
func TestHostsWithAllChangesAreNotBehind(t *testing.T) {
	c := startCluster(t)
	var output syncBuffer
	c.output = &output
	c.start(173, 174, 175)
	for sequence := range 40 {
		c.store.Put(platform.EndpointTable, "i-1", c.endpoint.Entry("s", "za", "ready", 2+sequence))
		c.store.Put(platform.OperatorTable, platform.ConfigKey, fake.VersionedConfig(2+sequence))
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, !strings.Contains(output.String(), "host is behind"), output.String())
}
