// Package demo runs a deployment in one process under load, stops parts of it, and
// reports the results at callers and upstreams.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"filberthold/bench"
	deploy "filberthold/deployments"
	"filberthold/local"
	"filberthold/model"

	"golang.org/x/sync/errgroup"
)

// ErrGuaranteeViolated reports that a job was doubled, lost, truncated or falsely
// refused as not run.
var ErrGuaranteeViolated = errors.New("a promise was broken: see the totals")

// Options are the settings of a demo.
type Options struct {
	Deployment string
	Duration   time.Duration
	Seed       uint64
	JSON       bool
	// Log receives the log of all entry hosts.
	Log io.Writer
}

const (
	hostCount = 4
	// readyTimeout bounds the start of the cluster.
	readyTimeout = 5 * time.Second
)

// Run runs the demo and writes the report to out.
func Run(ctx context.Context, options Options, out io.Writer) error {
	document, err := deploy.Load(options.Deployment)
	if err != nil {
		return fmt.Errorf("load deployment: %w", err)
	}
	cluster, err := local.Start(local.Options{
		Document: document,
		Hosts:    hostCount,
		Log:      options.Log,
		ServiceTime: map[model.Class]time.Duration{
			model.Read: 5 * time.Millisecond, model.Submit: 10 * time.Millisecond, model.Export: 300 * time.Millisecond,
		},
	})
	if err != nil {
		return fmt.Errorf("start cluster: %w", err)
	}
	report, err := runWithFaults(ctx, cluster, options, out)
	if err := errors.Join(err, cluster.Close()); err != nil {
		return fmt.Errorf("run demo: %w", err)
	}
	if err := writeReport(report, options, out); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if !report.Correct() {
		return ErrGuaranteeViolated
	}
	return nil
}

// runWithFaults sends the load. Meanwhile it drains an upstream endpoint and
// stops an entry host.
func runWithFaults(ctx context.Context, cluster *local.Cluster, options Options, out io.Writer) (*bench.Report, error) {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := cluster.WaitReady(readyCtx); err != nil {
		return nil, fmt.Errorf("wait for cluster: %w", err)
	}
	progress := &progress{out: out, quiet: options.JSON, started: time.Now()}
	driver := bench.NewDriver(cluster, demoLoad(cluster.Deployment(), options))
	injector := &faultInjector{cluster: cluster, progress: progress, duration: options.Duration}
	progress.printf("%s: %d entry hosts, %d endpoints", options.Deployment, hostCount, len(cluster.Deployment().Endpoints()))
	var report *bench.Report
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { report = driver.Run(ctx); return nil })
	group.Go(func() error { return injector.run(ctx) })
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("run load and faults: %w", err)
	}
	progress.printf("all requests have ended")
	return report, nil
}

func demoLoad(deployment *model.Deployment, options Options) bench.Load {
	load := bench.Load{
		Seed:         options.Seed,
		Duration:     options.Duration,
		ArrivalRates: make(map[model.ServiceName]float64),
		Customers:    20,
		Timeouts: map[model.Class]time.Duration{
			model.Read: 2 * time.Second, model.Submit: 5 * time.Second, model.Export: 10 * time.Second,
		},
	}
	rates := map[model.Class]float64{model.Read: 200, model.Submit: 50, model.Export: 5}
	for _, service := range deployment.Services() {
		load.ArrivalRates[service.Name()] = rates[service.Class()]
	}
	return load
}

// faultInjector stops parts of the cluster at fixed times of the demo.
type faultInjector struct {
	cluster  *local.Cluster
	progress *progress
	duration time.Duration
}

func (d *faultInjector) run(ctx context.Context) error {
	if !d.wait(ctx, d.duration/3) {
		return nil
	}
	endpoint := d.cluster.Deployment().Endpoints()[0].Name()
	d.cluster.Upstream(endpoint).Leave()
	d.progress.printf("upstream endpoint %s is leaving", endpoint)
	if !d.wait(ctx, d.duration/3) {
		return nil
	}
	host := d.cluster.Deployment().Hosts()[0].Name()
	d.progress.printf("entry host %s is stopping", host)
	if err := d.cluster.StopHost(host); err != nil {
		return fmt.Errorf("stop host %q: %w", host, err)
	}
	d.progress.printf("entry host %s has stopped", host)
	return nil
}

func (d *faultInjector) wait(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

type progress struct {
	out     io.Writer
	quiet   bool
	started time.Time
}

func (p *progress) printf(format string, args ...any) {
	if p.quiet {
		return
	}
	_, _ = fmt.Fprintf(p.out, "%5.1fs  %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, args...))
}

func writeReport(report *bench.Report, options Options, out io.Writer) error {
	if options.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.WriteTable(out)
}
