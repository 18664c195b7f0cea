// Package node runs an entry host on the platform that package platform describes.
// It connects the settings, the table store, the other entry hosts and the callers.
// Package proxy routes the requests.
package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"filberthold/gossip"
	"filberthold/limits"
	"filberthold/logs"
	"filberthold/member"
	"filberthold/memory"
	"filberthold/platform"
	"filberthold/proxy"
	"filberthold/quota"
	"filberthold/relay"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

const (
	// memoryPercent is the percentage of Settings.MemoryBytes that the runtime may
	// use before it collects garbage more often.
	memoryPercent = 70
	// buffersPercent is the percentage of Settings.MemoryBytes for what clients and endpoints
	// cause to be kept: connections, requests and responses until they are passed on.
	buffersPercent = 45
	// connectionsPercent is the percentage for connections of clients. It is a part of
	// buffersPercent.
	connectionsPercent = 30
	// expiryCheckInterval is how often expired endpoints and hosts are looked for
	// and removed.
	expiryCheckInterval = 200 * time.Millisecond
	// maxHeadBytes bounds the head of a request for a lookup, for readiness or of another
	// host. The default of net/http is 1 MB for each connection.
	maxHeadBytes = 16 << 10
	// metricsPort is the port of the host's IP address that serves operators: metrics and
	// explanations.
	metricsPort = "9464"
)

// Node is an entry host.
type Node struct {
	// hangups receives the signals to read the settings again.
	hangups   <-chan os.Signal
	settings  platform.Settings
	log       *slog.Logger
	logWriter *logs.Writer
	store     *platform.Store
	core      *proxy.Core
	server    *proxy.Server
	transport *gossip.Transport
	registry  *prometheus.Registry
	// buffers bounds the requests and responses that are kept in memory, and the connections.
	buffers *memory.Limit
	// guard bounds what clients use at all listeners, and maxControlRequests the requests that
	// each of those that are not for callers handles at once.
	guard              *limits.Guard
	maxControlRequests int
	// incarnation is the start time in Unix milliseconds. It is higher for each
	// start of the host unless its clock was set back.
	incarnation int64
	startedAt   time.Time
	isLeaving   atomic.Bool
	// lookups counts the lookups that were answered.
	lookups   atomic.Uint64
	intervals intervals
	// retryLimitMu is held while a change of the retry limit is applied and logged.
	retryLimitMu sync.Mutex
	replica      *storeReplica
	reader       *reader
	follower     *follower
	starter      *starter
	relay        *relay.Handler
	lags         *lagWatch
}

// quotaContract is the contract of the settings under which quotas are in force.
const quotaContract = "quota"

// New returns a node that is not yet running. It logs to out and reads its settings
// again at each signal from hangups.
func New(settings platform.Settings, out io.Writer, hangups <-chan os.Signal) *Node {
	logWriter := logs.NewWriter(out)
	log := slog.New(slog.NewJSONHandler(logWriter, nil)).With("host", settings.Host)
	registry := prometheus.NewRegistry()
	core := proxy.NewCore(settings.Host, settings.Zone, settings.Regions, retryLimit(settings))
	if settings.HasContract("pressure") {
		core.EnablePressure()
	}
	if settings.HasContract(quotaContract) {
		core.EnableQuotas(settings.Host, settings.Region, quota.Bounds{
			Window: settings.QuotaWindow, Overage: settings.QuotaOverage, Slack: settings.QuotaSlack,
		})
	}
	store := platform.NewStore(settings.StoreAddress, settings.IP)
	memoryBytes := settings.MemoryBytes
	if memoryBytes <= 0 {
		memoryBytes = limits.HostMemory()
	}
	node := &Node{
		hangups: hangups, settings: settings, log: log, logWriter: logWriter, store: store, core: core, registry: registry,
		buffers:     memory.NewLimit(memoryBytes / 100 * buffersPercent),
		incarnation: time.Now().UnixMilli(),
		startedAt:   time.Now(),
	}
	node.intervals = newIntervals(settings)
	node.replica = newStoreReplica(log, core, settings.HeartbeatInterval)
	node.replica.trust = newKeyTrust(log, settings, bootTime)
	node.relay = relay.NewHandler(log, node.replica.operator, node.replica.endpoints, core.Removals, node.intervals.pollWait)
	node.relay.SetProver(node.replica)
	node.lags = newLagWatch(log, settings, node.intervals, node.replica, store)
	node.registerMetrics()
	descriptors := limits.Descriptors(settings.MaxDescriptors)
	node.guard = limits.NewGuard(log, limits.Bounds{
		MaxConnections: descriptors.Connections, MaxConnectionBytes: memoryBytes / 100 * connectionsPercent,
	}, node.buffers)
	node.guard.Register(registry)
	node.maxControlRequests = descriptors.ControlRequests
	node.server = proxy.NewServer(log, core, proxy.NewMetrics(registry), node.freshness(), node.buffers)
	node.server.SetGuard(node.guard, descriptors)
	poll := node.replica.trust.timed(relay.NewClient(node.intervals.pollWait).Poll)
	node.starter = &starter{
		log: log, replica: node.replica, intervals: node.intervals, holders: node.startHolders, poll: poll, over: make(chan struct{}),
	}
	node.reader = newReader(log, store, node.replica, node.intervals, node.shouldReadStore, node.starter.await, node.probeInterval)
	node.follower = newFollower(log, node.replica, node.intervals, node.sources, node.lags.isBehind, poll)
	return node
}

