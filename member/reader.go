package member

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"filberthold/hashes"
	"filberthold/model"
)

// StoreReader returns the host of a region that reads the store for the other
// hosts of the region. Hosts with the same list of hosts elect the same one. It
// returns false if each host of the region is leaving or cannot reach the store.
func StoreReader(hosts []Heartbeat, region model.RegionName) (Heartbeat, bool) {
	var reader Heartbeat
	found := false
	for _, host := range hosts {
		if host.Region != region || !host.IsStoreReachable || host.IsLeaving {
			continue
		}
		if !found || isPreferredReader(host, reader) {
			reader, found = host, true
		}
	}
	return reader, found
}

// discoveryWait is how long a host waits for the heartbeats of other hosts
// before it reads the store itself, when all hosts start for the first time.
// One reader in each region is enough, and no caller waits yet.
const discoveryWait = 700 * time.Millisecond

// firstReadWait is how long after such a start a host that is not the store
// reader waits for data from the reader.
const firstReadWait = 3 * time.Second

// ReadConditions holds the conditions of the decision to read the store that
// are not in the heartbeats.
type ReadConditions struct {
	// SinceStart is the time since the start of this host.
	SinceStart time.Duration
	// IsFirstStart is true if all hosts start for the first time. It is a
	// setting of the host.
	IsFirstStart bool
	// IsStale is true if the data that the host got from other hosts is too old.
	IsStale bool
}

// ShouldReadStore reports whether a host reads the store: it is the store
// reader of its region, it currently cannot reach the store and has to probe
// it, or its data from other hosts is too old. At a first start, a host that
// can reach the store does not read it during discoveryWait. One that is not
// the reader does not read it during firstReadWait while there is a reader,
// even if its data is too old.
func ShouldReadStore(self Heartbeat, others []Heartbeat, conditions ReadConditions) bool {
	if !self.IsStoreReachable {
		return true
	}
	if conditions.IsFirstStart && conditions.SinceStart < discoveryWait {
		return false
	}
	reader, exists := StoreReader(append(slices.Clone(others), self), self.Region)
	if !exists || reader.Host == self.Host {
		return true
	}
	if conditions.IsFirstStart && conditions.SinceStart < firstReadWait {
		return false
	}
	return conditions.IsStale
}

const (
	// minProbeInterval is the probe interval of the preferred store reader of a
	// region.
	minProbeInterval = 300 * time.Millisecond
	// hostsPerProbeStep is the number of preferred hosts that lengthen the interval
	// of a host by another minProbeInterval.
	hostsPerProbeStep = 2
	// maxProbeInterval bounds the interval. While a host waits, the hosts that
	// probe more often may become unreachable for it.
	maxProbeInterval = 3 * time.Second
)

// ProbeInterval returns how long a host waits before it probes an unreachable
// store again. The first host that reaches the store becomes the reader and
// supplies the other hosts of its region. With more hosts each probes less
// often, so that the store is not overloaded when it recovers. Each
// host at maxProbeInterval adds one probe in that time, so the rate still grows
// with the number of hosts.
func ProbeInterval(self Heartbeat, others []Heartbeat) time.Duration {
	preceding := 0
	for _, other := range others {
		if other.Region == self.Region && isPreferredReader(other, self) {
			preceding++
		}
	}
	return min(maxProbeInterval, minProbeInterval*time.Duration(hostsPerProbeStep+preceding)/hostsPerProbeStep)
}

// maxStandIns bounds the hosts of the own region that Sources returns besides store readers.
const maxStandIns = 2

// Sources returns the hosts from which a host gets the data of the store, the
// preferred one first: the store reader of its region, then those of the other
// regions, then some other hosts of its region. These read the store themselves if their
// reader delivers nothing. The reader of the region itself has no sources.
func Sources(self Heartbeat, others []Heartbeat) []Heartbeat {
	reader, exists := StoreReader(append(slices.Clone(others), self), self.Region)
	if exists && reader.Host == self.Host {
		return nil
	}
	return append(readers(others, self.Region), standIns(self, others, reader)...)
}

// standIns returns hosts of the region of a host that can read the store besides the store
// reader. Which ones differs from host to host, so that many hosts do not ask the same.
func standIns(self Heartbeat, others []Heartbeat, reader Heartbeat) []Heartbeat {
	hosts := filter(others, func(host Heartbeat) bool {
		return host.Region == self.Region && host.IsReady && host.IsStoreReachable && host.Host != reader.Host
	})
	ranks := make(map[model.HostName]uint64, len(hosts))
	for _, host := range hosts {
		ranks[host.Host] = hashes.Sum(string(self.Host), string(host.Host))
	}
	slices.SortFunc(hosts, func(a, b Heartbeat) int { return cmp.Compare(ranks[a.Host], ranks[b.Host]) })
	return hosts[:min(len(hosts), maxStandIns)]
}

// Holders returns the hosts from which a host without any data gets that of the store
// while no host reaches the store: those that are ready have all of it, as old as it may
// be. Hosts of its own region come first.
func Holders(self Heartbeat, others []Heartbeat) []Heartbeat {
	holders := filter(others, func(host Heartbeat) bool { return host.IsReady && host.Region == self.Region })
	return append(holders, filter(others, func(host Heartbeat) bool { return host.IsReady && host.Region != self.Region })...)
}

// StartHolders returns the hosts from which a host that starts gets what they know: those
// that are ready, then those that are leaving. Hosts that reach the store come first,
// because the others may know less, and among these the hosts of its own region. The order
// of hosts that are alike differs from host to host, so that many hosts that start at once
// do not all ask the same one.
func StartHolders(self Heartbeat, others, leaving []Heartbeat) []Heartbeat {
	holders := append(filter(others, func(host Heartbeat) bool { return host.IsReady }), leaving...)
	slices.SortFunc(holders, func(a, b Heartbeat) int {
		return cmp.Or(
			preferTrue(a.IsReady, b.IsReady), preferTrue(a.IsStoreReachable, b.IsStoreReachable),
			preferTrue(a.Region == self.Region, b.Region == self.Region),
			cmp.Compare(hashes.Sum(string(self.Host), string(a.Host)), hashes.Sum(string(self.Host), string(b.Host))),
		)
	})
	return holders
}

// preferTrue orders true before false.
func preferTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// readers returns the store reader of each region, that of the given region
// first.
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

// isPreferredReader reports whether a host is a better store reader than another one:
// its link is larger, because the reader sends each change to all hosts of its region,
// or its weight is higher if their links are equal.
func isPreferredReader(host, other Heartbeat) bool {
	if host.LinkMbps != other.LinkMbps {
		return host.LinkMbps > other.LinkMbps
	}
	return weight(host.Host) > weight(other.Host)
}

// weight orders hosts with equal links for the election of the store reader. It
// is a hash, so that the elected hosts are not always the first by name.
func weight(host model.HostName) uint32 {
	sum := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = sum.Write([]byte(host))
	return sum.Sum32()
}
