package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// cutDirection tells in which direction a hostCut loses what hosts send.
type cutDirection int

const (
	bothDirections cutDirection = iota
	// outgoing loses what the group sends to the other hosts.
	outgoing
	// incoming loses what the other hosts send to the group.
	incoming
	cutDirections
)

// hostCut is a cut between a group of hosts and the others. All hosts keep their paths to
// callers, endpoints and the store, so that they stay in touch and no guarantee is suspended.
type hostCut struct {
	// group holds the indexes of some of the hosts, and not of all.
	group     []int
	direction cutDirection
	duration  time.Duration
}

// drawCut draws a cut of one host, or of several, from the others, for at most maxDuration.
// There are at least two hosts.
func drawCut(random *rand.Rand, hosts int, maxDuration time.Duration) hostCut {
	size := 1
	if hosts > 2 && random.IntN(2) == 0 {
		size = 2 + random.IntN(hosts-2)
	}
	return hostCut{
		group:     random.Perm(hosts)[:size],
		direction: cutDirection(random.IntN(int(cutDirections))),
		duration:  randomHold(random, maxDuration),
	}
}

// loses reports whether what a host sends to another one is lost.
func (c hostCut) loses(pair hostPair) bool {
	isFromGroup, isToGroup := slices.Contains(c.group, pair.from), slices.Contains(c.group, pair.to)
	switch c.direction {
	case outgoing:
		return isFromGroup && !isToGroup
	case incoming:
		return isToGroup && !isFromGroup
	default:
		return isFromGroup != isToGroup
	}
}

// cutHosts cuts hosts from each other for a time.
func (b *testbed) cutHosts(random *rand.Rand) {
	cut := drawCut(random, len(b.hosts), b.options.Duration/2)
	b.paths.set(cut)
	b.sleep(cut.duration)
	b.paths.set(hostCut{})
}

// leaveDuringCut cuts hosts from each other and, after some time, lets an endpoint leave. The
// cut goes on until all hosts must have stopped using the endpoint: those that otherwise hear
// of it from another host must read the store.
func (b *testbed) leaveDuringCut(random *rand.Rand, index int) {
	cut := drawCut(random, len(b.hosts), maxSettle)
	b.paths.set(cut)
	b.sleep(cut.duration)
	b.endDeparture(b.startDeparture(index, random), random)
	b.paths.set(hostCut{})
}
