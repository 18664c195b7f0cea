// Package soak runs hosts as separate processes on loopback addresses. It
// injects random faults into the processes, their store, their endpoints and the
// connections between them, and meanwhile checks the guarantees to callers.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/subnet"
)

const (
	// endpointCount is the number of endpoints of the only service.
	endpointCount = 6
	// endpointLatency is how long an endpoint takes for a request.
	endpointLatency = 20 * time.Millisecond
	// recoveryTimeout is the time after the start, and after the last fault,
	// within which every host must serve requests.
	recoveryTimeout = 8 * time.Second
	// endpointNumber and proxyNumber are the numbers of the endpoints' address, and of the
	// proxies', in the subnet.
	endpointNumber = 251
	proxyNumber    = 252
	// maxHosts is the number of addresses before these.
	maxHosts = endpointNumber - 1
	// maxViolations bounds the number of violations in a report.
	maxViolations = 20
)

// Options configure a soak.
type Options struct {
	// Program is the path of the executable under test.
	Program string
	// EndpointProgram is the path of the executable that runs the endpoints as processes of
	// their own. If it is empty, Run uses Program.
	EndpointProgram string
	// Directory is where the settings files are written.
	Directory string
	Seed      uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	Hosts    int
	// Subnet is the first three parts of the loopback addresses of all processes, as in
	// "127.0.10". If it is empty, a free subnet is used.
	Subnet string
	// Log receives the output of the processes.
	Log io.Writer
}

