package shift_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/shift"

	"pgregory.net/rapid"
)

func newPlan(name model.PlanName, start time.Time, rate float64, capPercent int) model.Plan {
	return model.NewPlan(model.PlanSpec{
		Name: name, Kind: model.Move, Service: "view", From: "north", To: "south",
		Start: start, RatePercentPerMinute: rate, CapPercent: capPercent,
	})
}

// Guards against more moved requests than the caps allow, at one host or in the
// sum, with hosts on different revisions, clock skew, overlapping plans,
// simultaneous failover and blocks with very unequal traffic.
func TestMovedRequestsStayWithinCaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		now := time.Unix(1000, 0)
		serviceCap := rapid.IntRange(0, 100).Draw(t, "service cap")
		var plans []model.Plan
		for i := range 3 {
			start := now.Add(time.Duration(rapid.IntRange(-60, 60).Draw(t, "start")) * time.Second)
			plans = append(plans, newPlan(model.PlanName(fmt.Sprint("plan-", i)), start,
				float64(rapid.IntRange(1, 500).Draw(t, "rate")), rapid.IntRange(1, 100).Draw(t, "cap")))
		}
		budgets := make([]*shift.Budgets, hosts)
		revisions := make([][]model.Plan, hosts)
		skew := make([]time.Duration, hosts)
		moved := make(map[model.PlanName]int)
		total, allMoved := 0, 0
		adopt := func(host, from int) {
			revisions[host] = plans[from:]
			deployment, _ := model.NewDeployment(model.DeploymentSpec{
				Services: []model.Service{model.NewService(model.ServiceSpec{Name: "view", ShiftCapPercent: serviceCap})},
				Plans:    plans[from:],
			})
			budgets[host].SetCaps(deployment)
		}
		for i := range hosts {
			budgets[i] = shift.NewBudgets()
			skew[i] = time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
			adopt(i, 0)
		}
		hostIndex := rapid.IntRange(0, hosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i := range hosts {
					budget := budgets[i].Service("view")
					if 100*budget.Moved() > uint64(serviceCap)*budget.Total() {
						t.Fatalf("host %d moved %d of %d, cap %d%%", i, budget.Moved(), budget.Total(), serviceCap)
					}
				}
				if 100*allMoved > serviceCap*total {
					t.Fatalf("all hosts moved %d of %d, cap %d%%", allMoved, total, serviceCap)
				}
				for _, plan := range plans {
					if 100*moved[plan.Name()] > plan.CapPercent()*total {
						t.Fatalf("%s moved %d of %d, cap %d%%", plan.Name(), moved[plan.Name()], total, plan.CapPercent())
					}
				}
			},
			"requests": func(t *rapid.T) {
				host := hostIndex.Draw(t, "host")
				hash := rapid.Uint64().Draw(t, "block")
				for range rapid.IntRange(1, 200).Draw(t, "count") {
					budgets[host].CountRequest(revisions[host], "view", "north")
					total++
					found, isMoved := shift.Find(revisions[host], "view", "north", hash, now.Add(skew[host]))
					if !isMoved || !budgets[host].AllowPlan(found) {
						continue
					}
					if now.Before(found.Start()) {
						t.Fatalf("%s moved a request %v before its start", found.Name(), found.Start().Sub(now))
					}
					moved[found.Name()]++
					allMoved++
				}
			},
			"failover": func(t *rapid.T) {
				host := hostIndex.Draw(t, "host")
				budgets[host].CountRequest(revisions[host], "view", "north")
				total++
				if budgets[host].AllowFailover("view") {
					allMoved++
				}
			},
			"adopt": func(t *rapid.T) { adopt(hostIndex.Draw(t, "host"), rapid.IntRange(0, 2).Draw(t, "revision")) },
			"pass":  func(*rapid.T) { now = now.Add(7 * time.Second) },
		})
	})
}

// The plan moves 10% of the client blocks each minute, up to its cap of 30%. The
// ramp starts 1 s after the plan, because of clock skew.
func ExampleProgress() {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	move := newPlan("to-south", start, 10, 30)
	for _, after := range []time.Duration{-time.Hour, time.Second, 31 * time.Second, 61 * time.Second, time.Hour} {
		now := start.Add(after)
		fmt.Printf("%v %.6f %v\n", after, shift.Progress(move, now), shift.IsMoved(move, math.MaxUint64/4, now))
	}
	// Output:
	// -1h0m0s 0.000000 false
	// 1s 0.000000 false
	// 31s 0.050000 false
	// 1m1s 0.100000 false
	// 1h0m0s 0.300000 true
}
