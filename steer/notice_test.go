package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/roster"

	"gotest.tools/v3/assert"
)

// entry returns an entry of an endpoint in zone za.
func entry(name string, sequence uint64, incarnation int64) roster.Entry {
	return roster.Entry{
		Endpoint: model.EndpointName(name), Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Zone: "za", Slots: 3, State: roster.Ready, Sequence: sequence, Incarnation: incarnation,
	}
}

func update(selector *Selector, endpoints *fixture) {
	selector.Update(endpoints.config, endpoints.roster, []model.ServiceName{"s"}, start())
}

// chosenEndpoints returns the endpoints that get 50 requests for as many objects.
func chosenEndpoints(selector *Selector, now time.Time) map[model.EndpointName]bool {
	chosen := make(map[model.EndpointName]bool)
	for i := range 50 {
		if sent, isSend := selector.Choose(query(fmt.Sprint("o", i)), now).(Send); isSend {
			chosen[sent.Endpoint.Name] = true
			selector.Done(Outcome{Endpoint: sent.Endpoint.Name, Result: Answered, Elapsed: 100 * time.Millisecond}, now)
		}
	}
	return chosen
}

// newLeavingTest returns a selector with the endpoints a and b, of which a has said
// that it is leaving.
func newLeavingTest(t *testing.T) (*Selector, *fixture) {
	t.Helper()
	endpoints := newFixture(0)
	endpoints.add("a", "za", 0)
	endpoints.add("b", "za", 0)
	selector := endpoints.selector("h")
	assert.Equal(t, len(chosenEndpoints(selector, start())), 2)
	leaving := Notice{Endpoint: "a", Incarnation: 1, IsLeaving: true}
	assert.Assert(t, selector.Hear(leaving, start()).IsLeaving)
	assert.Assert(t, !selector.Hear(leaving, start()).IsLeaving)
	update(selector, endpoints)
	return selector, endpoints
}

// Guards against requests to an endpoint that has said that it is leaving, whatever
// the table of endpoints shows of its incarnation, and against one that gets none after
// it started again.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	tests := map[string]struct {
		change func(endpoints *fixture)
		isUsed bool
	}{
		"the table does not change": {func(*fixture) {}, false},
		"the entry is renewed":      {func(f *fixture) { f.roster.Apply(entry("a", 2, 1), start()) }, false},
		"the entry is removed and written again": {func(f *fixture) {
			f.roster.Remove("a", start(), time.Time{})
			f.roster.Apply(entry("a", 2, 1), start())
		}, false},
		"the store lost the table": {func(f *fixture) {
			f.roster = roster.New(regions())
			f.roster.Apply(entry("a", 1, 1), start())
			f.roster.Apply(entry("b", 1, 1), start())
		}, false},
		"the table shows an earlier incarnation": {func(f *fixture) {
			f.roster = roster.New(regions())
			f.roster.Apply(entry("a", 1, 0), start())
			f.roster.Apply(entry("b", 1, 1), start())
		}, false},
		"the endpoint starts again":                    {func(f *fixture) { f.roster.Apply(entry("a", 1, 2), start()) }, true},
		"another endpoint takes the address over":      {func(f *fixture) { f.roster.Apply(entry("c", 1, 1), start()) }, false},
		"the availability zone is evacuated meanwhile": {func(f *fixture) { f.roster.SetEvacuated([]model.ZoneName{"zb"}) }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			selector, endpoints := newLeavingTest(t)
			// The endpoint is forgotten in between, because it has no request in flight.
			present := endpoints.roster
			endpoints.roster = roster.New(regions())
			update(selector, endpoints)
			endpoints.roster = present
			test.change(endpoints)
			update(selector, endpoints)
			chosen := chosenEndpoints(selector, start())
			assert.Equal(t, chosen["a"], test.isUsed)
			assert.Assert(t, chosen["b"])
		})
	}
}

// Guards against a late response of an earlier incarnation that takes the running one
// out of use, or is counted as news.
func TestLateNoticeOfEarlierIncarnationIsIgnored(t *testing.T) {
	selector, endpoints := newLeavingTest(t)
	for _, name := range []string{"a", "b"} {
		endpoints.roster.Apply(entry(name, 1, 2), start())
	}
	update(selector, endpoints)
	for _, name := range []model.EndpointName{"a", "b"} {
		assert.Assert(t, !selector.Hear(Notice{Endpoint: name, Incarnation: 1, IsLeaving: true}, start()).IsLeaving)
	}
	update(selector, endpoints)
	assert.Equal(t, len(chosenEndpoints(selector, start())), 2)
}

