// Package soak runs the program as separate processes on loopback, disturbs
// them, their store, their endpoints and the connections between them at
// random, and checks the promises to callers while it does.
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
)

const (
	// endpointCount is the number of endpoints of the one service.
	endpointCount = 6
	// recovery is how long after the last fault every host must serve.
	recovery = 8 * time.Second
	// maxBroken bounds the broken promises that a report lists.
	maxBroken = 20
)

// Options describe a soak.
type Options struct {
	// Program is the path of the binary under test.
	Program string
	// Directory holds the settings files.
	Directory string
	Seed      uint64
	Duration  time.Duration
	Hosts     int
	// Subnet is the first three numbers of the hosts' loopback addresses.
	Subnet string
	// Log gets the output of the processes.
	Log io.Writer
}

// Report is what a soak saw.
type Report struct {
	Seed     uint64         `json:"seed"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Violations lists promises that were not kept.
	Violations []string `json:"broken"`
}

// world is everything that runs.
type world struct {
	options Options
	store   *fake.Store
	// storeLink and links stand before the store and the endpoints.
	storeLink *proxy
	links     []*proxy
	endpoints []*fake.Endpoint
	hosts     []*host
	// faulting counts the faults that are not undone yet.
	faulting sync.WaitGroup
	mu       sync.Mutex
	report   Report
}

// Run runs a soak to its end. A broken promise is in the report; an error means
// that the soak itself could not go on.
func Run(ctx context.Context, options Options) (Report, error) {
	w := &world{options: options, store: fake.NewStore(), report: Report{
		Seed: options.Seed, Outcomes: make(map[string]int), Faults: make(map[string]int),
	}}
	server := httptest.NewServer(w.store)
	defer server.Close()
	defer w.close()
	if err := w.start(strings.TrimPrefix(server.URL, "http://")); err != nil {
		return Report{}, fmt.Errorf("start soak: %w", err)
	}
	if !w.waitServing(ctx) {
		return Report{}, errors.New("start soak: the hosts do not serve")
	}
	callers := newCallers(w)
	calling, stopCalling := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { callers.run(calling) })
	w.disturb(ctx)
	w.faulting.Wait()
	if !w.waitServing(ctx) {
		w.breaks("a host does not serve %s after the last fault", recovery)
	}
	stopCalling()
	running.Wait()
	callers.settle()
	for _, one := range w.hosts {
		if err := one.stop(); err != nil {
			w.breaks("%v", err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report, nil
}

func (w *world) start(store string) error {
	link, err := startProxy(store)
	if err != nil {
		return err
	}
	w.storeLink = link
	go link.run()
	w.store.Put(platform.OperatorTable, platform.ConfigKey, fake.Config(1))
	for i := range endpointCount {
		if err := w.addEndpoint(fmt.Sprint("i-", i)); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range w.options.Hosts {
		seeds = append(seeds, fmt.Sprintf("%s.%d", w.options.Subnet, i+1))
	}
	for i, ip := range seeds {
		made, err := newHost(w.options, fake.HostSettings{
			Name: fmt.Sprint("host-", i), IP: ip, Zone: "za", Region: "north", Seeds: seeds, Store: link.address(), StopGrace: stopGrace,
		})
		if err != nil {
			return err
		}
		if err := made.start(); err != nil {
			return err
		}
		w.hosts = append(w.hosts, made)
	}
	return nil
}

func (w *world) addEndpoint(name string) error {
	endpoint, err := fake.StartEndpoint(name, "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("add endpoint: %w", err)
	}
	go endpoint.Run()
	endpoint.SetLatency(20 * time.Millisecond)
	link, err := startProxy(endpoint.Address())
	if err != nil {
		return err
	}
	go link.run()
	w.endpoints, w.links = append(w.endpoints, endpoint), append(w.links, link)
	entry := strings.Replace(endpoint.Entry("s", "za", "ready", 1), endpoint.Address(), link.address(), 1)
	w.store.Put(platform.EndpointTable, name, entry)
	return nil
}

// close ends what is still running.
func (w *world) close() {
	for _, one := range w.hosts {
		select {
		case <-one.exited:
		default:
			_ = one.signal(syscall.SIGCONT)
			_ = one.kill()
		}
	}
	for i, endpoint := range w.endpoints {
		_, _ = endpoint.Close(), w.links[i].listener.Close()
	}
	if w.storeLink != nil {
		_ = w.storeLink.listener.Close()
	}
}

// breaks notes a promise that was not kept.
func (w *world) breaks(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.report.Violations) < maxBroken {
		w.report.Violations = append(w.report.Violations, fmt.Sprintf(format, arguments...))
	}
}

func (w *world) count(counts map[string]int, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts[name]++
}

// runs returns how often endpoints ran a request.
func (w *world) runs(attempt string) int {
	sum := 0
	for _, endpoint := range w.endpoints {
		sum += endpoint.Runs(attempt)
	}
	return sum
}

// waitServing waits until every host serves a read, for the time of recovery.
func (w *world) waitServing(ctx context.Context) bool {
	until := time.Now().Add(recovery)
	waiting := slices.Clone(w.hosts)
	for round := 0; len(waiting) > 0 && time.Now().Before(until) && ctx.Err() == nil; round++ {
		waiting = slices.DeleteFunc(waiting, func(one *host) bool {
			answer := send(ctx, one, "GET", "/read/1", fmt.Sprintf("probe-%s-%d-%d", one.file.Name, until.UnixNano(), round))
			return answer.err == nil && answer.status == 200
		})
		time.Sleep(50 * time.Millisecond)
	}
	return len(waiting) == 0
}

// randomBetween returns a duration from a range.
func randomBetween(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
