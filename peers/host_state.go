package peers

import (
	"maps"
	"slices"
	"time"

	"filberthold/model"
)

const (
	// aliveTimeout is how long a peer counts as alive after its last digest.
	aliveTimeout = 4 * time.Second
	// noticeLifetime is the age at which a notice expires. Notices are renewed
	// every second and take a few seconds to reach all hosts.
	noticeLifetime = 10 * time.Second
	// maxNoticeBytes bounds the notices of a digest, which has to fit into one
	// datagram.
	maxNoticeBytes = 640
	// maxTrackedHosts bounds the hosts in each of the tables that are filled from
	// notices, and the hosts whose releases are tracked.
	maxTrackedHosts = 4096
)

// HostState is the state of an entry host as its peers report it.
type HostState struct {
	// Alive is false if the host's peers have received no digest from it for
	// several seconds.
	Alive bool
	// Leaving is true if the host accepts no new requests.
	Leaving bool
}

// hostStates tracks which entry hosts are unreachable or leaving. A host
// receives digests from its own peers only; notices report the other hosts.
type hostStates struct {
	// subset holds the hosts that should send digests to this host, and the time
	// at which each of them was added.
	subset      map[model.HostName]time.Time
	lastDigests map[model.HostName]lastDigest
	// leaving and unreachable hold the time at which a peer of the host
	// observed that state, according to the newest notice.
	leaving     map[model.HostName]time.Time
	unreachable map[model.HostName]time.Time
}

type lastDigest struct {
	incarnation string
	leaving     bool
	receivedAt  time.Time
}

func newHostStates() hostStates {
	return hostStates{
		subset:      make(map[model.HostName]time.Time),
		lastDigests: make(map[model.HostName]lastDigest),
		leaving:     make(map[model.HostName]time.Time),
		unreachable: make(map[model.HostName]time.Time),
	}
}

func (s *hostStates) setSubset(hosts []model.Host, now time.Time) {
	subset := make(map[model.HostName]time.Time, len(hosts))
	for _, host := range hosts {
		since, exists := s.subset[host.Name()]
		if !exists {
			since = now
		}
		subset[host.Name()] = since
	}
	s.subset = subset
}

// receive updates the state of hosts from a digest. It reports whether the
// digest is the first report that some host is leaving.
func (s *hostStates) receive(self model.HostName, digest Digest, now time.Time) bool {
	previous, exists := s.lastDigests[digest.Host]
	isSameIncarnation := exists && previous.incarnation == digest.Incarnation
	// Datagrams may arrive out of order, and an incarnation that is leaving
	// stays so.
	leaving := digest.Leaving || isSameIncarnation && previous.leaving
	s.lastDigests[digest.Host] = lastDigest{incarnation: digest.Incarnation, leaving: leaving, receivedAt: now}
	isFirstReport := leaving && (!isSameIncarnation || !previous.leaving)
	if !leaving {
		delete(s.leaving, digest.Host)
	}
	delete(s.unreachable, digest.Host)
	for _, notice := range digest.Notices {
		observedAt := now.Add(-time.Duration(notice.AgeMilliseconds) * time.Millisecond)
		if notice.Host == self || s.isAlive(notice.Host, now) || now.Sub(observedAt) >= noticeLifetime {
			continue
		}
		observed := s.unreachable
		if notice.Leaving {
			observed = s.leaving
			isFirstReport = isFirstReport || now.Sub(observed[notice.Host]) >= noticeLifetime
		}
		if observedAt.After(observed[notice.Host]) && len(observed) < maxTrackedHosts {
			observed[notice.Host] = observedAt
		}
	}
	return isFirstReport
}

func (s *hostStates) isAlive(host model.HostName, now time.Time) bool {
	last, exists := s.lastDigests[host]
	return exists && now.Sub(last.receivedAt) < aliveTimeout
}

func (s *hostStates) state(host model.HostName, now time.Time) HostState {
	if s.isAlive(host, now) {
		return HostState{Alive: true, Leaving: s.lastDigests[host].leaving}
	}
	return HostState{
		Alive:   !s.isMissing(host, now) && now.Sub(s.unreachable[host]) >= noticeLifetime,
		Leaving: now.Sub(s.leaving[host]) < noticeLifetime,
	}
}

// isMissing reports whether a host of the subset has sent no digest for too
// long.
func (s *hostStates) isMissing(host model.HostName, now time.Time) bool {
	since, isExpected := s.subset[host]
	return isExpected && !s.isAlive(host, now) && now.Sub(since) >= aliveTimeout
}

// notices returns the notices for a digest. If not all of them fit, the first
// one changes every second, so that none is left out for long.
func (s *hostStates) notices(now time.Time) []Notice {
	s.renew(now)
	notices := append(collectNotices(s.leaving, true, now), collectNotices(s.unreachable, false, now)...)
	size := 0
	for i := range notices {
		size += notices[i].size()
	}
	if size <= maxNoticeBytes && len(notices) <= maxNotices {
		return notices
	}
	first := int(now.UnixMilli()/digestInterval.Milliseconds()) * maxNotices / 4 % len(notices)
	rotated := append(notices[first:len(notices):len(notices)], notices[:first]...)
	size = 0
	for i := range rotated {
		size += rotated[i].size()
		if size > maxNoticeBytes || i == maxNotices {
			return rotated[:i]
		}
	}
	return rotated
}

// collectNotices returns the notices of a table in the order of host names and
// deletes those that have expired.
func collectNotices(observedAt map[model.HostName]time.Time, leaving bool, now time.Time) []Notice {
	var notices []Notice
	for _, host := range slices.Sorted(maps.Keys(observedAt)) {
		age := now.Sub(observedAt[host])
		if age >= noticeLifetime {
			delete(observedAt, host)
			continue
		}
		// The age is rounded up, because a notice whose age did not grow would
		// be forwarded for ever.
		milliseconds := (age + time.Millisecond - 1) / time.Millisecond
		notices = append(notices, Notice{Host: host, Leaving: leaving, AgeMilliseconds: uint32(milliseconds)})
	}
	return notices
}

// renew updates the notices about the hosts of the subset.
func (s *hostStates) renew(now time.Time) {
	missingCount := 0
	for host := range s.subset {
		if s.isMissing(host, now) {
			missingCount++
		}
		if s.isAlive(host, now) && s.lastDigests[host].leaving {
			s.leaving[host] = now
		}
	}
	// If most of its peers are missing, this host is probably isolated itself.
	if missingCount*2 > len(s.subset) {
		return
	}
	for host := range s.subset {
		if s.isMissing(host, now) {
			s.unreachable[host] = now
		}
	}
}