// Guards against requests to an endpoint that started again under its name and said, by
// a response that came before its new entry was read, that it is leaving or wants to be
// spared. Guards also against an endpoint that stays unused because its earlier
// incarnation was leaving, or for good because the clocks differ.
func TestNoticeBeforeNewEntryCountsForNewIncarnation(t *testing.T) {
	tests := map[string]struct {
		// startedAfterSend is from the send of the request to the start of the new
		// incarnation.
		startedAfterSend time.Duration
		isEntryReadFirst bool
		checkedAfter     time.Duration
		isUsed           bool
	}{
		"the new incarnation was running":             {-300 * time.Millisecond, false, time.Second, false},
		"its entry is read before the response":       {-300 * time.Millisecond, true, time.Second, false},
		"its clock is a little ahead":                 {100 * time.Millisecond, false, time.Second, false},
		"the new incarnation starts after the drain":  {2 * time.Second, false, 3 * time.Second, true},
		"the notice has become too old to be unclear": {-300 * time.Millisecond, false, unclearRetention + time.Second, true},
	}
	for name, test := range tests {
		for _, heard := range []Notice{{IsLeaving: true}, {RetryAfter: 4 * time.Second}} {
			t.Run(fmt.Sprint(name, heard.IsLeaving), func(t *testing.T) {
				endpoints := newFixture(0)
				endpoints.add("a", "za", 0)
				selector := endpoints.selector("h")
				sentAt := start().Add(time.Minute)
				heardAt := sentAt.Add(200 * time.Millisecond)
				startedAt := sentAt.Add(test.startedAfterSend)
				if test.isEntryReadFirst {
					endpoints.roster.Apply(entry("a", 1, startedAt.UnixMilli()), heardAt)
					update(selector, endpoints)
				}
				heard.Endpoint, heard.Incarnation, heard.SentAt = "a", 1, sentAt
				selector.Hear(heard, heardAt)
				endpoints.roster.Apply(entry("a", 1, startedAt.UnixMilli()), heardAt)
				selector.Update(endpoints.config, endpoints.roster, []model.ServiceName{"s"}, heardAt)
				checkedAt := heardAt.Add(test.checkedAfter)
				if selector.HasClearedNotices(checkedAt) {
					selector.Update(endpoints.config, endpoints.roster, []model.ServiceName{"s"}, checkedAt)
				}
				assert.Equal(t, chosenEndpoints(selector, checkedAt)["a"], test.isUsed)
			})
		}
	}
}

// Guards against a rejection without the time after which another endpoint may be
// known, or one that makes the request wait, when the last endpoint leaves.
func TestLastLeavingEndpointRejectsWaitingQueries(t *testing.T) {
	endpoints := newFixture(0)
	endpoints.add("a", "za", 0)
	selector := endpoints.selector("h")
	for range 3 + maxEndpointQueue {
		requireSend(t, selector.Choose(query("o"), start()))
	}
	waitlist := NewWaitlist(selector, 8)
	ticket, isWaiting := waitlist.Push(query("o"), start().Add(time.Second))
	assert.Assert(t, isWaiting)
	assert.Equal(t, len(waitlist.Admit(start())), 0)
	selector.Hear(Notice{Endpoint: "a", Incarnation: 1, IsLeaving: true}, start())
	update(selector, endpoints)
	admitted := waitlist.Admit(start())
	assert.Equal(t, len(admitted), 1)
	assert.Equal(t, admitted[0].Ticket, ticket)
	assert.Equal(t, admitted[0].Decision, Decision(Reject{Reason: "the service has no endpoint", RetryAfter: noEndpointRetryAfter}))
	assert.Equal(t, waitlist.Len(), 0)
}

// Guards against a permit that is used, or issued, for an endpoint that has said that
// it is leaving.
func TestPermitOfLeavingEndpointIsNotUsed(t *testing.T) {
	endpoints := newFixture(0)
	endpoints.add("a", "za", 0)
	selector := endpoints.selector("h")
	sent := requireSend(t, selector.Choose(query("o"), start()))
	request := PermitRequest{Owner: "h", News: LimitNews{Endpoint: selector.endpoints["a"].id(), Limit: RateLimit{IsSet: true, PerSecond: 5}}}
	assert.Assert(t, selector.IssuePermit(request, start().Add(time.Second)).IsGranted)
	selector.Hear(Notice{Endpoint: "a", Incarnation: 1, IsLeaving: true}, start())
	update(selector, endpoints)
	assert.Assert(t, !selector.ApplyPermit(sent, Permit{IsGranted: true}, start()))
	assert.Equal(t, selector.endpoints["a"].inFlight, 0)
	assert.Assert(t, !selector.IssuePermit(request, start().Add(2*time.Second)).IsGranted)
}

// Guards against notices that fill the memory of a host over months.
func TestOldNoticesAreDeleted(t *testing.T) {
	selector := newFixture(1).selector("h")
	for i := range 100 {
		selector.Hear(Notice{Endpoint: model.EndpointName(fmt.Sprint("e", i)), Incarnation: 1, IsLeaving: true}, start().Add(time.Duration(i)*time.Minute))
	}
	assert.Equal(t, len(selector.notices), 61)
}
