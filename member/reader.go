package member

import (
	"hash/fnv"
	"slices"
	"time"

	"filberthold/model"
)

// StoreReader returns the host of a region that reads the store for the others of
// the region: the same one for all that see the same hosts. It returns false
// if the store answers no host of the region.
func StoreReader(hosts []Heartbeat, region model.RegionName) (Heartbeat, bool) {
	var chosen Heartbeat
	found := false
	for _, host := range hosts {
		if host.Region != region || !host.IsStoreReachable || host.IsLeaving {
			continue
		}
		if !found || weight(host.Host) > weight(chosen.Host) {
			chosen, found = host, true
		}
	}
	return chosen, found
}

// acquaintance is how long a host waits for the hellos of others before it
// reads the store itself, if all hosts start for the first time: one reader in
// each region is enough, and no caller waits yet.
const acquaintance = 700 * time.Millisecond

// firstReading is how long the other hosts then wait for the reader.
const firstReading = 3 * time.Second

// ReadConditions is what else decides whether a host reads the store.
type ReadConditions struct {
	SinceStart time.Duration
	// IsFirstStart is true if all hosts start for the first time.
	IsFirstStart bool
	// IsStale is true if what the host knows from other hosts is too old.
	IsStale bool
}

// ShouldReadStore reports whether a host reads the store: it is the reader of its
// region, the store does not answer it at the moment, or what it knows from
// other hosts is too old.
func ShouldReadStore(self Heartbeat, others []Heartbeat, situation ReadConditions) bool {
	if !self.IsStoreReachable {
		return true
	}
	if situation.IsFirstStart && situation.SinceStart < acquaintance {
		return false
	}
	reader, exists := StoreReader(append(slices.Clone(others), self), self.Region)
	if !exists || reader.Host == self.Host {
		return true
	}
	if situation.IsFirstStart && situation.SinceStart < firstReading {
		return false
	}
	return situation.IsStale
}

const (
	// firstProbe is how often the first hosts of a region try a store that does
	// not answer.
	firstProbe = 300 * time.Millisecond
	// probeRanks is the number of hosts of a region for each of which the others
	// try less often by one more time.
	probeRanks = 2
	// longestProbe bounds the pause of a host that loses sight of all others
	// meanwhile.
	longestProbe = 3 * time.Second
)

// ProbeInterval is how long a host waits before it tries a store again that did
// not answer. The first host that succeeds becomes the reader and keeps the
// others of its region up to date.
func ProbeInterval(self Heartbeat, others []Heartbeat) time.Duration {
	rank := 0
	for _, other := range others {
		if other.Region == self.Region && weight(other.Host) > weight(self.Host) {
			rank++
		}
	}
	return min(longestProbe, firstProbe*time.Duration(probeRanks+rank)/probeRanks)
}

// Sources returns the hosts that a host follows, the preferred one first: the
// reader of its region, then the readers of the other regions. The reader of
// the region follows none.
func Sources(self Heartbeat, others []Heartbeat) []Heartbeat {
	chosen, exists := StoreReader(append(slices.Clone(others), self), self.Region)
	if exists && chosen.Host == self.Host {
		return nil
	}
	return readers(others, self.Region)
}

// readers returns the reader of each region, that of the given one first.
func readers(hosts []Heartbeat, region model.RegionName) []Heartbeat {
	var sources []Heartbeat
	if reader, exists := StoreReader(hosts, region); exists {
		sources = append(sources, reader)
	}
	seen := map[model.RegionName]bool{region: true}
	for _, host := range hosts {
		if seen[host.Region] {
			continue
		}
		seen[host.Region] = true
		if reader, exists := StoreReader(hosts, host.Region); exists {
			sources = append(sources, reader)
		}
	}
	return sources
}

// weight spreads the duty over the hosts.
func weight(host model.HostName) uint32 {
	sum := fnv.New32a()
	// A hash does not fail to take bytes.
	_, _ = sum.Write([]byte(host))
	return sum.Sum32()
}
