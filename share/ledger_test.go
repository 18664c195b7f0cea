package share_test

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/share"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulation holds a set of hosts and the true state of one endpoint. Each host and
// the endpoint have a constant clock error within the allowed skew.
type simulation struct {
	slots              int
	revisions          []*share.Assignment
	now                time.Time
	endpointClockError time.Duration
	hosts              []*simulatedHost
	// running holds the requests that the endpoint executes. A request ends when it
	// is finished, or at its deadline by the endpoint's clock.
	running []*request
	// releases holds every release of the session; each may be delivered at any
	// time.
	releases []share.Release
	grants   []grant
}

type simulatedHost struct {
	name       model.HostName
	ledger     *share.Ledger
	clockError time.Duration
	revision   int
	requests   []*request
}

type request struct {
	ticket   share.Ticket
	deadline time.Time
	// started is false while the request is delayed between the decision of a
	// host and the endpoint, for example because the host is paused.
	started bool
}

// grant is a loan in transit to its borrower.
type grant struct {
	loan   share.Loan
	sentAt time.Time
	// requester is the ledger of the incarnation that requested the loan. A later
	// incarnation ignores the grant, because it did not send the request.
	requester *share.Ledger
}

const endpoint = model.EndpointName("view-0000")

// newAssignments returns the assignments of several revisions with one endpoint.
// isPresent reports whether a revision contains a host.
func newAssignments(slots, hosts, revisions int, isPresent func(revision, host int) bool) []*share.Assignment {
	var assignments []*share.Assignment
	for r := range revisions {
		deployment := deploy(uint64(r+1), 1, 1, slots, hosts, func(i int) bool { return !isPresent(r, i) })
		assignments = append(assignments, share.Assign(deployment))
	}
	return assignments
}

func newSimulation(slots, hosts int, revisions []*share.Assignment) *simulation {
	s := &simulation{slots: slots, now: time.Unix(1_000_000, 0), revisions: revisions}
	for i := range hosts {
		name := model.HostName(fmt.Sprintf("host-%03d", i))
		s.hosts = append(s.hosts, &simulatedHost{name: name, ledger: share.NewLedger(name)})
		s.adopt(i, 1, true)
	}
	return s
}

// adopt makes a host adopt a revision. With recordSkipped it first records the
// owners of the revisions that it skips.
func (s *simulation) adopt(host, revision int, recordSkipped bool) bool {
	h := s.hosts[host]
	for r := h.revision + 1; r < revision && recordSkipped; r++ {
		h.ledger.RecordOwners(s.revisions[r-1])
	}
	h.ledger.Adopt(s.revisions[revision-1])
	h.revision = max(h.revision, revision)
	return true
}

// restart starts the next incarnation of a host, without the state of the earlier
// one. The requests and loans of the earlier one last for at most 10 s.
func (s *simulation) restart(host int) {
	h := s.hosts[host]
	revision := h.revision
	h.ledger, h.requests, h.revision = share.NewLedger(h.name), nil, 0
	h.ledger.BlockUntil(s.clock(h).Add(10 * time.Second))
	s.adopt(host, revision, true)
}

func (s *simulation) clock(h *simulatedHost) time.Time { return s.now.Add(h.clockError) }

// take takes a slot for a request of a host. The endpoint receives the request
// later.
func (s *simulation) take(host int, timeout time.Duration) bool {
	h := s.hosts[host]
	deadline := s.clock(h).Add(timeout)
	ticket, ok := h.ledger.Take(endpoint, deadline, s.clock(h))
	if ok {
		h.requests = append(h.requests, &request{ticket: ticket, deadline: deadline})
	}
	return ok
}

// start delivers the oldest delayed request of a host to the endpoint.
func (s *simulation) start(host int) bool {
	for _, r := range s.hosts[host].requests {
		if !r.started {
			r.started = true
			if s.now.Add(s.endpointClockError).Before(r.deadline) {
				s.running = append(s.running, r)
			}
			return true
		}
	}
	return false
}

