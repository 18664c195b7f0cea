package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"filberthold/config"
	deploy "filberthold/deployments"
	"filberthold/local"
	"filberthold/model"
)

// Experiment runs scenarios with several placement policies and one seed.
type Experiment struct {
	Deployment string
	Seed       uint64
	Duration   time.Duration
	Policies   []config.PlacementMode
	Scenarios  []Scenario
	// Progress receives a line for each run.
	Progress io.Writer
	// Log receives the log of all entry hosts.
	Log io.Writer
}

// Run is the result of one policy in one scenario.
type Run struct {
	Policy   config.PlacementMode `json:"policy"`
	Scenario Scenario             `json:"scenario"`
	Report   *Report              `json:"report"`
	// DrainTime is the longest time for which a drained endpoint received new
	// requests.
	DrainTime time.Duration `json:"drainTimeNanoseconds"`
	// Headroom is the mean fraction of free slots, without those of exports.
	Headroom float64 `json:"headroom"`
}

const readyTimeout = 10 * time.Second

// Run runs each scenario with each policy, one after another.
func (e *Experiment) Run(ctx context.Context) ([]Run, error) {
	var runs []Run
	for _, scenario := range e.Scenarios {
		for _, policy := range e.Policies {
			run, err := e.runOne(ctx, policy, scenario)
			if err != nil {
				return runs, fmt.Errorf("run %s with %s: %w", scenario, policy, err)
			}
			_, _ = fmt.Fprintf(e.Progress, "%s %s %s done\n", e.Deployment, scenario, policy)
			runs = append(runs, run)
		}
	}
	return runs, nil
}

func (e *Experiment) runOne(ctx context.Context, policy config.PlacementMode, scenario Scenario) (Run, error) {
	document, err := deploy.Load(e.Deployment)
	if err != nil {
		return Run{}, fmt.Errorf("load deployment: %w", err)
	}
	cluster, err := local.Start(local.Options{Document: document, Placement: policy, Log: e.Log})
	if err != nil {
		return Run{}, fmt.Errorf("start cluster: %w", err)
	}
	run, err := e.measure(ctx, cluster, scenario)
	run.Policy = policy
	return run, errors.Join(err, cluster.Close())
}

func (e *Experiment) measure(ctx context.Context, cluster *local.Cluster, scenario Scenario) (Run, error) {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.WaitReady(readyCtx); err != nil {
		return Run{}, fmt.Errorf("wait for cluster: %w", err)
	}
	deployment := cluster.Deployment()
	behaviour := behaviourFunc(deployment, e.Seed)
	for _, endpoint := range deployment.Endpoints() {
		cluster.Upstream(endpoint.Name()).Configure(behaviour(endpoint))
	}
	load := newLoad(scenario, deployment, e.Seed, e.Duration)
	runner := &scenarioRunner{scenario: scenario, cluster: cluster, load: load}
	sampler := &headroomSampler{cluster: cluster}
	scenarioCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { runner.run(scenarioCtx) })
	background.Go(func() { sampler.run(scenarioCtx) })
	report := NewDriver(cluster, load).Run(ctx)
	stop()
	background.Wait()
	return Run{
		Scenario:  scenario,
		Report:    report,
		DrainTime: runner.drainTime(),
		Headroom:  sampler.mean(),
	}, nil
}

// headroomSampler samples the fraction of free slots of the fake upstreams, without
// exports.
type headroomSampler struct {
	cluster *local.Cluster
	samples int
	total   float64
}

const sampleInterval = 20 * time.Millisecond

func (s *headroomSampler) run(ctx context.Context) {
	for sleep(ctx, sampleInterval) {
		free, slots := 0, 0
		for _, endpoint := range s.cluster.Deployment().Endpoints() {
			if service, _ := s.cluster.Deployment().Service(endpoint.Service()); service.Class() == model.Export {
				continue
			}
			slots += endpoint.Slots()
			free += endpoint.Slots() - s.cluster.Upstream(endpoint.Name()).Busy()
		}
		s.total += float64(free) / float64(slots)
		s.samples++
	}
}

func (s *headroomSampler) mean() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.total / float64(s.samples)
}
