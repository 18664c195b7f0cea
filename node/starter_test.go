package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/platform/fake"
	"filberthold/relay"

	"gotest.tools/v3/assert"
)

// holderTest is a host that starts, and the hosts that it may ask.
type holderTest struct {
	*replicaTest
	// holders holds what a host answers, by name. A host without an entry does not answer.
	holders map[model.HostName]relay.Update
	// heard are the hosts that the starting host knows, in order of preference.
	heard []model.HostName
	asked []model.HostName
	// hostsAskedAfter is how long after the start the hosts that the store names are asked
	// to announce themselves, or 0 if its rows are not read.
	hostsAskedAfter time.Duration
	// storeAnswersAfter is how long after the start a store without an era answers, or 0.
	storeAnswersAfter time.Duration
}

func newHolderTest(t *testing.T, heard ...model.HostName) *holderTest {
	return &holderTest{replicaTest: newReplicaTest(t), holders: make(map[model.HostName]relay.Update), heard: heard}
}

// start runs the start of the host and returns how long it took.
func (h *holderTest) start() time.Duration {
	h.t.Helper()
	s := &starter{log: slog.New(slog.DiscardHandler), replica: h.replica, intervals: h.intervals, poll: h.poll, over: make(chan struct{})}
	s.holders = func() []member.Heartbeat {
		var holders []member.Heartbeat
		for _, name := range h.heard {
			holders = append(holders, member.Heartbeat{Host: name, ControlAddress: string(name)})
		}
		return holders
	}
	if h.hostsAskedAfter > 0 {
		time.AfterFunc(h.hostsAskedAfter, func() { s.markHostsAsked(time.Now()) })
	}
	if h.storeAnswersAfter > 0 {
		time.AfterFunc(h.storeAnswersAfter, func() { s.markEra(0) })
	}
	startedAt := time.Now()
	s.run(h.t.Context())
	return time.Since(startedAt)
}

func (h *holderTest) poll(ctx context.Context, address string, _, _ platform.Version, _ ...string) (relay.Update, error) {
	name := model.HostName(address)
	h.asked = append(h.asked, name)
	update, exists := h.holders[name]
	if !exists {
		// The limits are those of relay.Client.
		sleep(ctx, h.intervals.pollWait+500*time.Millisecond)
		return relay.Update{}, errors.New("no answer")
	}
	update.ReceivedAt = time.Now()
	return update, nil
}

// whole returns all that a host knows.
func (rt *replicaTest) whole() relay.Update {
	now := time.Now()
	operator, _ := rt.replica.operator.Since(platform.Version{})
	endpoints, _ := rt.replica.endpoints.Since(platform.Version{})
	operator.Age, endpoints.Age = rt.replica.operator.Age(now), rt.replica.endpoints.Age(now)
	return relay.Update{Operator: operator, Endpoints: endpoints, Removals: rt.core.Removals(), ReceivedAt: now}
}

// newHolder returns a host that has read the store.
func newHolder(t *testing.T) *replicaTest {
	t.Helper()
	holder := newReplicaTest(t)
	holder.readAll()
	return holder
}

// readAll reads both tables from the store.
func (rt *replicaTest) readAll() {
	rt.t.Helper()
	store := rt.newReader(func(platform.Table) bool { return true })
	assert.NilError(rt.t, store.readOperator(rt.t.Context()))
	rt.read(store)
}

// startFrom starts the host with what another one knows. Both use the same store.
func (h *holderTest) startFrom(holder *replicaTest) {
	h.t.Helper()
	h.store = holder.store
	h.transport = fake.NewTransport(h.store)
	h.heard = []model.HostName{"holder"}
	h.holders["holder"] = holder.whole()
	h.start()
}

// Guards against a start of all hosts at once that is delayed for long, and against one
// that never ends: no host has anything to tell, or hosts are heard and do not answer.
func TestStartWithoutAnswerEnds(t *testing.T) {
	for _, test := range []struct {
		name            string
		hosts           int
		hostsAskedAfter time.Duration
		storeAnswers    time.Duration
		longest         time.Duration
	}{
		{"all hosts start", 0, 30 * time.Millisecond, 0, 350 * time.Millisecond},
		{"all hosts start and the store has lost nothing", 0, 30 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond},
		{"no store and no host", 0, 0, 0, holderWait},
		{"one silent host", 1, 30 * time.Millisecond, 0, time.Second},
		{"many silent hosts", 200, 30 * time.Millisecond, 0, maxStartWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolderTest(t)
				h.hostsAskedAfter, h.storeAnswersAfter = test.hostsAskedAfter, test.storeAnswers
				for i := range test.hosts {
					h.heard = append(h.heard, model.HostName(fmt.Sprint("h", i)))
				}
				assert.Assert(t, h.start() <= test.longest)
				assert.Assert(t, !h.core.IsReady())
				h.startReader(func(platform.Table) bool { return true })
				synctest.Wait()
				assert.Assert(t, h.core.IsReady())
			})
		})
	}
}

