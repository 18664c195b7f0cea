package gossip

import "time"

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
)

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
