package quota

import (
	"errors"
	"math"
	"time"
)

// Entry is what a host, or all hosts of a region, report of one organisation. Both
// numbers decay with time, so that repeated, lost and reordered reports do no harm.
type Entry struct {
	ID ID
	// Admitted and Offered are the recent requests that were admitted, and those that
	// callers sent.
	Admitted, Offered float64
}

// maxCount bounds the numbers of an entry.
const maxCount = 1e6

var errEntry = errors.New("a number of requests is out of range")

// Check returns an error if a number of the entry is out of range.
func (e Entry) Check() error {
	for _, count := range []float64{e.Admitted, e.Offered} {
		if math.IsNaN(count) || count < 0 || count > maxCount {
			return errEntry
		}
	}
	return nil
}

// Report returns the organisations for whose callers this host had requests lately, for
// the hosts of its region.
// interval is the time until the next call.
func (l *Limiter) Report(interval time.Duration, now time.Time) []Entry {
	at := l.since(now)
	l.innerInterval = interval
	l.checkPeers(at)
	var entries []Entry
	since := l.reportedAt
	l.reportedAt = at
	for _, a := range l.ordered {
		if a.activeAt > since {
			a.advance(l, at)
			entries = append(entries, Entry{ID: a.id, Admitted: a.admitted, Offered: a.offered})
		}
	}
	return entries
}

// Totals returns what this host knows of the recent requests of its region, for a host
// of each other region, and the number of hosts of which it knows this.
func (l *Limiter) Totals(now time.Time) (int, []Entry) {
	at := l.since(now)
	l.checkPeers(at)
	hosts := 1
	for _, p := range l.peerList {
		if !p.isRegion() && !p.isSilent && !p.isForgotten {
			hosts++
		}
	}
	var entries []Entry
	for i := range l.ordered {
		// Where not all organisations fit, each report begins with those that the one before
		// left out.
		a := l.ordered[(i+l.nextTotal)%len(l.ordered)]
		if at-a.regionActiveAt > totalsTime {
			continue
		}
		if len(entries) == maxTotals {
			l.nextTotal = (i + l.nextTotal) % len(l.ordered)
			break
		}
		a.advance(l, at)
		entry := Entry{ID: a.id, Admitted: a.admitted, Offered: a.offered + a.regionOffered*undecayed(l.innerInterval, offeredTime)}
		for _, p := range l.peerList {
			if !p.isRegion() && !p.isForgotten && p.index < len(a.rates) {
				entry.Admitted += a.reportedAt(p, at) * undecayed(l.innerInterval, admittedTime)
			}
		}
		entries = append(entries, entry)
	}
	return hosts, entries
}

// Apply applies the report of another host. A report without entries shows that its
// sender is in contact.
func (l *Limiter) Apply(source Source, entries []Entry, now time.Time) {
	if source.Host == l.host || (source.Host == "" && (source.Region == l.region || source.Hosts <= 0)) {
		return
	}
	at := l.since(now)
	l.checkPeers(at)
	p := l.findPeer(source)
	if p == nil {
		return
	}
	l.heardAt = at
	hosts, gap := p.hosts, at-p.heardAt
	wasOut := p.isSilent || p.isForgotten
	if wasOut {
		// What was kept for the peer pays for what it has admitted meanwhile.
		for _, a := range l.ordered {
			a.advance(l, at)
			a.settle(l, p, at)
		}
	}
	if source.Host != "" && source.Incarnation != p.incarnation {
		p.incarnation = source.Incarnation
		for _, a := range l.ordered {
			if p.index < len(a.rates) {
				a.rates[p.index].carried += a.rates[p.index].admitted
				a.rates[p.index].admitted = 0
			}
		}
	}
	p.hear(source, at)
	if wasOut {
		gap = 0
	}
	if p.isSilent {
		l.silent--
	}
	p.isSilent, p.isForgotten = false, false
	if wasOut || p.hosts != hosts {
		l.epoch++
	}
	for _, entry := range entries {
		if a := l.byID[entry.ID]; a != nil {
			a.advance(l, max(at, a.updatedAt))
			a.apply(l, p, entry, gap, at)
		}
	}
}

// settle brings what is known of a peer that was out of contact to the time now.
func (a *account) settle(l *Limiter, p *peer, now time.Duration) {
	a.growRates(l)
	admitted, offered := a.admittedAt(p, now), a.offeredAt(p, now)
	rate := &a.rates[p.index]
	a.level += float64(rate.reserve)
	rate.reserve = 0
	rate.carried *= float32(decay(now-rate.at, admittedTime))
	rate.at, rate.admitted, rate.offered = now, float32(admitted), float32(offered)
}
