package main

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"filberthold/platform"
)

const (
	// coldTime is coldStartS of the configuration, and coldRate its coldPerS.
	coldTime = 3 * time.Second
	coldRate = 4.7
	// coldBound is coldPerS x coldOverage + coldSlack of the site twmg-hold.
	coldBound = coldRate*1.5 + 5
	// coldKnowledge is the time that the hosts are given to learn that an endpoint is cold.
	coldKnowledge = time.Second
	// coldPause is the time between two requests to the same host.
	coldPause = 30 * time.Millisecond
)

// runCold lets an endpoint that was cold after its start become cold again, and counts
// the windows of one second in which it gets more requests than the bound.
func runCold(d *deployment, r *record, isTroubled bool) (int, error) {
	var endpoints []*plainEndpoint
	for i := range 3 {
		e, err := startPlainEndpoint(fmt.Sprintf("i-7f3a91c%d", i), r, 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		defer func() { _ = e.listener.Close() }()
		endpoints = append(endpoints, e)
	}
	d.configure(routeText("specs", "safe", 1200, 300))
	for _, e := range endpoints[1:] {
		_ = d.register(e.id, e.entry())
	}
	if err := d.addHosts("north-a", "north-a", "north-a"); err != nil {
		return 0, err
	}
	if err := d.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range d.hosts {
		clients.Go(func() { sendSteadily(h, r, stop) })
	}
	time.Sleep(2 * time.Second)
	starts := []time.Time{d.runColdEndpoint(endpoints[0], r, stop, &clients, isTroubled)}
	if isTroubled {
		time.Sleep(6 * time.Second)
		starts = append(starts, time.Now())
	}
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	breaks := 0
	for _, start := range starts {
		breaks += countColdWindows(endpoints[0], start, r)
	}
	return breaks, nil
}

// sendSteadily sends requests for changing objects to a host.
func sendSteadily(h *host, r *record, stop <-chan struct{}) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(coldPause):
		}
		requests.Go(func() {
			attempt := fmt.Sprintf("%s-%d", h.name, i)
			status, body, err := get(h, "/specs/1", attempt, fmt.Sprint(i%40))
			r.add("client got %s: status %d, endpoint %s, error %v", attempt, status, body, err)
		})
	}
}

// runColdEndpoint registers an endpoint that is cold from now on, and returns the time.
// Its entry is renewed at each heartbeat. If becomesColdAgain is true, it is cold again
// after 6 s.
func (d *deployment) runColdEndpoint(e *plainEndpoint, r *record, stop <-chan struct{}, group *sync.WaitGroup, becomesColdAgain bool) time.Time {
	value := e.entry()
	coldUntil := time.Now().Add(coldTime)
	write := func() {
		value.Sequence++
		value.ColdRemainingMs = max(0, int(math.Ceil(time.Until(coldUntil).Seconds()*1000)))
		text, err := json.Marshal(value)
		if err == nil {
			d.store.Put(platform.EndpointTable, e.id, string(text))
		}
		r.add("entry of %s: sequence %d, coldRemainingMs %d", e.id, value.Sequence, value.ColdRemainingMs)
	}
	write()
	start := time.Now()
	group.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		again := time.NewTimer(6 * time.Second)
		defer again.Stop()
		for {
			select {
			case <-ticker.C:
				write()
			case <-again.C:
				if becomesColdAgain {
					coldUntil = time.Now().Add(coldTime)
					r.add("endpoint %s is cold again", e.id)
					write()
				}
			case <-stop:
				return
			}
		}
	})
	return start
}

// countColdWindows returns the number of requests that ended a window of one second with
// more than the bound, from coldKnowledge after the endpoint became cold to its end.
func countColdWindows(e *plainEndpoint, start time.Time, r *record) int {
	var times []time.Time
	for _, ran := range e.ran() {
		if ran.at.After(start.Add(coldKnowledge)) && ran.at.Before(start.Add(coldTime)) {
			times = append(times, ran.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	breaks, most := 0, 0
	for i, at := range times {
		count := 0
		for j := i; j >= 0 && at.Sub(times[j]) < time.Second; j-- {
			count++
		}
		most = max(most, count)
		if float64(count) > coldBound {
			breaks++
		}
	}
	r.add("cold from %.3f s on: %d requests in the time that counts, %d in the fullest second, the bound is %.2f", start.Sub(r.startedAt).Seconds(), len(times), most, coldBound)
	return breaks
}
