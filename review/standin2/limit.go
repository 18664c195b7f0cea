package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// limitPerSecond is the limit that an endpoint names.
	limitPerSecond = 0.5
	// The rule LIMIT: in some limitWindow, an endpoint gets at most limitFactor times what its
	// limit allows, and limitSlack requests. It counts from stableWindow after the limit was
	// first named, and those hosts that passed on such an answer knownTime before.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	stableWindow = 4 * time.Second
	knownTime    = 500 * time.Millisecond
	// limitedZone is that of the endpoint, and emptyTime how long it is evacuated.
	limitedZone = "munich-a"
	emptyTime   = 8 * time.Second
)

// checkLimit checks the rule LIMIT for an endpoint that has named its limit since a time.
func (r *record) checkLimit(id string, since time.Time) bool {
	knownFrom, hostOf := make(map[string]time.Time), make(map[string]string)
	for _, each := range r.sortedRequests() {
		hostOf[each.attempt] = each.host
		if known, exists := knownFrom[each.host]; each.limit != "" && (!exists || each.answeredAt.Before(known)) {
			knownFrom[each.host] = each.answeredAt
		}
	}
	var counted []time.Time
	for _, came := range r.sortedArrivals() {
		known, exists := knownFrom[hostOf[came.attempt]]
		isKnown := exists && came.at.Sub(known) >= knownTime
		if came.endpoint == id && came.status != 421 && isKnown && came.at.Sub(since) >= stableWindow {
			counted = append(counted, came.at)
		}
	}
	most, mostAt := 0, since
	for first := range counted {
		last := first
		for last < len(counted) && counted[last].Sub(counted[first]) < limitWindow {
			last++
		}
		if last-first > most {
			most, mostAt = last-first, counted[first]
		}
	}
	allowed := limitFactor*limitPerSecond*limitWindow.Seconds() + limitSlack
	r.note("endpoint %s: %d hosts had passed on its limit; at most %d requests of these in %s, from %.3f s; allowed are %.2f",
		id, len(knownFrom), most, limitWindow, mostAt.Sub(r.startedAt).Seconds(), allowed)
	return float64(most) <= allowed
}

// playLimit empties the zone of an endpoint that names a limit, and takes it back.
func playLimit(d *deployment, hasTrouble bool) (bool, error) {
	d.addRoute("diary-view", "safe", 2500)
	d.configure()
	var limited *endpoint
	for i, zone := range []string{limitedZone, "nuremberg-b", "nuremberg-b", "nuremberg-b", "nuremberg-b", "nuremberg-b"} {
		added, err := d.addEndpoint(fmt.Sprintf("i-view%d", i), "diary-view", zone, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		if zone == limitedZone {
			limited = added
		}
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d.clients.Go(func() { d.traffic(ctx, "/diary-view/", 300) })
	time.Sleep(6 * time.Second)
	since := time.Now()
	limited.mu.Lock()
	limited.limit = fmt.Sprint(limitPerSecond)
	limited.mu.Unlock()
	d.record.note("endpoint %s names its limit of %g requests a second", limited.id, limitPerSecond)
	time.Sleep(14 * time.Second)
	if hasTrouble {
		d.store.put(operatorTable, "evacuate/"+limitedZone, "{}")
		d.record.note("zone %s is emptied", limitedZone)
	}
	time.Sleep(emptyTime)
	if hasTrouble {
		d.store.remove(operatorTable, "evacuate/"+limitedZone)
		d.record.note("zone %s is taken back", limitedZone)
	}
	time.Sleep(8 * time.Second)
	stop()
	d.clients.Wait()
	return d.record.checkLimit(limited.id, since), nil
}
