package proxy

import (
	"filberthold/steer"

	"github.com/prometheus/client_golang/prometheus"
)

// waitResult is what became of a request that found every endpoint full.
type waitResult int

const (
	// gotSlot means that the request was sent after waiting.
	gotSlot waitResult = iota
	// rejectedAtOnce means that the request could not be expected to get a slot in time.
	rejectedAtOnce
	// overtaken means the same of a request that had begun to wait.
	overtaken
	// expired means that the time to wait passed, or that the caller left.
	expired
	waitResults
)

// String returns the text form for metrics.
func (r waitResult) String() string {
	switch r {
	case gotSlot:
		return "gotSlot"
	case rejectedAtOnce:
		return "rejectedAtOnce"
	case overtaken:
		return "overtaken"
	case expired:
		return "expired"
	case waitResults:
	}
	return "unknown"
}

// waitCounts counts results.
type waitCounts [waitResults]uint64

// add counts the decision on a waiting request.
func (w *waitCounts) add(decision steer.Decision) {
	if _, isSend := decision.(steer.Send); isSend {
		w[gotSlot]++
		return
	}
	w[overtaken]++
}

// RegisterWaitMetrics registers the metrics of requests that wait for a slot.
func RegisterWaitMetrics(registry *prometheus.Registry, core *Core) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "filberthold_waiting_requests", Help: "Requests that wait for a slot.",
	}, func() float64 {
		core.mu.Lock()
		defer core.mu.Unlock()
		return float64(core.waiting.waitlist.Len() + core.waiting.queue.Len())
	}))
	for result := range waitResults {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "filberthold_queued_requests_total", Help: "Requests that found every endpoint full, by what became of them.",
			ConstLabels: prometheus.Labels{"result": result.String()},
		}, func() float64 {
			core.mu.Lock()
			defer core.mu.Unlock()
			return float64(core.waiting.counts[result])
		}))
	}
}
