// Package shift decides which requests a shift plan moves to another region, and
// keeps the fraction of moved requests within its caps. The progress of a plan
// depends only on the revision and the time, so hosts need no messages to agree
// on it.
package shift

import (
	"math"
	"time"

	"filberthold/model"
)

// MaxClockSkew is the maximum allowed difference between the clock of a host and
// the true time.
const MaxClockSkew = 500 * time.Millisecond

// rampDelay is the time between the start of a plan and its first moved
// request. The clocks of two hosts may differ by twice MaxClockSkew; with the
// delay no host is ahead of the plan.
const rampDelay = 2 * MaxClockSkew

// Progress returns the fraction of the source region's traffic that a plan moves
// at the time now. It is between 0 and the cap of the plan.
func Progress(plan model.Plan, now time.Time) float64 {
	minutes := now.Sub(plan.Start().Add(rampDelay)).Minutes()
	return min(max(0, minutes*plan.RatePercentPerMinute()), float64(plan.CapPercent())) / 100
}

// IsMoved reports whether a plan moves a client block at the time now. A moved
// block stays moved, because progress never decreases.
func IsMoved(plan model.Plan, blockHash uint64, now time.Time) bool {
	return float64(blockHash)/math.MaxUint64 < Progress(plan, now)
}

// Find returns the plan that moves the requests of a client block from its home
// region. Where plans of a service overlap, the first in the configuration
// applies.
func Find(plans []model.Plan, service model.ServiceName, home model.RegionName, blockHash uint64, now time.Time) (model.Plan, bool) {
	for _, plan := range plans {
		if plan.Service() == service && plan.From() == home && IsMoved(plan, blockHash, now) {
			return plan, true
		}
	}
	return model.Plan{}, false
}
