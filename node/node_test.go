package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// cluster is a store, endpoints and hosts on loopback addresses.
type cluster struct {
	t     *testing.T
	store *fake.Store
	// storeAddress is where the hosts reach the store.
	storeAddress string
	endpoint     *fake.Endpoint
	hosts        []*running
}

// running is a host that runs.
type running struct {
	node *Node
	stop context.CancelFunc
	done chan error
}

func startCluster(t *testing.T) *cluster {
	t.Helper()
	made := &cluster{t: t, store: fake.NewStore()}
	server := httptest.NewServer(made.store)
	t.Cleanup(server.Close)
	made.storeAddress = strings.TrimPrefix(server.URL, "http://")
	endpoint, err := fake.StartEndpoint("i-1", "127.0.0.1:0")
	assert.NilError(t, err)
	go endpoint.Run()
	t.Cleanup(func() { _ = endpoint.Close() })
	made.endpoint = endpoint
	made.store.Put(platform.OperatorTable, platform.ConfigKey, fake.VersionedConfig(1))
	made.store.Put(platform.EndpointTable, "i-1", endpoint.Entry("s", "za", "ready", 1))
	return made
}

// start runs hosts with the given last digits of their addresses.
func (c *cluster) start(digits ...int) {
	c.t.Helper()
	for _, digit := range digits {
		c.hosts = append(c.hosts, c.run(digit))
	}
	for _, host := range c.hosts {
		c.wait("host is ready", host.node.isReady)
	}
}

