package peers_test

import (
	"fmt"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/revise"

	"gotest.tools/v3/assert"
)

// Guards against a host that accepts requests although neither the store nor a
// peer confirms its revision, and against a host that stops although a peer
// does.
func TestConfirmationExpiresWithoutStoreAndPeers(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	state := peers.NewState("a", "1")
	state.Confirm(1, start)
	assert.Assert(t, !state.Confirmed(start), "no revision is in force")
	assert.Assert(t, state.Publish(revise.RevisionIDOf(2, []byte("two")), []byte("two")))

	state.Confirm(2, at(0))
	assert.Assert(t, state.Confirmed(at(3.9)))
	state.ReceiveDigest(peers.Digest{Host: "b", Revision: 2}, at(3))
	assert.Assert(t, state.Confirmed(at(6.9)), "only the store is unreachable")
	assert.Assert(t, !state.Confirmed(at(7)), "the store and all peers are unreachable")
	state.ReceiveDigest(peers.Digest{Host: "a", Revision: 2}, at(8))
	assert.Assert(t, !state.Confirmed(at(8)), "a digest of its own does not confirm")
	state.ReceiveDigest(peers.Digest{Host: "b", Revision: 3}, at(9))
	assert.Assert(t, !state.Confirmed(at(9)), "the peer has a newer revision")
	state.Confirm(2, at(9))
	state.Confirm(2, at(8.5))
	assert.Assert(t, state.Confirmed(at(12.9)), "a late response does not move the time back")
}

// Guards against a published revision that is replaced by an older one, against
// a body that is sent without a request, and against a request that is repeated
// while the body is on its way.
func TestBodyIsSentOnRequestOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	behind, ahead := peers.NewState("a", "1"), peers.NewState("b", "1")
	assert.Assert(t, ahead.Publish(revise.RevisionIDOf(5, []byte("five")), []byte("five")))
	assert.Assert(t, !ahead.Publish(revise.RevisionIDOf(4, []byte("four")), []byte("four")))

	responses, _ := ahead.ReceiveDigest(behind.Digest(now), now)
	assert.DeepEqual(t, responses, []peers.Frame{ahead.Digest(now)})
	requests, _ := behind.ReceiveDigest(ahead.Digest(now), now)
	repeated, _ := behind.ReceiveDigest(ahead.Digest(now), now.Add(time.Second))
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, len(repeated), 0)
	newer, _ := behind.ReceiveDigest(peers.Digest{Host: "b", Revision: 6}, now.Add(time.Second))
	assert.Equal(t, len(newer), 1, "a newer revision is not requested before the older one arrives")
	responses, _ = ahead.ReceiveDigest(requests[0].(peers.Digest), now)
	body := []byte("five")
	assert.DeepEqual(t, responses, []peers.Frame{peers.Revision{Number: 5, Digest: revise.DigestOf(body), Body: body}})
}

// network delivers digests between states in rounds. In a round each digest
// crosses one link, and no time passes.
type network struct {
	states   map[model.HostName]*peers.State
	subset   map[model.HostName][]model.Host
	isolated map[model.HostName]bool
}

func newNetwork(count int, now time.Time) *network {
	n := &network{
		states: make(map[model.HostName]*peers.State), subset: make(map[model.HostName][]model.Host),
		isolated: make(map[model.HostName]bool),
	}
	var hosts []model.Host
	for i := range count {
		hosts = append(hosts, model.NewHost(model.HostSpec{Name: model.HostName(fmt.Sprintf("host-%03d", i))}))
	}
	for _, host := range hosts {
		n.states[host.Name()] = peers.NewState(host.Name(), "1")
		n.subset[host.Name()] = peers.Subset(host.Name(), hosts)
		n.states[host.Name()].SetSubset(n.subset[host.Name()], now)
	}
	return n
}

// round sends one digest in each direction of every link.
func (n *network) round(now time.Time) {
	digests := make(map[model.HostName]peers.Digest)
	for name, state := range n.states {
		digests[name] = state.Digest(now)
	}
	for name, state := range n.states {
		for _, peer := range n.subset[name] {
			if !n.isolated[name] && !n.isolated[peer.Name()] {
				state.ReceiveDigest(digests[peer.Name()], now)
			}
		}
	}
}

// count returns the number of other hosts at which the state of host-003 meets a
// condition.
func (n *network) count(now time.Time, is func(peers.HostState) bool) int {
	count := 0
	for name, state := range n.states {
		if name != "host-003" && is(state.HostState("host-003", now)) {
			count++
		}
	}
	return count
}

// Guards against a leaving or unreachable host that is not reported beyond its
// own peers, and against notices that still apply after the host has restarted.
func TestHostStateReachesAllHosts(t *testing.T) {
	isLeaving := func(p peers.HostState) bool { return p.Leaving }
	isUnreachable := func(p peers.HostState) bool { return !p.Alive }
	for _, size := range []int{12, 96, 680} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			now := time.Unix(1000, 0)
			n := newNetwork(size, now)
			n.round(now)
			n.states["host-003"].Leave()
			hops := 0
			for n.count(now, isLeaving) < size-1 && hops < 12 {
				n.round(now)
				hops++
			}
			t.Logf("%d hosts: leaving is known after %d hops", size, hops)
			assert.Assert(t, hops <= 6, "%d hops", hops)

			n.isolated["host-003"] = true
			for range 14 {
				now = now.Add(time.Second)
				n.round(now)
			}
			assert.Equal(t, n.count(now, isUnreachable), size-1)

			n.isolated["host-003"] = false
			n.states["host-003"] = peers.NewState("host-003", "2")
			for range 11 {
				now = now.Add(time.Second)
				n.round(now)
			}
			assert.Equal(t, n.count(now, isLeaving), 0)
			assert.Equal(t, n.count(now, isUnreachable), 0)
		})
	}
}

// Guards against marks that stay missing after a link has dropped them, and
// against a mark that applies to a later incarnation or is removed again.
func TestMarksConverge(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := peers.NewState("a", "1"), peers.NewState("b", "1")
	a.Mark(peers.LeavingMark{Endpoint: "e1", Incarnation: "1"}, peers.LeavingMark{Endpoint: "e2", Incarnation: "1"})
	b.Mark(peers.LeavingMark{Endpoint: "e1", Incarnation: "2"}, peers.LeavingMark{Endpoint: "e2", Incarnation: "1"})
	responses, _ := b.ReceiveDigest(a.Digest(now), now)
	added, responses := a.ReceiveMarks(responses[0].(peers.LeavingMarks))
	assert.Equal(t, len(responses), 1, "a does not send the marks that b lacks")
	assert.DeepEqual(t, added, []peers.LeavingMark{{Endpoint: "e1", Incarnation: "2"}})
	added, responses = b.ReceiveMarks(responses[0].(peers.LeavingMarks))
	assert.DeepEqual(t, added, []peers.LeavingMark{{Endpoint: "e1", Incarnation: "1"}})
	assert.Equal(t, len(responses), 0)
	assert.DeepEqual(t, a.Marks(), b.Marks())
	for incarnation := range 20 {
		a.Mark(peers.LeavingMark{Endpoint: "e1", Incarnation: fmt.Sprintf("%03d", incarnation)})
		b.Mark(peers.LeavingMark{Endpoint: "e1", Incarnation: fmt.Sprintf("%03d", 19-incarnation)})
	}
	assert.DeepEqual(t, a.Marks(), b.Marks())
	assert.Equal(t, len(a.Marks()), 5)
}
