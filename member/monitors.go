package member

import (
	"slices"
	"time"

	"filberthold/hashes"
	"filberthold/model"
)

// candidate is a host with its weight as the monitor of another host.
type candidate struct {
	host   *record
	weight uint64
}

// monitorsOf returns the hosts that monitor a host: in each region those with the highest
// weights for it. Hosts of other availability zones come first, so that a lost zone does
// not take a host together with its monitors.
func monitorsOf(name model.HostName, hash uint64, zone model.ZoneName, candidates []*record) []*record {
	best := make(map[model.RegionName][]candidate)
	for _, host := range candidates {
		if host.heartbeat.Host == name {
			continue
		}
		best[host.heartbeat.Region] = insertBest(best[host.heartbeat.Region], candidate{host, monitorWeight(hash, zone, host)})
	}
	var monitors []*record
	for _, chosen := range best {
		for _, monitor := range chosen {
			monitors = append(monitors, monitor.host)
		}
	}
	return monitors
}

func monitorWeight(hash uint64, zone model.ZoneName, monitor *record) uint64 {
	const otherZone = 1 << 63
	weight := hashes.Mix(hash^monitor.hash) &^ otherZone
	if monitor.heartbeat.Zone != zone {
		weight |= otherZone
	}
	return weight
}

// insertBest inserts a candidate if it is among the monitorsPerRegion with the highest
// weights, which it keeps in descending order.
func insertBest(best []candidate, added candidate) []candidate {
	index := len(best)
	for index > 0 && best[index-1].weight < added.weight {
		index--
	}
	if index == monitorsPerRegion {
		return best
	}
	if len(best) == monitorsPerRegion {
		best = best[:monitorsPerRegion-1]
	}
	return slices.Insert(best, index, added)
}

// askOrphans asks the hosts for an answer whose monitors in this region are all gone: no
// one would tell it if they were gone too.
func (d *Detector) askOrphans(own Heartbeat, now time.Time) {
	var region []*record
	isGone := make(map[*record]bool)
	for _, host := range d.table.sorted {
		if host.heartbeat.Region != own.Region || host.heartbeat.IsLeaving {
			continue
		}
		goneSince, wasFound := d.goneSince[host.heartbeat.Host]
		if wasFound && now.Sub(goneSince) > orphanTime {
			continue
		}
		if wasFound {
			isGone[host] = true
		}
		region = append(region, host)
	}
	if len(isGone) < monitorsPerRegion {
		return
	}
	for _, host := range d.table.sorted {
		if !host.silentAt.IsZero() || !host.askedUntil.IsZero() || !host.isAlive(now) {
			continue
		}
		monitors := monitorsOf(host.heartbeat.Host, host.hash, host.heartbeat.Zone, region)
		if !slices.ContainsFunc(monitors, func(monitor *record) bool { return !isGone[monitor] }) {
			d.ask(host, now)
		}
	}
}
