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

// Scenario names a load and what happens during it.
type Scenario string

const (
	// Calm sends reads and submits, and nothing goes wrong.
	Calm Scenario = "calm"
	// Exports sends reads and submits with exports running.
	Exports Scenario = "exports"
	// Stragglers slows a quarter of the read endpoints ten times for moments.
	Stragglers Scenario = "stragglers"
	// Drain puts one endpoint of each service on the list as leaving while its
	// own health endpoint still says that it is fine.
	Drain Scenario = "drain"
)

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario { return []Scenario{Calm, Exports, Stragglers, Drain} }

const (
	// stragglerFactor and stragglerPart follow the target: a quarter of the
	// endpoints is slowed ten times.
	stragglerFactor = 10
	stragglerPart   = 4
	// stragglerMoment is how long one group of endpoints is slow.
	stragglerMoment = 400 * time.Millisecond
	// stragglerEvery is the time between the starts of two moments.
	stragglerEvery = 500 * time.Millisecond
)

// disturbance brings about what a scenario is for.
type disturbance struct {
	scenario Scenario
	cluster  *local.Cluster
	load     Load
	// drainedAt is the time at which the endpoints were listed as leaving.
	drainedAt time.Time
	drained   []model.EndpointName
}

func (d *disturbance) run(ctx context.Context) {
	switch d.scenario {
	case Stragglers:
		d.straggle(ctx)
	case Drain:
		if sleep(ctx, d.load.Duration/2) {
			d.drain()
		}
	case Calm, Exports:
	}
}

// straggle slows a new seeded choice of read endpoints at fixed intervals.
func (d *disturbance) straggle(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.load.Seed, 1))
	endpoints := d.readEndpoints()
	for {
		order := random.Perm(len(endpoints))
		for _, index := range order[:len(endpoints)/stragglerPart] {
			d.cluster.Upstream(endpoints[index]).SlowDown(stragglerFactor, stragglerMoment)
		}
		if !sleep(ctx, stragglerEvery) {
			return
		}
	}
}

func (d *disturbance) readEndpoints() []model.EndpointName {
	var names []model.EndpointName
	for _, endpoint := range d.cluster.Deployment().Endpoints() {
		if service, _ := d.cluster.Deployment().Service(endpoint.Service()); service.Class() == model.Read {
			names = append(names, endpoint.Name())
		}
	}
	return names
}

// drain lists the first endpoint of each service as leaving.
func (d *disturbance) drain() {
	for _, service := range d.cluster.Deployment().Services() {
		name := d.cluster.Deployment().EndpointsOf(service.Name())[0].Name()
		d.drained = append(d.drained, name)
		d.cluster.Platform().SetMember(store.Member{
			Name: string(name), Kind: "endpoint", Incarnation: "1", State: store.Leaving,
		})
	}
	d.drainedAt = time.Now()
}

// drainTime returns how long drained endpoints received new work.
func (d *disturbance) drainTime() time.Duration {
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

// delays returns the one-way delay between two availability zones.
func delays(deployment *model.Deployment) func(from, to model.ZoneName) time.Duration {
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

// behaviours returns how the upstream stand-ins of each class work. Exports
// run many times longer than other work.
func behaviours(deployment *model.Deployment, seed uint64) func(model.Endpoint) fakes.Behaviour {
	serviceTimes := map[model.Class]time.Duration{
		model.Read: 12 * time.Millisecond, model.Submit: 20 * time.Millisecond, model.Export: 20 * time.Millisecond,
	}
	delay := delays(deployment)
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

// loadOf returns the arrivals of a scenario: about 45% of the slots of the
// read and submit services are busy on average.
func loadOf(scenario Scenario, deployment *model.Deployment, seed uint64, duration time.Duration) Load {
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
		load.ArrivalRates[service.Name()] = float64(slots) * perSlot(service.Class(), scenario)
	}
	return load
}

// perSlot returns the arrivals a second for each slot of a service.
func perSlot(class model.Class, scenario Scenario) float64 {
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

// ParseScenario returns the scenario with a name.
func ParseScenario(name string) (Scenario, error) {
	for _, scenario := range Scenarios() {
		if scenario.String() == name {
			return scenario, nil
		}
	}
	return "", fmt.Errorf("unknown scenario %q: want calm, exports, stragglers or drain", name)
}