// end reports the oldest started request of a host as finished. If lost, the host
// stops waiting for the oldest request instead, and the endpoint may execute it.
func (s *simulation) end(host int, lost bool) bool {
	h := s.hosts[host]
	index := slices.IndexFunc(h.requests, func(r *request) bool { return r.started || lost })
	if index < 0 {
		return false
	}
	r := h.requests[index]
	h.requests = slices.Delete(h.requests, index, index+1)
	if lost {
		if !r.started && s.now.Add(s.endpointClockError).Before(r.deadline) {
			s.running = append(s.running, r)
		}
		h.ledger.Hold(r.ticket)
		return true
	}
	s.running = slices.DeleteFunc(s.running, func(other *request) bool { return other == r })
	h.ledger.Return(r.ticket)
	return true
}

func (s *simulation) lend(owner, borrower int, sentAt time.Time) bool {
	loan, ok := s.hosts[owner].ledger.Lend(endpoint, s.hosts[borrower].name, 5*time.Second, s.clock(s.hosts[owner]))
	if ok {
		s.grants = append(s.grants, grant{loan: loan, sentAt: sentAt, requester: s.hosts[borrower].ledger})
	}
	return ok
}

// borrow delivers a grant to its requester. A grant may be delivered repeatedly.
func (s *simulation) borrow(number int) bool {
	for _, h := range s.hosts {
		if len(s.grants) > 0 {
			if g := s.grants[number%len(s.grants)]; g.requester == h.ledger {
				h.ledger.Borrow(g.loan, g.sentAt, s.clock(h))
			}
		}
	}
	return len(s.grants) > 0
}

// returnLoans returns the borrowed slots of a host. The owners receive the returns
// at once.
func (s *simulation) returnLoans(host int) {
	for _, loan := range s.hosts[host].ledger.Borrowed() {
		if s.hosts[host].ledger.ReturnLoan(loan.ID) {
			for _, h := range s.hosts {
				if h.name == loan.ID.Owner {
					h.ledger.Reclaim(loan.ID)
				}
			}
		}
	}
}

// publishReleases adds the releases of a host to those that may be delivered.
func (s *simulation) publishReleases(host int) bool {
	releases := s.hosts[host].ledger.Releases()
	s.releases = append(s.releases, releases...)
	return len(releases) > 0
}

func (s *simulation) deliverRelease(host, number int) bool {
	if len(s.releases) > 0 {
		s.hosts[host].ledger.RecordRelease(s.releases[number%len(s.releases)])
	}
	return len(s.releases) > 0
}

func (s *simulation) advance(d time.Duration) bool {
	s.now = s.now.Add(d)
	s.running = slices.DeleteFunc(s.running, func(r *request) bool { return !s.now.Add(s.endpointClockError).Before(r.deadline) })
	return true
}

// TestMain raises the number of random sessions. Command-line flags override it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.checks", "20000"), flag.Set("rapid.steps", "100")); err != nil {
		panic(err)
	}
	m.Run()
}

