package gossip

import (
	"net/netip"
	"testing"
	"time"

	"filberthold/member"
	"filberthold/steer"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against messages that grow with the square of the number of hosts:
// with 78 hosts they took more processor time than the requests.
func TestLoadMessagesAreBounded(t *testing.T) {
	for hosts := range 700 {
		near, far := loadRounds(hosts, nearPerRound, 1), loadRounds(hosts, farPerRound, leastFarRounds)
		if near > 0 {
			assert.Assert(t, hosts <= near*nearPerRound && near <= maxLoadRounds)
		}
		if far > 0 {
			assert.Assert(t, hosts <= far*farPerRound && far <= maxLoadRounds)
		}
	}
	assert.Equal(t, loadRounds(3, nearPerRound, 1), 1)
	assert.Equal(t, loadRounds(25, nearPerRound, 1), 3)
	assert.Equal(t, loadRounds(227, nearPerRound, 1), 0)
}

// Guards against loads that expire although their host says them regularly.
func TestFullLoadsComeBeforeOthersForget(t *testing.T) {
	const forgotten = 25
	for rounds := 1; rounds <= maxLoadRounds; rounds++ {
		last := 0
		for round := range 200 {
			if isDue(round, rounds) && isFullDue(round, rounds) {
				assert.Assert(t, round-last < forgotten, "every %d rounds: %d after %d", rounds, round, last)
				last = round
			}
		}
		assert.Assert(t, last > 200-forgotten)
	}
}

// A host that has restarted on its address knows nobody. Those that tell it of
// requests all the time must say hello to it as well.
func TestRestartedHostLearnsOfBusyHosts(t *testing.T) {
	busy := startHost(t, "busy", "127.0.7.31", "127.0.7.32")
	knows := func(other *host) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if len(other.link.Alive()) == 1 {
				return poll.Success()
			}
			return poll.Continue("%d hosts known", len(other.link.Alive()))
		}
	}
	t.Run("first start", func(t *testing.T) {
		poll.WaitOn(t, knows(startHost(t, "other", "127.0.7.32")))
	})
	restarted := startHost(t, "other", "127.0.7.32")
	restarted.link.mu.Lock()
	restarted.link.table = member.NewTable("other")
	restarted.link.mu.Unlock()
	busy.link.sendLoad(busy.hello, []netip.Addr{restarted.hello.IP}, []steer.Load{{Endpoint: 1, Count: 1}}, true)
	poll.WaitOn(t, knows(restarted), poll.WithTimeout(2*time.Second))
}
