package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"filberthold/member"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// maxBeliefTime bounds the time until hosts know of a cut, or of its end.
const maxBeliefTime = 5 * time.Second

// namedHosts returns the number of hosts that the lookups of a host name.
func (b *testbed) namedHosts(index int) (int, error) {
	response, err := http.Get(b.hosts[index].settings.LookupURL())
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var found struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(response.Body).Decode(&found)
	return len(found.Addresses), err
}

// waitUntilNamed waits until the lookups of each host name a number of hosts.
func (b *testbed) waitUntilNamed(t *testing.T, want ...int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for index := range want {
			count, err := b.namedHosts(index)
			if err != nil {
				return poll.Error(err)
			}
			if count != want[index] {
				return poll.Continue("host-%d names %d hosts, not %d", index, count, want[index])
			}
		}
		return poll.Success()
	}, poll.WithTimeout(maxBeliefTime), poll.WithDelay(50*time.Millisecond))
}

// polls returns the number of connections between hosts.
func (b *testbed) polls() int {
	total := 0
	for _, path := range b.paths.paths {
		path.polls.mu.Lock()
		total += len(path.polls.links)
		path.polls.mu.Unlock()
	}
	return total
}

// Guards against a soak in which hosts reach each other although they are cut, do not reach
// each other afterwards, or lose other paths too.
func TestCutHostsDoNotHearEachOther(t *testing.T) {
	options := Options{Program: buildProgram(t), Hosts: 3}
	b := startTestbedWith(t, options, endpointCount, func(b *testbed) { b.canCutHosts = true })
	b.waitUntilNamed(t, 3, 3, 3)
	assert.Assert(t, b.polls() > 0, "hosts poll each other beside the paths")
	for _, play := range []struct {
		cut   hostCut
		named []int
	}{
		{hostCut{group: []int{1}}, []int{2, 1, 2}},
		{hostCut{group: []int{1}, direction: outgoing}, []int{2, 3, 2}},
		{hostCut{group: []int{0, 2}, direction: outgoing}, []int{3, 1, 3}},
		{hostCut{group: []int{0}, direction: incoming}, []int{1, 3, 3}},
	} {
		b.paths.set(play.cut)
		b.waitUntilNamed(t, play.named...)
		assert.Assert(t, b.waitUntilServing(t.Context()))
		b.paths.set(hostCut{})
		b.waitUntilNamed(t, 3, 3, 3)
	}
}

// Guards against hosts that go on to use an endpoint which has left, because they are cut from
// the reader of the store in one direction or both: they still hear that it is alive, or
// cannot ask it.
func TestCutHostsStopUsingEndpointThatLeft(t *testing.T) {
	options := Options{Program: buildProgram(t), Hosts: 3}
	b := startTestbedWith(t, options, endpointCount, func(b *testbed) { b.canCutHosts = true })
	c := newCallers(b)
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { c.run(ctx) })
	random := rand.New(rand.NewPCG(1, 1))
	for direction := range cutDirections {
		reader := b.aimAtReader(0) % len(b.hosts)
		b.paths.set(hostCut{group: []int{reader}, direction: direction})
		b.sleep(maxSettle)
		b.endDeparture(b.startDeparture(int(direction), random), random)
		b.paths.set(hostCut{})
		b.waitUntilNamed(t, 3, 3, 3)
	}
	stop()
	group.Wait()
	c.checkDepartures()
	assert.Equal(t, len(b.report.Violations), 0, "%q", b.report.Violations)
	assert.Equal(t, b.report.Checked["departures"], len(b.hosts)*int(cutDirections))
}

// Guards against hosts that poll each other directly, or whose other messages are changed on
// the way.
func TestPathChangesOnlyControlAddress(t *testing.T) {
	sent := map[int]any{1: member.Heartbeat{Host: "h", CallerAddress: "c", ControlAddress: "direct", Incarnation: 7}, 3: true}
	content, err := cbor.Marshal(sent)
	assert.NilError(t, err)
	var received struct {
		Heartbeat member.Heartbeat `cbor:"1,keyasint"`
		Other     bool             `cbor:"3,keyasint"`
	}
	assert.NilError(t, cbor.Unmarshal(withControlAddress(content, "proxy"), &received))
	assert.Equal(t, received.Heartbeat.ControlAddress, "proxy")
	assert.Equal(t, received.Heartbeat.CallerAddress, "c")
	assert.Equal(t, received.Heartbeat.Incarnation, int64(7))
	assert.Assert(t, received.Other)
	beat, err := cbor.Marshal(map[int]any{6: member.Beat{Host: "h"}})
	assert.NilError(t, err)
	for _, unchanged := range [][]byte{beat, []byte("no message"), {}} {
		assert.DeepEqual(t, withControlAddress(unchanged, "proxy"), unchanged)
	}
}
