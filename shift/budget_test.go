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

func plan(name model.PlanName, start time.Time, rate float64, capPercent int) model.Plan {
	return model.NewPlan(model.PlanParts{
		Name: name, Kind: model.Move, Service: "view", From: "north", To: "south",
		Start: start, RatePercentPerMinute: rate, CapPercent: capPercent,
	})
}

// Guards against more moves than the caps allow, at one host or in the sum,
// with hosts on different revisions, clocks that differ, overlapping plans,
// failover at the same time and blocks with very unequal traffic.
func TestMovedStaysWithinCaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		now := time.Unix(1000, 0)
		serviceCap := rapid.IntRange(0, 100).Draw(t, "service cap")
		var plans []model.Plan
		for i := range 3 {
			start := now.Add(time.Duration(rapid.IntRange(-60, 60).Draw(t, "start")) * time.Second)
			plans = append(plans, plan(model.PlanName(fmt.Sprint("plan-", i)), start,
				float64(rapid.IntRange(1, 500).Draw(t, "rate")), rapid.IntRange(1, 100).Draw(t, "cap")))
		}
		accounts := make([]*shift.Budgets, hosts)
		revisions := make([][]model.Plan, hosts)
		skew := make([]time.Duration, hosts)
		moved := make(map[model.PlanName]int)
		total, all := 0, 0
		adopt := func(host, from int) {
			revisions[host] = plans[from:]
			deployment, _ := model.NewDeployment(model.DeploymentParts{
				Services: []model.Service{model.NewService(model.ServiceParts{Name: "view", ShiftCapPercent: serviceCap})},
				Plans:    plans[from:],
			})
			accounts[host].SetCaps(deployment)
		}
		for i := range hosts {
			accounts[i] = shift.NewBudgets()
			skew[i] = time.Duration(rapid.IntRange(-500, 500).Draw(t, "skew")) * time.Millisecond
			adopt(i, 0)
		}
		one := rapid.IntRange(0, hosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for i := range hosts {
					account := accounts[i].Service("view")
					if 100*account.Moved() > uint64(serviceCap)*account.Total() {
						t.Fatalf("host %d moved %d of %d, cap %d%%", i, account.Moved(), account.Total(), serviceCap)
					}
				}
				if 100*all > serviceCap*total {
					t.Fatalf("all hosts moved %d of %d, cap %d%%", all, total, serviceCap)
				}
				for _, plan := range plans {
					if 100*moved[plan.Name()] > plan.CapPercent()*total {
						t.Fatalf("%s moved %d of %d, cap %d%%", plan.Name(), moved[plan.Name()], total, plan.CapPercent())
					}
				}
			},
			"requests": func(t *rapid.T) {
				host := one.Draw(t, "host")
				hash := rapid.Uint64().Draw(t, "block")
				for range rapid.IntRange(1, 200).Draw(t, "count") {
					accounts[host].CountRequest(revisions[host], "view", "north")
					total++
					found, isMoved := shift.Find(revisions[host], "view", "north", hash, now.Add(skew[host]))
					if !isMoved || !accounts[host].AllowPlan(found) {
						continue
					}
					if now.Before(found.Start()) {
						t.Fatalf("%s moved a request %v before its start", found.Name(), found.Start().Sub(now))
					}
					moved[found.Name()]++
					all++
				}
			},
			"failover": func(t *rapid.T) {
				host := one.Draw(t, "host")
				accounts[host].CountRequest(revisions[host], "view", "north")
				total++
				if accounts[host].AllowFailover("view") {
					all++
				}
			},
			"adopt": func(t *rapid.T) { adopt(one.Draw(t, "host"), rapid.IntRange(0, 2).Draw(t, "revision")) },
			"pass":  func(*rapid.T) { now = now.Add(7 * time.Second) },
		})
	})
}

// A tenth of the client blocks moves each minute, until the cap of the plan. The
// ramp starts 1 s after the plan, because clocks differ.
func ExampleProgress() {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	move := plan("to-south", start, 10, 30)
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
