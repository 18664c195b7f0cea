// Package local runs a whole deployment in one process on loopback addresses:
// a fake platform, fake upstreams and entry hosts.
package local

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"filberthold/common"
	"filberthold/config"
	"filberthold/entry"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/revise"
	"filberthold/store"
)

// Options are the settings of a cluster.
type Options struct {
	Document config.Document
	// Hosts bounds the number of entry hosts that are started; 0 starts all.
	Hosts     int
	Placement config.PlacementMode
	// ServiceTime holds the time for which a fake upstream executes a request of
	// each class.
	ServiceTime map[model.Class]time.Duration
	// Log receives the log of all entry hosts.
	Log io.Writer
}

// Cluster is a running deployment.
type Cluster struct {
	options    Options
	deployment *model.Deployment
	platform   *fakes.Platform
	counters   *fakes.Counters
	upstreams  map[model.EndpointName]*fakes.Upstream
	hosts      map[model.HostName]*runningHost
	servers    []*http.Server
	group      sync.WaitGroup

	platformAddress string
}

type runningHost struct {
	host      *entry.Host
	listeners entry.Listeners
	stop      context.CancelFunc
	// done is closed when the host has stopped; err is set before.
	done chan struct{}
	err  error
}

// Start opens all sockets on free loopback ports, publishes the configuration and
// starts the platform, the upstreams and the hosts.
func Start(options Options) (*Cluster, error) {
	cluster := &Cluster{
		options:   options,
		platform:  fakes.NewPlatform(),
		counters:  fakes.NewCounters(),
		upstreams: make(map[model.EndpointName]*fakes.Upstream),
		hosts:     make(map[model.HostName]*runningHost),
	}
	if err := cluster.start(); err != nil {
		return nil, errors.Join(err, cluster.Close())
	}
	return cluster, nil
}

func (c *Cluster) start() error {
	var err error
	if c.platformAddress, err = c.startPlatform(); err != nil {
		return fmt.Errorf("start fake platform: %w", err)
	}
	document := c.options.Document
	endpointListeners, err := bindEndpoints(&document)
	if err != nil {
		return fmt.Errorf("bind endpoints: %w", err)
	}
	hostListeners, err := bindHosts(&document, c.options.Hosts)
	if err != nil {
		return fmt.Errorf("bind hosts: %w", err)
	}
	c.deployment, err = document.Build(1)
	if err != nil {
		return fmt.Errorf("build deployment: %w", err)
	}
	if err := publish(c.platformAddress, document); err != nil {
		return fmt.Errorf("publish configuration: %w", err)
	}
	c.startUpstreams(endpointListeners)
	for name, listeners := range hostListeners {
		if err := c.startHost(name, listeners); err != nil {
			return fmt.Errorf("start host %q: %w", name, err)
		}
	}
	return nil
}

func (c *Cluster) startPlatform() (string, error) {
	listener, err := listenLoopback()
	if err != nil {
		return "", err
	}
	c.serve(listener, c.platform)
	return listener.Addr().String(), nil
}

func (c *Cluster) startUpstreams(listeners map[model.EndpointName]net.Listener) {
	for _, endpoint := range c.deployment.Endpoints() {
		service, _ := c.deployment.Service(endpoint.Service())
		upstream := fakes.NewUpstream(endpoint, service.Class(), c.counters, c.options.ServiceTime[service.Class()])
		c.upstreams[endpoint.Name()] = upstream
		c.platform.SetMember(store.Member{
			Name: string(endpoint.Name()), Kind: store.KindEndpoint, Incarnation: "1", State: store.Live,
		})
		c.serve(upstream.Listener(listeners[endpoint.Name()]), upstream)
	}
}

