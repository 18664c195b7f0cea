package bench

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"filberthold/fakes"
	"filberthold/local"
	"filberthold/model"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassReport counts the jobs of one class.
type ClassReport struct {
	Jobs    int `json:"jobs"`
	Served  int `json:"served"`
	NotRun  int `json:"notRun"`
	NotSent int `json:"notSent"`
	Unknown int `json:"unknown"`
	Pending int `json:"pending"`
	// Wrong counts served jobs whose response body was incomplete or wrong.
	Wrong int `json:"wrong"`
	// Skipped counts arrivals that the driver did not start, because too many jobs
	// were in flight.
	Skipped int                     `json:"skipped"`
	latency *hdrhistogram.Histogram // microseconds
}

// Quantile returns the latency of served jobs at a quantile in percent.
func (r *ClassReport) Quantile(percent float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Report holds the results of one run at callers and fake upstreams.
type Report struct {
	mu      sync.Mutex
	classes map[model.Class]*ClassReport
	// submits holds the outcome that the caller received for each idempotency key.
	submits     map[string]model.Outcome
	doubled     int
	lost        int
	falseNotRun int
	rejected    int
	started     int
	storeWrites int
	// submitWrites counts the transactions that changed register rows.
	submitWrites int
}

// NewReport returns an empty report.
func NewReport() *Report {
	report := &Report{classes: make(map[model.Class]*ClassReport), submits: make(map[string]model.Outcome)}
	for _, class := range model.Classes() {
		report.classes[class] = &ClassReport{latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	}
	return report
}

// Class returns the counts of a class.
func (r *Report) Class(class model.Class) *ClassReport { return r.classes[class] }

// Doubled returns how many idempotency keys were executed more than once.
func (r *Report) Doubled() int { return r.doubled }

// Lost returns how many submits have the outcome served but were never executed.
func (r *Report) Lost() int { return r.lost }

// FalseNotRun returns how many submits were executed although their outcome is
// notRun.
func (r *Report) FalseNotRun() int { return r.falseNotRun }

// Truncated returns how many served jobs have an incomplete or wrong response body.
func (r *Report) Truncated() int {
	truncated := 0
	for _, class := range r.classes {
		truncated += class.Wrong
	}
	return truncated
}

// Rejected returns how many requests an endpoint rejected because it had no free
// slot.
func (r *Report) Rejected() int { return r.rejected }

// StoreWrites returns the number of writes to the platform's store.
func (r *Report) StoreWrites() int { return r.storeWrites }

// WritesPerSubmit returns the mean number of store writes to register rows for each
// submit.
func (r *Report) WritesPerSubmit() float64 {
	if len(r.submits) == 0 {
		return 0
	}
	return float64(r.submitWrites) / float64(len(r.submits))
}

// ServedFraction returns the fraction of the jobs that were served.
func (r *Report) ServedFraction() float64 {
	jobs, served := 0, 0
	for _, class := range r.classes {
		jobs += class.Jobs
		served += class.Served
	}
	if jobs == 0 {
		return 0
	}
	return float64(served) / float64(jobs)
}

// ExtraLoad returns the number of executions at upstreams beyond one for each job,
// as a fraction of the jobs.
func (r *Report) ExtraLoad() float64 {
	jobs := 0
	for _, class := range r.classes {
		jobs += class.Jobs
	}
	if jobs == 0 {
		return 0
	}
	return max(0, float64(r.started-jobs)/float64(jobs))
}

// Correct reports whether no job was doubled, lost, truncated or falsely refused as
// not run.
func (r *Report) Correct() bool {
	return r.doubled == 0 && r.lost == 0 && r.falseNotRun == 0 && r.Truncated() == 0
}

func (r *Report) countSkipped(class model.Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[class].Skipped++
}

func (r *Report) addResult(job fakes.Job, result fakes.JobResult, latency time.Duration, isMeasured bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.classes[job.Class]
	class.Jobs++
	if job.Key != "" {
		r.submits[job.Key] = result.Outcome
	}
	switch result.Outcome {
	case model.Served:
		class.Served++
		if isMeasured {
			_ = class.latency.RecordValue(max(1, latency.Microseconds()))
		}
		if !fakes.IsCompleteResponse(job, result.Body, fakes.DefaultExportBytes) {
			class.Wrong++
		}
	case model.NotRun:
		class.NotRun++
	case model.NotSent:
		class.NotSent++
	case model.Pending:
		class.Pending++
	case model.Unknown:
		class.Unknown++
	}
}

// countExecutions reads the counters of the cluster and compares the outcomes that
// callers received with the executions at upstreams.
func (r *Report) countExecutions(cluster *local.Cluster) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counters := cluster.Counters()
	r.doubled = len(counters.RepeatedKeys())
	r.started = counters.Started()
	r.rejected = counters.Rejected()
	r.storeWrites = cluster.Platform().Writes()
	r.submitWrites = cluster.Platform().ClaimWrites()
	for key, outcome := range r.submits {
		executions := counters.Executions(key)
		if outcome == model.Served && executions == 0 {
			r.lost++
		}
		if outcome == model.NotRun && executions > 0 {
			r.falseNotRun++
		}
	}
}

// WriteTable prints the counts by class.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "class\tjobs\tserved\tnotRun\tnotSent\tpending\tunknown\twrong\tp50\tp99\t")
	for _, class := range model.Classes() {
		counts := r.classes[class]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", class, counts.Jobs, counts.Served,
			counts.NotRun, counts.NotSent, counts.Pending, counts.Unknown, counts.Wrong,
			counts.Quantile(50).Round(100*time.Microsecond), counts.Quantile(99).Round(100*time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	_, err := fmt.Fprintf(out, "doubled %d, lost %d, truncated %d, falsely not run %d, no free slot %d, extra upstream load %.1f%%\n",
		r.doubled, r.lost, r.Truncated(), r.falseNotRun, r.rejected, 100*r.ExtraLoad())
	if err != nil {
		return fmt.Errorf("write totals: %w", err)
	}
	return nil
}