// retryLimit returns the retry limit of the settings.
func retryLimit(settings platform.Settings) proxy.RetryLimit {
	return proxy.RetryLimit{Ratio: settings.RetryRatio, Slack: settings.RetrySlack}
}

// Run serves until ctx ends, and then until the requests in flight have ended, but
// at most for Settings.StopGrace less stopMargin.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(n.settings.MemoryBytes * memoryPercent / 100)
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
	var writer errgroup.Group
	writer.Go(func() error { return n.logWriter.Run(writerCtx) })
	err := n.serve(ctx)
	n.log.Info("host stopped", "error", err)
	stopWriter()
	if writeErr := writer.Wait(); writeErr != nil && err == nil {
		err = fmt.Errorf("write logs: %w", writeErr)
	}
	return err
}

func (n *Node) serve(ctx context.Context) error {
	limit := n.core.RetryLimit()
	n.log.Info("host starts", "zone", n.settings.Zone, "region", n.settings.Region, "incarnation", n.incarnation,
		"callers", n.settings.CallerAddress, "store", n.settings.StoreAddress,
		"retryRatio", limit.Ratio, "retrySlack", limit.Slack)
	table := member.NewTable(n.settings.Host)
	table.AddAddresses(n.settings.Seeds, time.Now())
	callbacks := gossip.Callbacks{
		Heartbeat: n.heartbeat, HostsChanged: n.updateHosts, Loads: n.core.Loads, ApplyLoads: n.core.ApplyLoads,
		IssuePermit: n.core.IssuePermit, ApplyLimitNews: n.core.ApplyLimitNews, LimitNews: n.core.LimitNews,
		RetryNews: n.core.RetryNews, ApplyRetryNews: n.core.ApplyRetryNews,
	}
	if n.settings.HasContract(quotaContract) {
		callbacks.QuotaReport, callbacks.QuotaTotals, callbacks.ApplyQuota = n.core.QuotaReport, n.core.QuotaTotals, n.core.ApplyQuota
	}
	transport, err := gossip.Listen(n.log, netip.AddrPortFrom(n.settings.IP, n.settings.PeerPort), table, callbacks)
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	n.transport = transport
	n.core.SetPermits(transport)
	// The loops continue after ctx ends: requests in flight need them.
	runCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	group, runCtx := errgroup.WithContext(runCtx)
	if err := n.listen(runCtx, group); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	group.Go(func() error { return n.transport.Run(runCtx) })
	group.Go(func() error { return n.runReplica(runCtx) })
	group.Go(func() error { return n.registerLoop(runCtx) })
	group.Go(func() error { return n.server.CleanupLoop(runCtx) })
	group.Go(func() error { return n.guard.Loop(runCtx) })
	group.Go(func() error { return n.expiryLoop(runCtx) })
	group.Go(func() error { return n.reloadLoop(runCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return nil
		}
		defer stopLoops()
		return n.stop()
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("run host: %w", err)
	}
	return nil
}

// runReplica gets what another host knows and keeps the replica up to date. The store is
// read meanwhile, because most stores have lost nothing.
func (n *Node) runReplica(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.reader.operatorLoop(ctx) })
	group.Go(func() error { return n.reader.endpointLoop(ctx) })
	group.Go(func() error {
		n.starter.run(ctx)
		return n.follower.loop(ctx)
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("update replica: %w", err)
	}
	return nil
}

// listen opens the listeners of the addresses in the settings and serves them.
func (n *Node) listen(ctx context.Context, group *errgroup.Group) error {
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	group.Go(func() error { return n.server.Run(callers) })
	routes := []struct {
		address string
		pattern string
		handler http.Handler
	}{
		{n.settings.ReadyAddress, "GET /ready", http.HandlerFunc(n.handleReady)},
		{n.settings.DirectoryAddress, "GET /resolve", http.HandlerFunc(n.handleLookup)},
		{n.settings.ControlAddress, "GET " + relay.ChangesPath, n.relay},
		{net.JoinHostPort(n.settings.IP.String(), metricsPort), "/", n.operatorHandler()},
	}
	for _, route := range routes {
		if route.address == "" {
			continue
		}
		mux := http.NewServeMux()
		mux.Handle(route.pattern, route.handler)
		server := &http.Server{
			Handler: n.guard.ControlHandler(mux, n.maxControlRequests), ConnContext: limits.ConnContext,
			ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		}
		listener, err := net.Listen("tcp", route.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", route.pattern, err)
		}
		guarded := n.guard.ListenControl(listener, maxHeadBytes)
		runner := &httpServer{http: server, listener: guarded}
		group.Go(func() error { return runner.run(ctx) })
	}
	return nil
}

// expiryLoop removes expired endpoints, rows and hosts, and looks for versions that this host
// lacks.
func (n *Node) expiryLoop(ctx context.Context) error {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.replica.expireEndpoints()
			n.replica.expireOperatorRows(time.Now())
			n.updateHosts()
			n.replica.trust.isTrusted()
			n.lags.observe(n.transport.Alive(), time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}