func (c *Cluster) startHost(name model.HostName, listeners entry.Listeners) error {
	host, _ := c.deployment.Host(name)
	settings := config.Settings{
		Host:             string(name),
		AvailabilityZone: string(host.Zone()),
		CallerAddress:    host.CallerAddress(),
		PeerAddress:      host.PeerAddress(),
		OperatorAddress:  host.OperatorAddress(),
		PlatformAddress:  c.platformAddress,
		PeerSeeds:        c.peerSeeds(),
		PeerSecret:       "local",
		Log:              config.LogSettings{Format: "text", Level: "info"},
		Placement:        c.options.Placement,
	}
	base, err := common.NewBase(settings, c.options.Log)
	if err != nil {
		return fmt.Errorf("make base: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &runningHost{host: entry.NewHost(base), listeners: listeners, stop: stop, done: make(chan struct{})}
	c.hosts[name] = running
	go running.run(ctx)
	return nil
}

// peerSeeds returns the peer addresses of the first hosts.
func (c *Cluster) peerSeeds() []string {
	var seeds []string
	for _, host := range c.deployment.Hosts() {
		if len(seeds) < 3 {
			seeds = append(seeds, host.PeerAddress())
		}
	}
	return seeds
}

func (r *runningHost) run(ctx context.Context) {
	defer close(r.done)
	r.err = r.host.Serve(ctx, r.listeners)
}

// serve serves a listener until the cluster is closed.
func (c *Cluster) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	c.servers = append(c.servers, server)
	c.group.Go(func() { _ = server.Serve(listener) })
}

// Deployment returns the deployment with the addresses in use.
func (c *Cluster) Deployment() *model.Deployment { return c.deployment }

// Platform returns the fake platform.
func (c *Cluster) Platform() *fakes.Platform { return c.platform }

// Counters returns the execution counters of the fake upstreams.
func (c *Cluster) Counters() *fakes.Counters { return c.counters }

// Upstream returns the fake upstream of an endpoint.
func (c *Cluster) Upstream(name model.EndpointName) *fakes.Upstream { return c.upstreams[name] }

// StopHost stops an entry host gracefully and waits for it.
func (c *Cluster) StopHost(name model.HostName) error {
	running := c.hosts[name]
	running.stop()
	<-running.done
	return running.err
}

// StopHosts stops all entry hosts gracefully and waits for them.
func (c *Cluster) StopHosts() error {
	for _, running := range c.hosts {
		running.stop()
	}
	var errs []error
	for name := range c.hosts {
		errs = append(errs, c.StopHost(name))
	}
	return errors.Join(errs...)
}

// WaitReady waits until all entry hosts have adopted the configuration.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for name, running := range c.hosts {
		if err := running.host.WaitReady(ctx); err != nil {
			return fmt.Errorf("wait for host %q: %w", name, err)
		}
	}
	return nil
}

// Close stops everything at once, without a graceful shutdown of the hosts.
func (c *Cluster) Close() error {
	var errs []error
	for name, running := range c.hosts {
		running.host.Abort()
		errs = append(errs, c.StopHost(name))
	}
	for _, server := range c.servers {
		errs = append(errs, server.Close())
	}
	c.group.Wait()
	return errors.Join(errs...)
}

func bindEndpoints(document *config.Document) (map[model.EndpointName]net.Listener, error) {
	endpoints := make([]config.EndpointDocument, len(document.Endpoints))
	listeners := make(map[model.EndpointName]net.Listener, len(endpoints))
	for i, endpoint := range document.Endpoints {
		listener, err := listenLoopback()
		if err != nil {
			return nil, err
		}
		endpoint.Address = listener.Addr().String()
		endpoints[i] = endpoint
		listeners[model.EndpointName(endpoint.Name)] = listener
	}
	document.Endpoints = endpoints
	return listeners, nil
}

func bindHosts(document *config.Document, limit int) (map[model.HostName]entry.Listeners, error) {
	hosts := document.Hosts
	if limit > 0 && limit < len(hosts) {
		hosts = hosts[:limit]
	}
	bound := make([]config.HostDocument, len(hosts))
	listeners := make(map[model.HostName]entry.Listeners, len(hosts))
	for i, host := range hosts {
		callers, err := listenLoopback()
		if err != nil {
			return nil, err
		}
		operators, err := listenLoopback()
		if err != nil {
			return nil, err
		}
		peerConn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for peers: %w", err)
		}
		host.PeerAddress = peerConn.LocalAddr().String()
		host.CallerAddress = callers.Addr().String()
		host.OperatorAddress = operators.Addr().String()
		bound[i] = host
		listeners[model.HostName(host.Name)] = entry.Listeners{Callers: callers, Operators: operators, Peers: peerConn}
	}
	document.Hosts = bound
	return listeners, nil
}

func listenLoopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return listener, nil
}

func publish(platformAddress string, document config.Document) error {
	text, err := config.Encode(document)
	if err != nil {
		return err
	}
	client := store.NewClient(platformAddress)
	defer client.Close()
	if _, err := revise.Accept(context.Background(), client, 0, text); err != nil {
		return fmt.Errorf("accept first revision: %w", err)
	}
	return nil
}