func (c *cluster) run(digit int) *running {
	c.t.Helper()
	ip := fmt.Sprintf("127.0.8.%d", digit)
	settings := platform.Settings{
		Host: model.HostName(fmt.Sprintf("h%d", digit)), Zone: "za", Region: "north", IP: netip.MustParseAddr(ip), PeerPort: 17541,
		Regions:       map[model.ZoneName]model.RegionName{"za": "north"},
		CallerAddress: ip + ":18548", ReadyAddress: ip + ":18542", ControlAddress: ip + ":18544", DirectoryAddress: ip + ":18546",
		StoreAddress: c.storeAddress, MemoryBytes: 1 << 28, Heartbeat: time.Second, StopGrace: 2 * time.Second,
		Seeds: []netip.Addr{netip.MustParseAddr(fmt.Sprintf("127.0.8.%d", digit-1))},
	}
	made := &running{node: New(settings, io.Discard), done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	made.stop = cancel
	go func() { made.done <- made.node.Run(ctx) }()
	c.t.Cleanup(func() {
		cancel()
		assert.NilError(c.t, <-made.done)
		made.done <- nil
	})
	return made
}

func (c *cluster) wait(what string, holds func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s: not yet", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// status sends a request to a host and returns the status of its answer.
func (c *cluster) status(host *running, path string) int {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+host.node.settings.CallerAddress+path, nil)
	assert.NilError(c.t, err)
	request.Host = fake.Domain
	request.Header.Set("Attempt-Id", "a1")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// The store may turn a single host away while it serves the others. That host
// still has to learn of a configuration, an evacuation and a leaving endpoint.
// Without the relay it used a draining endpoint and an old configuration.
func TestRefusedHostLearnsFromOthers(t *testing.T) {
	made := startCluster(t)
	made.start(1, 2, 3)
	for digit, host := range made.hosts {
		made.store.SetRefused(fmt.Sprintf("127.0.8.%d", digit+1), true)
		made.wait("store is lost", func() bool { return !host.node.reader.hasStore.Load() || !host.node.readsStore() })
		version := digit + 2
		made.store.Put(platform.OperatorTable, platform.ConfigKey, fake.VersionedConfig(version))
		made.wait("configuration arrives", func() bool { return made.status(host, fmt.Sprintf("/v%d/x", version)) == http.StatusOK })
		made.store.SetRefused(fmt.Sprintf("127.0.8.%d", digit+1), false)
	}
	for digit := range made.hosts {
		made.store.SetRefused(fmt.Sprintf("127.0.8.%d", digit+1), digit < 2)
	}
	made.store.Put(platform.EndpointTable, "i-1", made.endpoint.Entry("s", "za", "draining", 2))
	for _, host := range made.hosts {
		made.wait("endpoint is left", func() bool { return made.status(host, "/v4/x") == http.StatusServiceUnavailable })
	}
}

// An evacuation must reach every host and end on every host.
func TestEvacuationReachesAllHosts(t *testing.T) {
	made := startCluster(t)
	made.start(4, 5)
	made.store.Put(platform.OperatorTable, "evacuate/za", "{}")
	for _, host := range made.hosts {
		made.wait("zone is left", func() bool { return made.status(host, "/v1/x") == http.StatusServiceUnavailable })
	}
	made.store.Remove(platform.OperatorTable, "evacuate/za")
	for _, host := range made.hosts {
		made.wait("zone is used", func() bool { return made.status(host, "/v1/x") == http.StatusOK })
	}
}

// A store that drops its history must not hide a change.
func TestLostHistoryIsMadeUpFor(t *testing.T) {
	made := startCluster(t)
	made.start(6)
	made.store.Put(platform.EndpointTable, "i-9", `{"broken":`)
	made.store.Remove(platform.EndpointTable, "i-1")
	made.store.Put(platform.OperatorTable, platform.ConfigKey, fake.VersionedConfig(7))
	made.store.DropHistory()
	made.wait("endpoint is left", func() bool { return made.status(made.hosts[0], "/v7/x") == http.StatusServiceUnavailable })
}

// A host that starts while the store turns it away serves with what its peers
// know; no version may go back on it.
func TestHostStartsWithoutTheStore(t *testing.T) {
	made := startCluster(t)
	made.start(11)
	made.store.SetRefused("127.0.8.12", true)
	late := made.run(12)
	made.wait("host is ready", late.node.isReady)
	assert.Equal(t, made.status(late, "/v1/x"), http.StatusOK)
}

// Hosts that follow a reader spare the store: the calls must not grow with the
// number of hosts.
func TestFollowersDoNotReadTheStore(t *testing.T) {
	made := startCluster(t)
	made.start(7, 8, 9)
	made.wait("one host reads", func() bool {
		readers := 0
		for _, host := range made.hosts {
			if host.node.readsStore() {
				readers++
			}
		}
		return readers == 1
	})
}

// A stopping host is not named any more and not ready, and its listener goes on
// until lookup responses that name it have run out.
func TestStoppingHostLeavesFirst(t *testing.T) {
	made := startCluster(t)
	made.start(13, 14)
	first, second := made.hosts[0], made.hosts[1]
	made.wait("both are named", func() bool { return strings.Count(made.lookup(second), "18548") == 2 })
	first.stop()
	made.wait("host is not named", func() bool { return strings.Count(made.lookup(second), "18548") == 1 })
	assert.Assert(t, !first.node.isReady())
	assert.Equal(t, made.status(first, "/v1/x"), http.StatusOK)
}

func (c *cluster) lookup(host *running) string {
	c.t.Helper()
	response, err := http.Get("http://" + host.node.settings.DirectoryAddress + "/resolve?name=a.example&region=north&zone=za")
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return string(content)
}

// A process that cannot listen has to say so and end.
func TestAddressInUseEndsTheHost(t *testing.T) {
	made := startCluster(t)
	taken, err := net.Listen("tcp", "127.0.8.15:18548")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	settings := platform.Settings{
		Host: "h15", Zone: "za", Region: "north", IP: netip.MustParseAddr("127.0.8.15"), PeerPort: 17541,
		CallerAddress: "127.0.8.15:18548", StoreAddress: made.storeAddress, MemoryBytes: 1 << 28,
	}
	assert.ErrorContains(t, New(settings, io.Discard).Run(t.Context()), "listen for callers")
}

// On-call engineers see from the metrics how old a host's knowledge is.
func TestMetricsTellWhatAHostKnows(t *testing.T) {
	made := startCluster(t)
	made.start(16)
	response, err := http.Get("http://127.0.8.16:9464/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), "filberthold_config_version 1"))
	assert.Assert(t, strings.Contains(string(content), "filberthold_endpoints_age_seconds"))
}
