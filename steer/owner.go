package steer

import (
	"maps"
	"slices"
	"time"

	"filberthold/hashes"
	"filberthold/model"
)

const (
	// maxSuccession is how long a host counts as the successor of an owner that is gone:
	// the owner may only be cut off, and still send.
	maxSuccession = 10 * time.Minute
	// maxDisagreement is how long hosts may have different lists of hosts, unless they are
	// cut off from each other: a dead host is gone at all others within 2 s.
	maxDisagreement = 4 * time.Second
	// successorFraction is the part of the rate of an endpoint that a successor uses. With
	// two successors beside the owner, the endpoint gets twice its rate.
	successorFraction = 0.5
)

// goneHost is a host that is not alive any more.
type goneHost struct {
	region model.RegionName
	at     time.Time
}

// SetHosts replaces the entry hosts that are alive, including this one.
func (s *Selector) SetHosts(hosts map[model.RegionName][]model.HostName, now time.Time) {
	// The hosts are set all the time and rarely change.
	if !maps.EqualFunc(s.hosts, hosts, slices.Equal) {
		s.updateGone(hosts, now)
		s.hosts = hosts
	}
	maps.DeleteFunc(s.gone, func(_ model.HostName, gone goneHost) bool { return now.Sub(gone.at) > maxSuccession })
}

// updateGone records which hosts are no longer alive, and which are again.
func (s *Selector) updateGone(hosts map[model.RegionName][]model.HostName, now time.Time) {
	for region, names := range s.hosts {
		for _, name := range names {
			s.gone[name] = goneHost{region: region, at: now}
		}
	}
	for _, names := range hosts {
		for _, name := range names {
			delete(s.gone, name)
		}
	}
}

// owner returns the host that keeps an endpoint within its rate: the only one that
// sends to it while it is cold, and the one that issues permits while it names a
// limit. Hosts with the same list of hosts return the same one.
func (s *Selector) owner(candidate *endpoint) model.HostName {
	hosts := s.hosts[candidate.region]
	if len(hosts) == 0 {
		for _, others := range s.hosts {
			hosts = append(hosts, others...)
		}
	}
	var owner model.HostName
	highest := uint64(0)
	for _, host := range hosts {
		if weight := candidate.weight(host); owner == "" || weight > highest {
			owner, highest = host, weight
		}
	}
	return owner
}

// weight orders the hosts that may own the endpoint.
func (e *endpoint) weight(host model.HostName) uint64 {
	return hashes.Mix(hashes.Sum(string(host)) ^ e.hash)
}

// isSuccessor reports whether this host owns an endpoint only because a host is gone that
// was alive within a time. That host may not know it.
func (s *Selector) isSuccessor(owned *endpoint, within time.Duration, now time.Time) bool {
	for name, gone := range s.gone {
		if now.Sub(gone.at) <= within && s.isPreferredOwner(name, gone.region, owned) {
			return true
		}
	}
	return false
}

// isPreferredOwner reports whether a host of a region would own an endpoint rather than
// this one. Hosts of other regions own it only if none of its own region is alive.
func (s *Selector) isPreferredOwner(name model.HostName, region model.RegionName, owned *endpoint) bool {
	isHeavier := owned.weight(name) > owned.weight(s.host)
	if s.region == owned.region {
		return region == owned.region && isHeavier
	}
	return region == owned.region || isHeavier
}

// ownRate returns the rate at which this host sends to a cold endpoint that it owns.
// Hosts that do not hear each other may all believe that they own it.
func (s *Selector) ownRate(owned *endpoint, rate float64, now time.Time) float64 {
	if s.isSuccessor(owned, maxSuccession, now) {
		return rate * successorFraction
	}
	return rate
}

// takeOwned uses a permit of an endpoint that this host owns if one is due.
func (s *Selector) takeOwned(owned *endpoint, now time.Time) bool {
	interval := owned.rate.interval()
	if s.isSuccessor(owned, maxDisagreement, now) {
		interval = time.Duration(float64(interval) / successorFraction)
	}
	return owned.rate.take(interval, now)
}
