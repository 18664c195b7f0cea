package gossip

import "time"

const (
	// interval is how often a host says hello to each other host.
	interval = 300 * time.Millisecond
	// manyHosts is the number of hosts for each of which interval grows by one
	// more time, so that the hellos of a host stay bounded.
	manyHosts = 32
	// peersEvery is the number of hellos of which one names other hosts, and
	// goes to all hosts whatever else they were sent.
	peersEvery = 8
	// helloRepeats is how often a changed hello goes to all hosts, because
	// messages may be lost.
	helloRepeats = 3
	// loadInterval is the unit of the intervals below.
	loadInterval = 100 * time.Millisecond
	// nearPerRound and farPerRound bound the hosts of its region, and of other
	// regions, that a host tells of its requests in each loadInterval on average.
	// Hosts of other regions rarely send to the same endpoints.
	nearPerRound = 10
	farPerRound  = 5
	// leastFarRounds is how often other regions are told at most.
	leastFarRounds = 5
	// fullRounds is how often a message names everything, because messages may
	// be lost. Hosts forget what they were told after 25 rounds.
	fullRounds = 10
	// maxLoadRounds is the interval from which such messages are too old when
	// the next one comes; none are sent then.
	maxLoadRounds = 12
)

// helloInterval is how often a host says hello that knows a number of others.
func helloInterval(hosts int) time.Duration {
	return interval * time.Duration(1+hosts/manyHosts)
}

// loadRounds is how often the hosts of a region or of all others are told of
// requests, in rounds; 0 means never.
func loadRounds(hosts, perRound, least int) int {
	rounds := max(least, (hosts+perRound-1)/perRound)
	if rounds > maxLoadRounds {
		return 0
	}
	return rounds
}

// isDue reports whether a message that is sent every so many rounds is sent in
// a round.
func isDue(round, rounds int) bool { return rounds > 0 && round%rounds == 0 }

// isFullDue reports whether a message that is sent every so many rounds names
// everything this time.
func isFullDue(round, rounds int) bool {
	messages := max(1, fullRounds/rounds)
	return round/rounds%messages == 0
}
