package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"filberthold/fakes"
	"filberthold/local"
	"filberthold/model"
	"filberthold/store"
)

// Scenario is the name of a load and of the faults during it.
type Scenario string

const (
	// Calm sends reads and submits without faults.
	Calm Scenario = "calm"
	// Exports sends reads, submits and exports without faults.
	Exports Scenario = "exports"
	// Stragglers sends reads and submits. It makes a quarter of the read endpoints
	// ten times slower for short times.
	Stragglers Scenario = "stragglers"
	// Drain sends reads, submits and exports. It shows one endpoint of each service
	// as leaving in the host list, while its health check still succeeds.
	Drain Scenario = "drain"
)

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario { return []Scenario{Calm, Exports, Stragglers, Drain} }

const (
	// stragglerFactor and stragglerDivisor are set by the target for stragglers: a
	// quarter of the endpoints is ten times slower.
	stragglerFactor  = 10
	stragglerDivisor = 4
	// slowDownTime is the time for which a group of endpoints is slow.
	slowDownTime = 400 * time.Millisecond
	// slowDownInterval is the time between the starts of two slow-downs.
	slowDownInterval = 500 * time.Millisecond
)

// scenarioRunner causes the faults of a scenario.
type scenarioRunner struct {
	scenario Scenario
	cluster  *local.Cluster
	load     Load
	// drainedAt is the time from which the host list shows the endpoints as
	// leaving.
	drainedAt time.Time
	drained   []model.EndpointName
}

func (d *scenarioRunner) run(ctx context.Context) {
	switch d.scenario {
	case Stragglers:
		d.slowDownEndpoints(ctx)
	case Drain:
		if sleep(ctx, d.load.Duration/2) {
			d.drain()
		}
	case Calm, Exports:
	}
}

// slowDownEndpoints slows down some read endpoints every slowDownInterval, chosen
// anew each time with the seed of the load.
func (d *scenarioRunner) slowDownEndpoints(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.load.Seed, 1))
	endpoints := d.readEndpoints()
	for {
		order := random.Perm(len(endpoints))
		for _, index := range order[:len(endpoints)/stragglerDivisor] {
			d.cluster.Upstream(endpoints[index]).SlowDown(stragglerFactor, slowDownTime)
		}
		if !sleep(ctx, slowDownInterval) {
			return
		}
	}
}

func (d *scenarioRunner) readEndpoints() []model.EndpointName {
	var names []model.EndpointName
	for _, endpoint := range d.cluster.Deployment().Endpoints() {
		if service, _ := d.cluster.Deployment().Service(endpoint.Service()); service.Class() == model.Read {
			names = append(names, endpoint.Name())
		}
	}
	return names
}

// drain shows the first endpoint of each service as leaving in the host list.
func (d *scenarioRunner) drain() {
	for _, service := range d.cluster.Deployment().Services() {
		name := d.cluster.Deployment().EndpointsOf(service.Name())[0].Name()
		d.drained = append(d.drained, name)
		d.cluster.Platform().SetMember(store.Member{
			Name: string(name), Kind: "endpoint", Incarnation: "1", State: store.Leaving,
		})
	}
	d.drainedAt = time.Now()
}

// drainTime returns the longest time for which a drained endpoint received new
// requests.
func (d *scenarioRunner) drainTime() time.Duration {
	var longest time.Duration
	for _, name := range d.drained {
		longest = max(longest, d.cluster.Upstream(name).LastArrival().Sub(d.drainedAt))
	}
	return longest
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// delayFunc returns a function for the one-way delay between two availability
// zones.
func delayFunc(deployment *model.Deployment) func(from, to model.ZoneName) time.Duration {
	return func(from, to model.ZoneName) time.Duration {
		switch {
		case from == to:
			return 0
		case deployment.RegionOf(from) == deployment.RegionOf(to):
			return deployment.Delays().BetweenZones()
		}
		return deployment.Delays().BetweenRegions()
	}
}

// behaviourFunc returns a function for the behaviour of an endpoint's fake upstream.
// Exports take many times longer than reads and submits.
func behaviourFunc(deployment *model.Deployment, seed uint64) func(model.Endpoint) fakes.Behaviour {
	serviceTimes := map[model.Class]time.Duration{
		model.Read: 12 * time.Millisecond, model.Submit: 20 * time.Millisecond, model.Export: 20 * time.Millisecond,
	}
	delay := delayFunc(deployment)
	return func(endpoint model.Endpoint) fakes.Behaviour {
		service, _ := deployment.Service(endpoint.Service())
		return fakes.Behaviour{
			ServiceTime:          serviceTimes[service.Class()],
			Jitter:               0.3,
			Seed:                 seed,
			LoadLag:              time.Second,
			Delay:                delay,
			ExportBytes:          fakes.DefaultExportBytes,
			ExportBytesPerSecond: fakes.DefaultExportBytes,
		}
	}
}

// newLoad returns the load of a scenario. On average, it occupies about 45% of the
// slots of the read and submit services.
func newLoad(scenario Scenario, deployment *model.Deployment, seed uint64, duration time.Duration) Load {
	load := Load{
		Seed:         seed,
		Duration:     duration,
		WarmUp:       2 * time.Second,
		ArrivalRates: make(map[model.ServiceName]float64),
		Customers:    50,
		Timeouts: map[model.Class]time.Duration{
			model.Read: 5 * time.Second, model.Submit: 10 * time.Second, model.Export: 30 * time.Second,
		},
	}
	for _, service := range deployment.Services() {
		slots := 0
		for _, endpoint := range deployment.EndpointsOf(service.Name()) {
			slots += endpoint.Slots()
		}
		load.ArrivalRates[service.Name()] = float64(slots) * arrivalsPerSlot(service.Class(), scenario)
	}
	return load
}

// arrivalsPerSlot returns the arrivals per second for each slot of a service.
func arrivalsPerSlot(class model.Class, scenario Scenario) float64 {
	switch {
	case class == model.Read:
		return 15
	case class == model.Submit:
		return 5
	case scenario == Exports || scenario == Drain:
		return 0.4
	}
	return 0
}

// String returns the name of the scenario.
func (s Scenario) String() string { return string(s) }

// ParseScenario returns the scenario with the given name.
func ParseScenario(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if scenario.String() == name {
			return scenario, nil
		}
	}
	return "", fmt.Errorf("unknown scenario %q: want calm, exports, stragglers or drain", name)
}
