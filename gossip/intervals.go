package gossip

import (
	"time"

	"filberthold/member"
	"filberthold/model"
)

const (
	// loadRoundInterval is the length of a round of load reports.
	loadRoundInterval = 100 * time.Millisecond
	// sameRegionPerRound and otherRegionsPerRound bound the hosts of its own
	// region and of other regions to which a host sends load reports, per round
	// on average. Hosts of other regions rarely send to the same endpoints.
	sameRegionPerRound   = 10
	otherRegionsPerRound = 5
	// minOtherRegionsRounds is the least number of rounds between load reports
	// to other regions.
	minOtherRegionsRounds = 5
	// fullReportRounds is the largest number of rounds between load reports that
	// contain all endpoints, unless all reports are rarer. Full reports are needed
	// because messages may be lost. At the receiver, counts expire after 25 rounds.
	fullReportRounds = 10
	// maxLoadReportRounds is the largest number of rounds between load reports.
	// With more hosts a report would be outdated before the next one arrives, so
	// none are sent.
	maxLoadReportRounds = 12
	// maxEndingReports is the number of reports that tell of the end of retries, because
	// messages may be lost. They alternate between the own region and the others.
	maxEndingReports = 8
	// maxReportedHosts is the number of other hosts of its region up to which a host sends
	// them load reports although conditions are told. With more, the reports take more
	// than the traffic that a host may use for control.
	maxReportedHosts = 32
)

// tellsConditions reports whether the hosts of a fleet tell the conditions of endpoints: load
// reports do not reach all hosts. sizes holds the number of hosts of each region. All hosts
// with the same list of hosts decide the same.
func tellsConditions(sizes map[model.RegionName]int) bool {
	total := 0
	for _, size := range sizes {
		total += size
	}
	for _, size := range sizes {
		if loadReportRounds(size-1, sameRegionPerRound, 1) == 0 || loadReportRounds(total-size, otherRegionsPerRound, minOtherRegionsRounds) == 0 {
			return true
		}
	}
	return false
}

// conditionsReplaceCounts reports whether load reports to the other hosts of a region contain
// no counts.
func conditionsReplaceCounts(sizes map[model.RegionName]int, region model.RegionName) bool {
	return sizes[region]-1 > maxReportedHosts && tellsConditions(sizes)
}

// regionSizes returns the number of hosts of each region, this one included.
func regionSizes(own member.Heartbeat, others []member.Heartbeat) map[model.RegionName]int {
	sizes := map[model.RegionName]int{own.Region: 1}
	for _, host := range others {
		sizes[host.Region]++
	}
	return sizes
}

// loadReportRounds returns the number of rounds between load reports to a number
// of hosts, or 0 if none are sent.
func loadReportRounds(hosts, perRound, minRounds int) int {
	rounds := max(minRounds, (hosts+perRound-1)/perRound)
	if rounds > maxLoadReportRounds {
		return 0
	}
	return rounds
}

// isDue reports whether a report that is sent once in a number of rounds is sent
// in the given round. If the number is 0, it is never sent.
func isDue(round, rounds int) bool { return rounds > 0 && round%rounds == 0 }

// isFullReportDue reports whether the report that is due in the given round
// contains all endpoints.
func isFullReportDue(round, rounds int) bool {
	messages := max(1, fullReportRounds/rounds)
	return round/rounds%messages == 0
}
