// Package shift decides which requests a shift plan moves to another region,
// and keeps the moved part within its caps. Progress is a function of revision
// and time, so hosts need no messages to agree.
package shift

import (
	"math"
	"time"

	"filberthold/model"
)

// MaxClockSkew is the allowed difference between the clock of a host and the
// true time.
const MaxClockSkew = 500 * time.Millisecond

// rampDelay moves the ramp of a plan back. Two hosts may differ by twice the
// allowed skew; with the delay no host is ahead of the plan as it is written.
const rampDelay = 2 * MaxClockSkew

// Progress returns the part of the traffic from the source region that a plan
// moves at a time, between 0 and the cap of the plan.
func Progress(plan model.Plan, now time.Time) float64 {
	minutes := now.Sub(plan.Start().Add(rampDelay)).Minutes()
	return min(max(0, minutes*plan.RatePercentPerMinute()), float64(plan.CapPercent())) / 100
}

// IsMoved reports whether a plan moves a client block at a time. A block that
// is moved stays moved, because progress never falls.
func IsMoved(plan model.Plan, blockHash uint64, now time.Time) bool {
	return float64(blockHash)/math.MaxUint64 < Progress(plan, now)
}

// Find returns the first plan that moves the requests of a client block with a
// home region. Plans of one service may overlap; the order of the
// configuration decides.
func Find(plans []model.Plan, service model.ServiceName, home model.RegionName, blockHash uint64, now time.Time) (model.Plan, bool) {
	for _, plan := range plans {
		if plan.Service() == service && plan.From() == home && IsMoved(plan, blockHash, now) {
			return plan, true
		}
	}
	return model.Plan{}, false
}
