package peers

import (
	"maps"
	"slices"
	"time"

	"filberthold/model"
)

const (
	// heardFor bounds how long a peer counts as heard after its last digest.
	heardFor = 4 * time.Second
	// noticeFor bounds the life of a notice that is not renewed. Notices are
	// renewed every second and need a few seconds across all hops.
	noticeFor = 10 * time.Second
	// noticeBytes keeps a digest within one datagram.
	noticeBytes = 640
	// maxKnownHosts bounds the memory that notices can take.
	maxKnownHosts = 4096
)

// HostState is what peers say about an entry host.
type HostState struct {
	// Alive is false if the peers of the host have not heard it for seconds.
	Alive bool
	// Leaving is true if the host takes no new work.
	Leaving bool
}

// presence keeps track of which entry hosts are silent or leaving. A host hears
// the digests of its own peers only; notices cover the others.
type presence struct {
	// subset holds the hosts that should be heard, and since when.
	subset map[model.HostName]time.Time
	heard  map[model.HostName]heardHost
	// leaving and silent hold the time at which a peer of the host found it
	// so. The newest notice counts.
	leaving map[model.HostName]time.Time
	silent  map[model.HostName]time.Time
}

type heardHost struct {
	incarnation string
	leaving     bool
	at          time.Time
}

func newPresence() presence {
	return presence{
		subset:  make(map[model.HostName]time.Time),
		heard:   make(map[model.HostName]heardHost),
		leaving: make(map[model.HostName]time.Time),
		silent:  make(map[model.HostName]time.Time),
	}
}

func (p *presence) setSubset(hosts []model.Host, now time.Time) {
	subset := make(map[model.HostName]time.Time, len(hosts))
	for _, host := range hosts {
		since, exists := p.subset[host.Name()]
		if !exists {
			since = now
		}
		subset[host.Name()] = since
	}
	p.subset = subset
}

// receive notes a digest. It reports whether it is news that a host leaves.
func (p *presence) receive(self model.HostName, digest Digest, now time.Time) bool {
	known, exists := p.heard[digest.Host]
	isSameRun := exists && known.incarnation == digest.Incarnation
	// Datagrams may arrive out of order; an incarnation never stops leaving.
	leaving := digest.Leaving || isSameRun && known.leaving
	p.heard[digest.Host] = heardHost{incarnation: digest.Incarnation, leaving: leaving, at: now}
	isNews := leaving && (!isSameRun || !known.leaving)
	if !leaving {
		delete(p.leaving, digest.Host)
	}
	delete(p.silent, digest.Host)
	for _, notice := range digest.Notices {
		issuedAt := now.Add(-time.Duration(notice.AgeMilliseconds) * time.Millisecond)
		if notice.Host == self || p.hears(notice.Host, now) || now.Sub(issuedAt) >= noticeFor {
			continue
		}
		table := p.silent
		if notice.Leaving {
			table = p.leaving
			isNews = isNews || now.Sub(table[notice.Host]) >= noticeFor
		}
		if issuedAt.After(table[notice.Host]) && len(table) < maxKnownHosts {
			table[notice.Host] = issuedAt
		}
	}
	return isNews
}

func (p *presence) hears(host model.HostName, now time.Time) bool {
	known, exists := p.heard[host]
	return exists && now.Sub(known.at) < heardFor
}

func (p *presence) of(host model.HostName, now time.Time) HostState {
	if p.hears(host, now) {
		return HostState{Alive: true, Leaving: p.heard[host].leaving}
	}
	return HostState{
		Alive:   !p.misses(host, now) && now.Sub(p.silent[host]) >= noticeFor,
		Leaving: now.Sub(p.leaving[host]) < noticeFor,
	}
}

// misses reports whether a host that should be heard is silent.
func (p *presence) misses(host model.HostName, now time.Time) bool {
	since, expected := p.subset[host]
	return expected && !p.hears(host, now) && now.Sub(since) >= heardFor
}

// notices returns what other hosts should know. When there are more than fit,
// the choice moves on with time, so that none is left out for long.
func (p *presence) notices(now time.Time) []Notice {
	p.renew(now)
	notices := append(collect(p.leaving, true, now), collect(p.silent, false, now)...)
	size := 0
	for i := range notices {
		size += notices[i].size()
	}
	if size <= noticeBytes && len(notices) <= maxNotices {
		return notices
	}
	first := int(now.UnixMilli()/digestInterval.Milliseconds()) * maxNotices / 4 % len(notices)
	rotated := append(notices[first:len(notices):len(notices)], notices[:first]...)
	size = 0
	for i := range rotated {
		size += rotated[i].size()
		if size > noticeBytes || i == maxNotices {
			return rotated[:i]
		}
	}
	return rotated
}

// collect returns the notices of a table in the order of names, and forgets
// those that have ended.
func collect(issued map[model.HostName]time.Time, leaving bool, now time.Time) []Notice {
	var notices []Notice
	for _, host := range slices.Sorted(maps.Keys(issued)) {
		age := now.Sub(issued[host])
		if age >= noticeFor {
			delete(issued, host)
			continue
		}
		// Rounding up keeps a notice from travelling for ever.
		milliseconds := (age + time.Millisecond - 1) / time.Millisecond
		notices = append(notices, Notice{Host: host, Leaving: leaving, AgeMilliseconds: uint32(milliseconds)})
	}
	return notices
}

// renew issues notices for the hosts that this host should hear itself.
func (p *presence) renew(now time.Time) {
	missing := 0
	for host := range p.subset {
		if p.misses(host, now) {
			missing++
		}
		if p.hears(host, now) && p.heard[host].leaving {
			p.leaving[host] = now
		}
	}
	// A host that misses most of its peers is probably cut off itself.
	if missing*2 > len(p.subset) {
		return
	}
	for host := range p.subset {
		if p.misses(host, now) {
			p.silent[host] = now
		}
	}
}
