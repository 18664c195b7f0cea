package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Bounds of the rule FAILBACK in the small deployment hluk-eu.
const (
	coldPerS    = 2.6
	coldOverage = 1.5
	coldSlack   = 5
	coldTime    = 3 * time.Second
)

// checkCold checks that a cold endpoint got no more requests in one second than it may,
// counting those that were sent and arrived inside that second.
func (r *record) checkCold(id string, from, until time.Time) bool {
	r.mu.Lock()
	sentAt := make(map[string]time.Time, len(r.requests))
	for _, each := range r.requests {
		sentAt[each.attempt] = each.sentAt
	}
	var came []arrival
	for _, each := range r.arrivals {
		if each.endpoint == id && each.status != 421 && !each.at.Before(from) && each.at.Before(until) {
			came = append(came, each)
		}
	}
	r.mu.Unlock()
	slices.SortFunc(came, func(a, b arrival) int { return a.at.Compare(b.at) })
	most, mostAt := 0, time.Time{}
	for _, last := range came {
		begin, count := last.at.Add(-time.Second), 0
		for _, each := range came {
			if each.at.After(begin) && !each.at.After(last.at) && sentAt[each.attempt].After(begin) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, begin
		}
	}
	bound := coldPerS*coldOverage + coldSlack
	r.note("cold endpoint %s: %d requests while cold; at most %d in one second, from %.3f s; allowed are %.2f", id, len(came), most, mostAt.Sub(r.startedAt).Seconds(), bound)
	return float64(most) <= bound
}

// playColdOutage lets an endpoint become cold again while the store is down.
func playColdOutage(d *deployment, hasTrouble bool) (bool, error) {
	d.addRoute("diary-view", "safe", 2500)
	d.configure()
	var first *endpoint
	for i := range 4 {
		added, err := d.addEndpoint(fmt.Sprintf("i-view%d", i), "diary-view", "munich-a", 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		if first == nil {
			first = added
		}
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d.clients.Go(func() { d.traffic(ctx, "/diary-view/", 44) })
	time.Sleep(5 * time.Second)
	if hasTrouble {
		d.record.note("the store is down")
		d.store.setDown(true)
	}
	time.Sleep(time.Second)
	from := time.Now()
	first.becomeCold(coldTime)
	d.record.note("endpoint %s becomes cold for %s", first.id, coldTime)
	first.entryDue()
	time.Sleep(coldTime)
	until := time.Now()
	time.Sleep(500 * time.Millisecond)
	if hasTrouble {
		d.record.note("the store is up again")
		d.store.setDown(false)
	}
	time.Sleep(2 * time.Second)
	stop()
	d.clients.Wait()
	return d.record.checkCold(first.id, from, until), nil
}
