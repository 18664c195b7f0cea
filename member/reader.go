package member

import (
	"hash/fnv"

	"filberthold/model"
)

// Reader returns the host of a region that reads the store for the others of
// the region: the same one for all that see the same hosts. It returns false
// if the store answers no host of the region.
func Reader(hosts []Hello, region model.RegionName) (Hello, bool) {
	var chosen Hello
	found := false
	for _, host := range hosts {
		if host.Region != region || !host.HasStore || host.IsLeaving {
			continue
		}
		if !found || weight(host.Host) > weight(chosen.Host) {
			chosen, found = host, true
		}
	}
	return chosen, found
}

// Sources returns the hosts to follow, the preferred one first: the reader of
// the region, then the readers of the other regions.
func Sources(hosts []Hello, region model.RegionName) []Hello {
	var sources []Hello
	if reader, exists := Reader(hosts, region); exists {
		sources = append(sources, reader)
	}
	seen := map[model.RegionName]bool{region: true}
	for _, host := range hosts {
		if seen[host.Region] {
			continue
		}
		seen[host.Region] = true
		if reader, exists := Reader(hosts, host.Region); exists {
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