// Guards against a host that waits although another one tells it all, and against one that
// stops at a host which does not answer or has no rows.
func TestStartEndsWithFirstHostThatKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newHolder(t)
		h := newHolderTest(t, "empty", "holder", "other")
		h.holders["empty"], h.holders["holder"] = relay.Update{}, holder.whole()
		assert.Equal(t, h.start(), time.Duration(0))
		assert.Assert(t, h.core.IsReady())
		assert.DeepEqual(t, h.asked, []model.HostName{"empty", "holder"})
		h = newHolderTest(t, "silent", "holder")
		h.holders["holder"] = holder.whole()
		assert.Assert(t, h.start() <= time.Second)
		assert.Assert(t, h.core.IsReady())
	})
}

// Guards against a host that serves with rows that are too old, because it asked a host
// which had lost the store, before it has read the store itself.
func TestStartedHostIsNotReadyWithOldRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newHolder(t)
		time.Sleep(applyTime)
		h := newHolderTest(t)
		h.startFrom(holder)
		store := h.newReader(func(platform.Table) bool { return true })
		assert.Assert(t, !h.core.IsReady())
		h.read(store)
		assert.Assert(t, !h.core.IsReady())
		assert.NilError(t, store.readOperator(t.Context()))
		assert.Assert(t, h.core.IsReady())
	})
}

// Guards against a host that never serves because no host reaches the store: the rows of
// another one are then the newest there are.
func TestStartedHostIsReadyWithOldRowsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newHolder(t)
		time.Sleep(applyTime)
		h := newHolderTest(t)
		h.startFrom(holder)
		h.replica.applyUpdate(holder.whole(), "holder")
		assert.Assert(t, h.core.IsReady())
	})
}

// Guards against requests to an endpoint that left long ago, by a host that asked one
// which had lost the store: only that one has a reason for a grace period.
func TestStartedHostHasNoGracePeriodForOutageOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := newHolder(t)
		holder.store.Remove(platform.EndpointTable, "i-1")
		time.Sleep(outage)
		h := newHolderTest(t)
		h.startFrom(holder)
		h.readAll()
		assert.Assert(t, !h.isEndpointUsed())
	})
}

// Guards against an evacuation that the store lost and that a host which starts ends at
// once, or never, because the host that it asked had not heard of the store's return.
func TestStartedHostEndsEvacuationThatReturnedStoreLost(t *testing.T) {
	for _, passed := range []time.Duration{operatorRenewalGrace - time.Millisecond, operatorRenewalGrace} {
		synctest.Test(t, func(t *testing.T) {
			holder := newReplicaTest(t)
			older := holder.store.Copy()
			holder.store.Put(platform.OperatorTable, "evacuate/za", "{}")
			holder.readAll()
			holder.store.Restore(older)
			h := newHolderTest(t)
			h.startFrom(holder)
			h.readAll()
			time.Sleep(passed)
			h.replica.expireOperatorRows(time.Now())
			assert.Equal(t, h.evacuatedZones()["za"], passed < operatorRenewalGrace)
		})
	}
}

// Guards against rows of the store that replace newer ones, which another host told while
// they were on their way, and against a store that is not used before a host has answered
// although it has lost nothing.
func TestRowsAreReadAgainAfterAnotherHostTold(t *testing.T) {
	for _, test := range []struct {
		name  string
		era   uint64
		tells bool
		// isReadAgain is what await reports, waits how long it takes.
		isReadAgain bool
		waits       time.Duration
	}{
		{"the store states no era", 0, false, false, 0},
		{"no host tells", 1, false, false, holderWait},
		{"a host tells", 1, true, true, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolderTest(t)
				s := &starter{log: slog.New(slog.DiscardHandler), replica: h.replica, intervals: h.intervals, poll: h.poll, over: make(chan struct{})}
				holder := newHolder(t)
				h.holders["holder"] = holder.whole()
				readAt := time.Now()
				s.holders = func() []member.Heartbeat {
					if test.tells && time.Since(readAt) >= 100*time.Millisecond {
						return []member.Heartbeat{{Host: "holder", ControlAddress: "holder"}}
					}
					return nil
				}
				go s.run(t.Context())
				assert.Equal(t, s.await(t.Context(), test.era, readAt), test.isReadAgain)
				assert.Equal(t, time.Since(readAt), test.waits)
				<-s.over
				assert.Assert(t, !s.await(t.Context(), test.era, time.Now()))
			})
		})
	}
}