// Report is the result of a soak. Outcomes counts requests by class and status.
// Faults counts the injected faults by name.
type Report struct {
	Seed     uint64         `json:"seed"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Checked counts the cases by name that a check with many excuses could judge.
	Checked map[string]int `json:"checked"`
	// Violations lists the violated guarantees, at most maxViolations.
	Violations []string `json:"broken"`
}

// testbed holds the store, endpoints, proxies and hosts of a soak, and its
// report.
type testbed struct {
	options Options
	// subnet has the addresses of the hosts, from 1, and of the endpoints and proxies.
	subnet *subnet.Subnet
	store  *fake.Store
	// endpointProxies forward connections to the endpoints.
	endpointProxies []*faultProxy
	// endpoints hold the plans and the records of the endpoints.
	endpoints []*fake.Endpoint
	// processes run the endpoints. It is empty if they run in this process.
	processes []*endpointProcess
	hosts     []*hostProcess
	// canCutHosts is true if paths carries what hosts send to each other. Otherwise they reach
	// each other directly.
	canCutHosts bool
	paths       *hostPaths
	// retrySlack is the slack of the hosts' retry limit. If it is 0, they have the default.
	retrySlack int
	// interrupted is closed when the soak must end before its time.
	interrupted <-chan struct{}
	// activeFaults counts the faults that have not ended.
	activeFaults sync.WaitGroup
	mu           sync.Mutex
	// departures and coldTimes are those that the endpoints' entries stated, and
	// limitedTimes those in which their responses named a rate limit.
	departures   []departure
	coldTimes    []coldTime
	limitedTimes []limitedTime
	versions     []configVersion
	// configMu is held while a version of the configuration is written.
	configMu sync.Mutex
	// organisations is nil if the configuration has none.
	organisations *organisations
	report        Report
}

// Run runs a soak until its duration has passed. The report lists violated
// guarantees. An error means that the soak could not be run.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.EndpointProgram == "" {
		options.EndpointProgram = options.Program
	}
	b := newTestbed(ctx, options)
	b.canCutHosts = true
	b.organisations = newOrganisations()
	server := httptest.NewServer(b.store)
	defer server.Close()
	defer b.close()
	if err := b.start(strings.TrimPrefix(server.URL, "http://")); err != nil {
		return Report{}, fmt.Errorf("start soak: %w", err)
	}
	if !b.waitUntilServing(ctx) {
		return Report{}, errors.New("start soak: the hosts do not serve")
	}
	callers := newCallers(b)
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	callerGroup.Go(func() { callers.run(callerCtx) })
	var outageGroup sync.WaitGroup
	outageGroup.Go(func() { b.playOutage(ctx) })
	b.injectFaults(ctx)
	b.activeFaults.Wait()
	if !b.waitUntilServing(ctx) {
		b.recordViolation("a host does not serve %s after the last fault", recoveryTimeout)
	}
	stopCallers()
	callerGroup.Wait()
	for _, host := range b.hosts {
		if err := host.stop(); err != nil {
			b.recordViolation("%v", err)
		}
	}
	callers.checkExecutions()
	callers.checkAttempts()
	callers.checkDeadlines()
	callers.checkNotices()
	callers.checkRetries()
	callers.checkDepartures()
	callers.checkGivenUp()
	callers.checkColdTimes()
	callers.checkLimits()
	callers.checkAbandoned()
	callers.checkUnanswered()
	callers.checkVersions()
	callers.checkOrganisations()
	outageGroup.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.report, nil
}

// newTestbed returns a testbed on which nothing runs.
func newTestbed(ctx context.Context, options Options) *testbed {
	return &testbed{options: options, interrupted: ctx.Done(), store: fake.NewStore(), report: Report{
		Seed: options.Seed, Outcomes: make(map[string]int), Faults: make(map[string]int), Checked: make(map[string]int),
	}}
}

func (b *testbed) start(store string) error {
	if err := b.reserveSubnet(); err != nil {
		return err
	}
	b.writeConfig()
	for i := range endpointCount {
		if err := b.addEndpoint(fmt.Sprint(mainPrefix, i)); err != nil {
			return err
		}
	}
	if err := b.startKeyedEndpoints(); err != nil {
		return err
	}
	var seeds []string
	for i := range b.options.Hosts {
		seeds = append(seeds, b.subnet.Address(i+1))
	}
	var all []fake.HostSettings
	for i, ip := range seeds {
		settings := fake.HostSettings{
			Name: fmt.Sprint("host-", i), IP: ip, Zone: "za", Region: "north", Seeds: seeds, StopGrace: stopGrace, RetrySlack: b.retrySlack,
			Organisations: b.organisationBounds(),
		}
		if b.canCutHosts {
			settings.PeerPort = firstPeerPort + i
		}
		all = append(all, settings)
	}
	if err := b.openPaths(all); err != nil {
		return err
	}
	for _, settings := range all {
		if err := b.addHost(settings, store); err != nil {
			return err
		}
	}
	return nil
}

func (b *testbed) openPaths(hosts []fake.HostSettings) (err error) {
	if b.canCutHosts {
		b.paths, err = startPaths(hosts, b.subnet.Address(proxyNumber))
	}
	return err
}

// addHost starts a host with a proxy of its own for the store, which identifies hosts by
// their IP addresses.
func (b *testbed) addHost(settings fake.HostSettings, store string) error {
	proxy, err := startProxy(b.subnet.Address(proxyNumber), store)
	if err != nil {
		return err
	}
	proxy.source = settings.IP
	settings.Store = proxy.address()
	host, err := newHostProcess(b.options, settings)
	if err != nil {
		return err
	}
	host.storeProxy = proxy
	go proxy.run()
	if err := host.start(); err != nil {
		return err
	}
	b.hosts = append(b.hosts, host)
	return nil
}

func (b *testbed) addEndpoint(name string) error {
	endpoint, err := b.startEndpoint(name, b.subnet.Address(endpointNumber)+":0")
	if err != nil {
		return fmt.Errorf("add endpoint: %w", err)
	}
	proxy, err := startProxy(b.subnet.Address(proxyNumber), endpoint.Address())
	if err != nil {
		return err
	}
	go proxy.run()
	b.endpoints, b.endpointProxies = append(b.endpoints, endpoint), append(b.endpointProxies, proxy)
	index := len(b.endpoints) - 1
	b.setEndpoint(index, func(endpoint *fake.Endpoint) { endpoint.SetLatency(endpointLatency) })
	b.writeEntry(index, "ready")
	return nil
}

// startEndpoint starts an endpoint in a process of its own or, without a program for it, in
// this one, where it cannot be paused or killed.
func (b *testbed) startEndpoint(name, address string) (*fake.Endpoint, error) {
	if b.options.EndpointProgram == "" {
		endpoint, err := fake.StartEndpoint(name, address)
		if err == nil {
			go endpoint.Run()
		}
		return endpoint, err
	}
	process := newEndpointProcess(b.options, fake.NewRecord(name), address)
	b.processes = append(b.processes, process)
	return process.record, process.start()
}

// setEndpoint changes the plan of an endpoint, in its process too.
func (b *testbed) setEndpoint(index int, change func(*fake.Endpoint)) {
	change(b.endpoints[index])
	if len(b.processes) > 0 {
		b.processes[index].sendPlan()
	}
}

// writeEntry writes the entry of an endpoint with the address of its proxy.
func (b *testbed) writeEntry(index int, state string) {
	endpoint := b.endpoints[index]
	// The milliseconds of an incarnation increase with each entry.
	sequence := 1 + max(0, time.Now().UnixMilli()-endpoint.Plan().Incarnation)
	entry := strings.Replace(endpoint.Entry(serviceOf(endpoint.ID()), "za", state, int(sequence)), endpoint.Address(), b.endpointProxies[index].address(), 1)
	b.store.Put(platform.EndpointTable, endpoint.ID(), entry)
}

// close stops all processes, endpoints and proxies that are still running.
func (b *testbed) close() {
	for _, host := range b.hosts {
		select {
		case <-host.exited:
		default:
			_ = host.signal(syscall.SIGCONT)
			_ = host.kill()
		}
		host.storeProxy.close()
	}
	for _, process := range b.processes {
		process.close()
	}
	for i, endpoint := range b.endpoints {
		_ = endpoint.Close()
		b.endpointProxies[i].close()
	}
	b.closeKeyedEndpoints()
	if b.paths != nil {
		b.paths.close()
	}
	if b.subnet != nil {
		_ = b.subnet.Release()
	}
}

// reserveSubnet reserves the subnet of the options, or any one.
func (b *testbed) reserveSubnet() (err error) {
	if b.options.Hosts > maxHosts {
		return fmt.Errorf("%d hosts: a subnet has addresses for %d", b.options.Hosts, maxHosts)
	}
	if b.options.Subnet == "" {
		b.subnet, err = subnet.ReserveAny()
		return err
	}
	b.subnet, err = subnet.Reserve(b.options.Subnet)
	return err
}

// recordViolation adds a violated guarantee to the report.
func (b *testbed) recordViolation(format string, arguments ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.report.Violations) < maxViolations {
		b.report.Violations = append(b.report.Violations, fmt.Sprintf(format, arguments...))
	}
}

func (b *testbed) count(counts map[string]int, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts[name]++
}

// runs returns how often the endpoints together ran the request to which the
// caller gave an attempt ID.
func (b *testbed) runs(attempt string) int {
	total := 0
	for _, endpoint := range b.endpoints {
		total += endpoint.Runs(attempt)
	}
	return total
}

// waitUntilServing waits until every host serves a read request. It returns
// false if that takes longer than recoveryTimeout.
func (b *testbed) waitUntilServing(ctx context.Context) bool {
	deadline := time.Now().Add(recoveryTimeout)
	waiting := slices.Clone(b.hosts)
	for round := 0; len(waiting) > 0 && time.Now().Before(deadline) && ctx.Err() == nil; round++ {
		waiting = slices.DeleteFunc(waiting, func(host *hostProcess) bool {
			result := send(ctx, host, "GET", "/read/1", fmt.Sprintf("probe-%s-%d-%d", host.settings.Name, deadline.UnixNano(), round))
			return result.err == nil && result.status == 200
		})
		time.Sleep(50 * time.Millisecond)
	}
	return len(waiting) == 0
}

// randomBetween returns a random duration of at least minimum and less than
// maximum.
func randomBetween(random *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(random.Int64N(int64(maximum-minimum)))
}
