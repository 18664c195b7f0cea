// Package node runs an entry host on the users' platform: it joins settings,
// store, peers and callers. It decides nothing about requests.
package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"filberthold/gossip"
	"filberthold/logs"
	"filberthold/member"
	"filberthold/platform"
	"filberthold/proxy"
	"filberthold/relay"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
)

const (
	// memoryPercent is the part of the host's memory that the runtime may use
	// before it collects more often.
	memoryPercent = 60
	// tickInterval is how often what a host believes is looked over.
	tickInterval = 200 * time.Millisecond
	// metricsPort is where metrics are served beside the control address.
	metricsPort = "9464"
)

// Node is an entry host.
type Node struct {
	settings platform.Settings
	log      *slog.Logger
	lines    *logs.Writer
	store    *platform.Store
	core     *proxy.Core
	server   *proxy.Server
	link     *gossip.Transport
	registry *prometheus.Registry
	// incarnation is higher for each start of the host.
	incarnation int64
	startedAt   time.Time
	isLeaving   atomic.Bool
	pace        pace
	known       *knowledge
	reader      *reader
	follower    *follower
}

// New returns a node that is not yet running; it logs to out.
func New(settings platform.Settings, out io.Writer) *Node {
	lines := logs.NewWriter(out)
	log := slog.New(slog.NewJSONHandler(lines, nil)).With("host", settings.Host)
	registry := prometheus.NewRegistry()
	core := proxy.NewCore(settings.Host, settings.Zone, settings.Regions,
		proxy.RetryLimit{Ratio: settings.RetryRatio, Slack: settings.RetrySlack})
	store := platform.NewStore(settings.StoreAddress, settings.IP)
	node := &Node{
		settings: settings, log: log, lines: lines, store: store, core: core, registry: registry,
		incarnation: time.Now().UnixMilli(),
		startedAt:   time.Now(),
	}
	node.registerMetrics()
	node.pace = newPace(settings.DrainTime)
	node.known = newKnowledge(log, core)
	node.server = proxy.NewServer(log, core, proxy.NewMetrics(registry), func() time.Duration { return node.known.endpoints.Age(time.Now()) })
	node.reader = newReader(log, store, node.known, node.pace, settings.Heartbeat, node.readsStore, node.probePause)
	node.follower = newFollower(log, node.known, node.pace, node.sources)
	return node
}

// Run serves until ctx ends, and then until the requests in flight have ended.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(n.settings.MemoryBytes * memoryPercent / 100)
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	var writer errgroup.Group
	writer.Go(func() error { return n.lines.Run(writing) })
	err := n.serve(ctx)
	n.log.Info("host stopped", "error", err)
	stopWriting()
	if writeErr := writer.Wait(); writeErr != nil && err == nil {
		err = fmt.Errorf("write logs: %w", writeErr)
	}
	return err
}

func (n *Node) serve(ctx context.Context) error {
	n.log.Info("host starts", "zone", n.settings.Zone, "region", n.settings.Region, "incarnation", n.incarnation,
		"callers", n.settings.CallerAddress, "store", n.settings.StoreAddress)
	table := member.NewTable(n.settings.Host)
	table.AddAddresses(n.settings.Seeds, time.Now())
	link, err := gossip.Listen(n.log, netip.AddrPortFrom(n.settings.IP, n.settings.PeerPort), table, gossip.Callbacks{
		Heartbeat: n.describe, HostsChanged: n.refreshHosts, Loads: n.core.Loads, ApplyLoads: n.core.ApplyLoads,
	})
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	n.link = link
	// The duties outlast ctx: they end after the requests in flight.
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, running := errgroup.WithContext(running)
	if err := n.listen(running, group); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	group.Go(func() error { return n.link.Run(running) })
	group.Go(func() error { return n.reader.operatorLoop(running) })
	group.Go(func() error { return n.reader.endpointLoop(running) })
	group.Go(func() error { return n.follower.loop(running) })
	group.Go(func() error { return n.registerLoop(running) })
	group.Go(func() error { return n.server.CleanupLoop(running) })
	group.Go(func() error { return n.tickLoop(running) })
	group.Go(func() error { return n.reloadLoop(running) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
			return nil
		}
		defer end()
		return n.stop()
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("run host: %w", err)
	}
	return nil
}

// listen opens the addresses of the settings.
func (n *Node) listen(ctx context.Context, group *errgroup.Group) error {
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	group.Go(func() error { return n.server.Run(callers) })
	pages := []struct {
		address string
		pattern string
		handler http.Handler
	}{
		{n.settings.ReadyAddress, "GET /ready", http.HandlerFunc(n.handleReady)},
		{n.settings.DirectoryAddress, "GET /resolve", http.HandlerFunc(n.handleResolve)},
		{n.settings.ControlAddress, "GET " + relay.Path, relay.NewHandler(n.log, n.known.operator, n.known.endpoints, n.pace.followWait)},
		{net.JoinHostPort(n.settings.IP.String(), metricsPort), "GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})},
	}
	for _, page := range pages {
		if page.address == "" {
			continue
		}
		mux := http.NewServeMux()
		mux.Handle(page.pattern, page.handler)
		server := &http.Server{Handler: mux, ReadHeaderTimeout: pageTimeout, IdleTimeout: pageIdle}
		listener, err := net.Listen("tcp", page.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", page.pattern, err)
		}
		one := &pageServer{http: server, listener: listener}
		group.Go(func() error { return one.run(ctx) })
	}
	return nil
}

// tickLoop keeps what depends on time up to date.
func (n *Node) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.known.expire()
			n.refreshHosts()
		case <-ctx.Done():
			return nil
		}
	}
}