// Guards against more requests on an endpoint than it has slots. Hosts adopt
// revisions late or skip them, pause before they send, lose requests, restart, lend
// slots, and receive releases late, repeatedly or never.
func TestSlotsAreNeverOvercommitted(t *testing.T) {
	const hosts, revisions = 3, 5
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 2).Draw(t, "slots")
		masks := rapid.SliceOfN(rapid.IntRange(1, 1<<hosts-1), revisions, revisions).Draw(t, "hosts of each revision")
		s := newSimulation(slots, hosts, newAssignments(slots, hosts, revisions, func(r, i int) bool { return masks[r]>>i&1 == 1 }))
		clockError := rapid.SampledFrom([]time.Duration{-500 * time.Millisecond, 0, 500 * time.Millisecond})
		s.endpointClockError = clockError.Draw(t, "endpoint clock")
		for _, h := range s.hosts {
			h.clockError = clockError.Draw(t, "host clock")
		}
		hostIndex, number := rapid.IntRange(0, hosts-1), rapid.IntRange(0, 100)
		delay := rapid.SampledFrom([]time.Duration{250, 750, 1500, 4000, 9000})
		takeAndStart := func(t *rapid.T) {
			host := hostIndex.Draw(t, "host")
			s.take(host, delay.Draw(t, "timeout")*time.Millisecond)
			if rapid.Bool().Draw(t, "prompt") {
				s.start(host)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(s.running) > s.slots {
					t.Fatalf("%d requests on %d slots", len(s.running), s.slots)
				}
			},
			"adopt": func(t *rapid.T) {
				s.adopt(hostIndex.Draw(t, "host"), rapid.IntRange(2, revisions).Draw(t, "revision"), number.Draw(t, "learn") > 20)
			},
			"take": takeAndStart, "take again": takeAndStart,
			"start": func(t *rapid.T) { s.start(hostIndex.Draw(t, "host")) },
			"end":   func(t *rapid.T) { s.end(hostIndex.Draw(t, "host"), rapid.Bool().Draw(t, "lost")) },
			"restart": func(t *rapid.T) {
				if number.Draw(t, "rare") > 80 {
					s.restart(hostIndex.Draw(t, "host"))
				}
			},
			"lend": func(t *rapid.T) {
				borrower := hostIndex.Draw(t, "borrower")
				sentAt := s.clock(s.hosts[borrower]).Add(-delay.Draw(t, "loan request in transit") * time.Millisecond)
				s.lend(hostIndex.Draw(t, "owner"), borrower, sentAt)
				s.borrow(len(s.grants) + hosts - 1)
			},
			"borrow":   func(t *rapid.T) { s.borrow(number.Draw(t, "grant")) },
			"giveBack": func(t *rapid.T) { s.returnLoans(hostIndex.Draw(t, "host")) },
			"state":    func(t *rapid.T) { s.publishReleases(hostIndex.Draw(t, "host")) },
			"hear":     func(t *rapid.T) { s.deliverRelease(hostIndex.Draw(t, "host"), number.Draw(t, "statement")) },
			"pass":     func(t *rapid.T) { s.advance(delay.Draw(t, "time") * time.Millisecond) },
		})
	})
}

// Guards against an order of a loan, a pause and a change of owner that puts two
// requests on one slot. It tries every order of the steps below. A step without an
// effect ends an order.
func TestTwoHostsNeverOvercommitSlotInAnyOrder(t *testing.T) {
	const first, second = 0, 1
	steps := []func(*simulation) bool{
		func(s *simulation) bool { return s.take(first, 2*time.Second) },
		func(s *simulation) bool { return s.start(first) },
		func(s *simulation) bool { return s.end(first, false) },
		func(s *simulation) bool { return s.lend(first, second, s.clock(s.hosts[second])) && s.borrow(0) },
		func(s *simulation) bool { return s.take(second, 3*time.Second) },
		func(s *simulation) bool { return s.start(second) },
		func(s *simulation) bool { return s.adopt(first, 2, true) },
		func(s *simulation) bool { return s.adopt(second, 2, true) },
		func(s *simulation) bool { return s.publishReleases(first) && s.deliverRelease(second, 0) },
		func(s *simulation) bool { return s.take(second, 3*time.Second) },
		func(s *simulation) bool { return s.start(second) },
		func(s *simulation) bool { return s.advance(4 * time.Second) },
	}
	revisions := newAssignments(1, 2, 2, func(r, i int) bool { return r == i })
	states, busy := 0, 0
	var explore func(path []int)
	explore = func(path []int) {
		s, hasEffect := newSimulation(1, 2, revisions), true
		for _, step := range path {
			hasEffect = steps[step](s)
			assert.Assert(t, len(s.running) <= s.slots, "order %v", path)
		}
		if !hasEffect {
			return
		}
		states++
		busy += len(s.running)
		for next := range steps {
			if !slices.Contains(path, next) {
				explore(append(slices.Clone(path), next))
			}
		}
	}
	explore(nil)
	assert.Assert(t, busy > 0)
	t.Logf("%d states, the slot in use in %d of them", states, busy)
}
