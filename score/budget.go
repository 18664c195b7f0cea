package score

import (
	"slices"
	"time"
)

const (
	// HedgePercent bounds hedged requests in relation to all requests, which
	// bounds the extra load of upstreams.
	HedgePercent = 5
	// RetryPercent bounds retries. Without a bound they multiply the load of
	// upstreams that already fail.
	RetryPercent = 10
	// price is the credit that one extra attempt costs; a request earns one for
	// each percent.
	price = 100
	// maxSavings bounds the extra attempts that a quiet time saves up.
	maxSavings = 10
)

// Budget allows extra attempts for a part of the requests. At all times
// spent <= reserve + percent x requests / 100.
type Budget struct {
	percent int
	// credit is in 0..maxCredit, which is the price of 1..maxSavings attempts.
	credit    int
	maxCredit int
}

// NewBudget returns a budget of extra attempts for percent of the requests. A
// reserve of at most 10 lets a service with few requests use its budget before
// it has earned an attempt.
func NewBudget(percent, reserve int) *Budget {
	return &Budget{percent: percent, credit: min(reserve, maxSavings) * price, maxCredit: maxSavings * price}
}

// LimitBurst bounds the extra attempts that a quiet time saves up. Many hosts
// that share a bound must each save less: all of them may spend at once.
func (b *Budget) LimitBurst(attempts int) {
	b.maxCredit = max(1, min(attempts, maxSavings)) * price
	b.credit = min(b.credit, b.maxCredit)
}

// Earn counts a request.
func (b *Budget) Earn() { b.credit = min(b.credit+b.percent, b.maxCredit) }

// CanSpend reports whether the budget holds an extra attempt.
func (b *Budget) CanSpend() bool { return b.credit >= price }

// Spend takes one extra attempt from the budget, if there is one.
func (b *Budget) Spend() bool {
	if !b.CanSpend() {
		return false
	}
	b.credit -= price
	return true
}

const (
	// windowSize is the number of recent response times that a quantile covers.
	windowSize = 512
	// minSamples is the least number of response times for a quantile.
	minSamples = 40
	// sortInterval is the number of new response times after which quantiles
	// are computed again. Sorting on each response would cost more than the
	// decision itself.
	sortInterval = 16
)

// LatencyWindow holds recent response times.
type LatencyWindow struct {
	samples []time.Duration
	next    int
	fresh   int
	sorted  []time.Duration
}

// Add records a response time.
func (w *LatencyWindow) Add(sample time.Duration) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, sample)
	} else {
		w.samples[w.next] = sample
		w.next = (w.next + 1) % windowSize
	}
	w.fresh++
}

// Quantile returns a percentile of the recent response times, or false while
// there are too few.
func (w *LatencyWindow) Quantile(percent int) (time.Duration, bool) {
	if len(w.samples) < minSamples {
		return 0, false
	}
	if w.sorted == nil || w.fresh >= sortInterval {
		w.sorted = append(w.sorted[:0], w.samples...)
		slices.Sort(w.sorted)
		w.fresh = 0
	}
	return w.sorted[len(w.sorted)*percent/100], true
}
