package score

import (
	"slices"
	"time"
)

const (
	// HedgePercent bounds hedged requests to a percentage of all requests, which
	// bounds the extra load of upstreams.
	HedgePercent = 5
	// RetryPercent bounds retries to a percentage of all requests. Without a
	// bound they multiply the load of upstreams that already fail.
	RetryPercent = 10
	// attemptCost is the credit that one extra attempt costs. Each request earns as
	// much credit as the budget has percent.
	attemptCost = 100
	// maxBurst bounds the credit to that many extra attempts. Credit
	// accumulates while there are few retries or hedges.
	maxBurst = 10
)

// Budget limits extra attempts to a percentage of the requests. At all times
// spent <= reserve + percent x requests / 100.
type Budget struct {
	percent int
	// credit is in 0..maxCredit. maxCredit pays for 1..maxBurst attempts.
	credit    int
	maxCredit int
}

// NewBudget returns a budget of extra attempts for percent of the requests. It
// starts with credit for reserve attempts, at most 10, so that a service with
// few requests can use it before it has earned an attempt.
func NewBudget(percent, reserve int) *Budget {
	return &Budget{percent: percent, credit: min(reserve, maxBurst) * attemptCost, maxCredit: maxBurst * attemptCost}
}

// LimitBurst bounds the credit to that many extra attempts. Where many hosts
// share a bound, the burst of each must be smaller, because all of them may
// spend their credit at the same time. Without a burst (0), the credit so far is lost,
// and the budget holds that of one attempt from now on.
func (b *Budget) LimitBurst(attempts int) {
	b.maxCredit = max(1, min(attempts, maxBurst)) * attemptCost
	b.credit = min(b.credit, b.maxCredit, attempts*attemptCost)
}

// Credit returns the credit, as a number of extra attempts.
func (b *Budget) Credit() float64 { return float64(b.credit) / attemptCost }

// Earn adds the credit of one request.
func (b *Budget) Earn() { b.credit = min(b.credit+b.percent, b.maxCredit) }

// CanSpend reports whether there is credit for an extra attempt.
func (b *Budget) CanSpend() bool { return b.credit >= attemptCost }

// Spend spends the credit of one extra attempt. It returns false if there is not
// enough.
func (b *Budget) Spend() bool {
	if !b.CanSpend() {
		return false
	}
	b.credit -= attemptCost
	return true
}

// Refund gives the credit of an extra attempt back that was spent and not made.
func (b *Budget) Refund() { b.credit = min(b.credit+attemptCost, b.maxCredit) }

const (
	// windowSize is the number of recent response times for which quantiles are
	// computed.
	windowSize = 512
	// minSamples is the minimum number of response times for a quantile.
	minSamples = 40
	// sortInterval is the number of new response times after which the samples
	// are sorted again. Sorting for each response would cost more than the
	// decision itself.
	sortInterval = 16
)

// LatencyWindow holds the last windowSize response times.
type LatencyWindow struct {
	samples []time.Duration
	// next is the index of the oldest sample, once the window is full.
	next int
	// unsorted is the number of samples since the last sort.
	unsorted int
	sorted   []time.Duration
}

// Add records a response time.
func (w *LatencyWindow) Add(sample time.Duration) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, sample)
	} else {
		w.samples[w.next] = sample
		w.next = (w.next + 1) % windowSize
	}
	w.unsorted++
}

// Clone returns a window with the same samples that shares no memory with this one.
func (w *LatencyWindow) Clone() LatencyWindow {
	cloned := *w
	cloned.samples, cloned.sorted = slices.Clone(w.samples), slices.Clone(w.sorted)
	return cloned
}

// Quantile returns a percentile of the recent response times, or false while
// there are too few.
func (w *LatencyWindow) Quantile(percent int) (time.Duration, bool) {
	if len(w.samples) < minSamples {
		return 0, false
	}
	if w.sorted == nil || w.unsorted >= sortInterval {
		w.sorted = append(w.sorted[:0], w.samples...)
		slices.Sort(w.sorted)
		w.unsorted = 0
	}
	return w.sorted[len(w.sorted)*percent/100], true
}
