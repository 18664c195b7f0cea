package quota

import (
	"time"

	"filberthold/model"
)

const (
	// silentAfter is the age of the last report of a peer after which the peer is taken to
	// be out of contact. Reports between regions have random receivers, so longer gaps
	// than this one occur between hosts in contact; they cost only a little of the limit.
	silentAfter = 1250 * time.Millisecond
	// slowSilentAfter is that of the hosts of the own region where they report less often
	// than silentAfter allows.
	slowSilentAfter = 2600 * time.Millisecond
	// slowHosts is the number of hosts of a region from which slowSilentAfter applies.
	slowHosts = 40
	// forgetAfter is how long a silent peer's share is kept for it. It may only be cut off,
	// and go on to admit requests.
	forgetAfter = 10 * time.Minute
	// hostsKept is how long the number of hosts in the totals of a region counts, if a
	// later report has a smaller one: its sender may be cut off from hosts of its region.
	hostsKept = 1500 * time.Millisecond
	// checkInterval is the time between looks for silent peers.
	checkInterval = 100 * time.Millisecond
)

// Source identifies the sender of a report.
type Source struct {
	// Host is the sender if the report is its own, or empty for the totals of a region.
	Host model.HostName
	// Incarnation is that of Host.
	Incarnation int64
	Region      model.RegionName
	// Hosts is the number of hosts in the totals of a region.
	Hosts int
}

// peer is a host of the own region, or another region.
type peer struct {
	index       int
	source      Source
	incarnation int64
	// hosts is the number of hosts that the peer stands for, hostsAt when it was reported.
	hosts   int
	hostsAt time.Duration
	// heardAt is when the last report arrived.
	heardAt time.Duration
	// isSilent is true if the peer is out of contact since silentAt.
	isSilent bool
	silentAt time.Duration
	// isForgotten is true if nothing is kept for the peer until it is heard.
	isForgotten bool
}

func (p *peer) isRegion() bool { return p.source.Host == "" }

// hear records a report.
func (p *peer) hear(source Source, now time.Duration) {
	p.heardAt = now
	hosts := 1
	if p.isRegion() {
		hosts = source.Hosts
	}
	if hosts >= p.hosts || now-p.hostsAt >= hostsKept {
		p.hosts, p.hostsAt = hosts, now
	}
}

// peerKey returns the key of a source in the table of peers.
func peerKey(source Source) Source {
	if source.Host != "" {
		return Source{Host: source.Host}
	}
	return Source{Region: source.Region}
}

// findPeer returns the peer of a source. It adds a new one unless there are too many.
func (l *Limiter) findPeer(source Source) *peer {
	key := peerKey(source)
	if found := l.peers[key]; found != nil {
		return found
	}
	// The place of a host that was forgotten is free. Hosts may get new names at each start.
	for _, p := range l.peerList {
		if p.isForgotten && !p.isRegion() && source.Host != "" {
			delete(l.peers, peerKey(p.source))
			p.source, p.incarnation, p.hosts = source, source.Incarnation, 0
			l.peers[key] = p
			return p
		}
	}
	if len(l.peers) >= maxPeers {
		return nil
	}
	added := &peer{index: len(l.peerList), source: source, incarnation: source.Incarnation, isForgotten: true}
	l.peers[key] = added
	l.peerList = append(l.peerList, added)
	if added.isRegion() {
		l.regions = append(l.regions, added)
	}
	return added
}

// checkPeers looks for peers that have become silent, or were silent for too long.
func (l *Limiter) checkPeers(now time.Duration) {
	if now < l.nextCheck {
		return
	}
	l.nextCheck = now + checkInterval
	own := 1
	for _, p := range l.peerList {
		if !p.isRegion() && !p.isForgotten {
			own++
		}
	}
	for _, p := range l.peerList {
		limit := silentAfter
		if !p.isRegion() && own >= slowHosts {
			limit = slowSilentAfter
		}
		switch {
		case p.isForgotten:
		case p.isSilent && now-p.heardAt >= forgetAfter:
			p.isForgotten, p.isSilent = true, false
			l.silent--
			l.epoch++
		case !p.isSilent && now-p.heardAt >= limit:
			l.silence(p, now)
		}
	}
}

// silence marks a peer as out of contact and keeps its share of each limit for it.
func (l *Limiter) silence(p *peer, now time.Duration) {
	for _, a := range l.ordered {
		a.advance(l, now)
		a.freeze(l, p, now)
	}
	p.isSilent, p.silentAt = true, now
	l.silent++
	l.epoch++
}

// unheardPart returns the part of the hosts of which this host knows nothing.
func (l *Limiter) unheardPart() float64 {
	known := 1
	for _, p := range l.peerList {
		if !p.isForgotten {
			known += p.hosts
		}
	}
	if known >= l.hosts {
		return 0
	}
	return 1 - float64(known)/float64(l.hosts)
}
