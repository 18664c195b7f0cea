package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/common"
	"filberthold/config"
	"filberthold/entry"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/revise"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

// faultInjector is a handler in front of a fake. If a fault is set, it handles
// requests instead of the fake. It does not handle probes, which hosts send to an
// upstream at any time.
type faultInjector struct {
	handler http.Handler
	fault   atomic.Pointer[func(w http.ResponseWriter, r *http.Request)]
}

func (i *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isProbe := r.URL.Path == "/healthz" || r.URL.Path == "/load"
	if fault := i.fault.Load(); fault != nil && !isProbe {
		(*fault)(w, r)
		return
	}
	i.handler.ServeHTTP(w, r)
}

func (i *faultInjector) setFault(fault func(w http.ResponseWriter, r *http.Request)) {
	i.fault.Store(&fault)
}

// respondDown responds like a server that is down.
func respondDown(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "down", http.StatusBadGateway)
}

// respondNotStarted responds like an upstream that did not start a request.
func respondNotStarted(w http.ResponseWriter) {
	w.Header().Set("Upstream-Not-Started", "true")
	http.Error(w, "not started", http.StatusServiceUnavailable)
}

// cluster is a set of entry hosts and an upstream service with one endpoint. Each
// host has its own fault injector in front of the shared platform.
type cluster struct {
	platform *fakes.Platform
	counters *fakes.Counters
	stores   []*faultInjector
	upstream *faultInjector
	// upstreamAddress is the address of the upstream's fault injector.
	upstreamAddress string
	addresses       []string
	// aborts holds a function for each host that aborts it and waits for its end.
	aborts []func()
	// storeAddresses holds the addresses of the fault injectors in stores.
	storeAddresses []string
}

func startCluster(t testing.TB, hosts, slots int, serviceTime time.Duration) *cluster {
	c := &cluster{platform: fakes.NewPlatform(), counters: fakes.NewCounters(), upstream: &faultInjector{}}
	serve := func(injector *faultInjector) string {
		server := httptest.NewServer(injector)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	c.upstreamAddress = serve(c.upstream)
	endpoint := config.EndpointDocument{Name: "desk-1", Service: "desk", AvailabilityZone: "a", Slots: slots,
		Connections: 100, Address: c.upstreamAddress}
	document := config.Document{
		Name:              "test",
		AvailabilityZones: []config.ZoneDocument{{Name: "a", Region: "r"}},
		Services: []config.ServiceDocument{{Name: "desk", Class: "submit", QueueLimit: 999,
			DefaultTimeout: config.Duration(10 * time.Second)}},
		Endpoints: []config.EndpointDocument{endpoint},
	}
	listeners := make([]entry.Listeners, hosts)
	for i := range listeners {
		listeners[i] = entry.Listeners{Callers: listen(t), Operators: listen(t)}
		c.addresses = append(c.addresses, listeners[i].Callers.Addr().String())
		document.Hosts = append(document.Hosts, config.HostDocument{
			Name: fmt.Sprint("host-", i), AvailabilityZone: "a", Site: "a", CallerAddress: c.addresses[i],
			PeerAddress:     fmt.Sprint("127.0.0.1:", i+1),
			OperatorAddress: listeners[i].Operators.Addr().String(),
		})
		c.stores = append(c.stores, &faultInjector{handler: c.platform})
	}
	deployment, err := document.Build(1)
	assert.NilError(t, err)
	c.upstream.handler = fakes.NewUpstream(deployment.Endpoints()[0], model.Submit, c.counters, serviceTime)
	text, err := config.Encode(document)
	assert.NilError(t, err)
	for i := range listeners {
		address := serve(c.stores[i])
		c.storeAddresses = append(c.storeAddresses, address)
		if i == 0 {
			client := store.NewClient(address)
			_, err = revise.Accept(t.Context(), client, 0, text)
			assert.NilError(t, err)
			client.Close()
		}
		c.startHost(t, document.Hosts[i].Name, address, listeners[i])
	}
	return c
}

func (c *cluster) startHost(t testing.TB, name, platform string, listeners entry.Listeners) {
	base, err := common.NewBase(config.Settings{Host: name, AvailabilityZone: "a", PlatformAddress: platform,
		Log: config.LogSettings{Level: "info"}}, io.Discard)
	assert.NilError(t, err)
	host := entry.NewHost(base)
	ctx, stop := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { assert.Check(t, host.Serve(ctx, listeners)) })
	abort := func() { host.Abort(); serving.Wait(); stop() }
	c.aborts = append(c.aborts, abort)
	t.Cleanup(abort)
	assert.NilError(t, host.WaitReady(t.Context()))
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// submit sends a submit to a host and returns its outcome and its body.
func (c *cluster) submit(ctx context.Context, host int, key string, deadline time.Time) (model.Outcome, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[host]+"/s/desk/order",
		strings.NewReader("order "+key))
	if err != nil {
		return "", err.Error()
	}
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Filberthold-Deadline", deadline.Format(time.RFC3339Nano))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return model.Outcome(response.Header.Get("Filberthold-Outcome")), string(body)
}
