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

// world is a set of hosts and the true state of one endpoint. Each host and
// the endpoint have a constant clock error within the allowed skew.
type world struct {
	slots     int
	revisions []*share.Assignment
	now       time.Time
	endError  time.Duration
	hosts     []*simulated
	// running counts the requests that the endpoint executes; a request ends
	// when it is finished, or at its deadline by the endpoint's clock.
	running []*request
	// statements holds every release ever made, to be delivered at any time.
	statements []share.Release
	grants     []grant
}

type simulated struct {
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

type grant struct {
	loan   share.Loan
	sentAt time.Time
	// asker is the process that asked. A process does not know the numbers of
	// requests that an earlier one made, and ignores their grants.
	asker *share.Ledger
}

const endpoint = model.EndpointName("view-0000")

// assign makes revisions of one endpoint in which present says which hosts
// take part.
func assign(slots, hosts, revisions int, present func(revision, host int) bool) []*share.Assignment {
	var assignments []*share.Assignment
	for r := range revisions {
		deployment := deploy(uint64(r+1), 1, 1, slots, hosts, func(i int) bool { return !present(r, i) })
		assignments = append(assignments, share.Assign(deployment))
	}
	return assignments
}

func newWorld(slots, hosts int, revisions []*share.Assignment) *world {
	w := &world{slots: slots, now: time.Unix(1_000_000, 0), revisions: revisions}
	for i := range hosts {
		name := model.HostName(fmt.Sprintf("host-%03d", i))
		w.hosts = append(w.hosts, &simulated{name: name, ledger: share.NewLedger(name)})
		w.adopt(i, 1, true)
	}
	return w
}

// adopt makes a host adopt a revision; it may learn those that it skips.
func (w *world) adopt(host, revision int, learn bool) bool {
	h := w.hosts[host]
	for r := h.revision + 1; r < revision && learn; r++ {
		h.ledger.RecordOwners(w.revisions[r-1])
	}
	h.ledger.Adopt(w.revisions[revision-1])
	h.revision = max(h.revision, revision)
	return true
}

// restart replaces the process of a host, which forgets everything. Its
// requests and loans last for 10 s at most.
func (w *world) restart(host int) {
	h := w.hosts[host]
	revision := h.revision
	h.ledger, h.requests, h.revision = share.NewLedger(h.name), nil, 0
	h.ledger.BlockUntil(w.clock(h).Add(10 * time.Second))
	w.adopt(host, revision, true)
}

func (w *world) clock(h *simulated) time.Time { return w.now.Add(h.clockError) }

// take makes a host decide to send; the endpoint gets the request later.
func (w *world) take(host int, timeout time.Duration) bool {
	h := w.hosts[host]
	deadline := w.clock(h).Add(timeout)
	ticket, ok := h.ledger.Take(endpoint, deadline, w.clock(h))
	if ok {
		h.requests = append(h.requests, &request{ticket: ticket, deadline: deadline})
	}
	return ok
}

// start delivers the oldest delayed request of a host to the endpoint.
func (w *world) start(host int) bool {
	for _, r := range w.hosts[host].requests {
		if !r.started {
			r.started = true
			if w.now.Add(w.endError).Before(r.deadline) {
				w.running = append(w.running, r)
			}
			return true
		}
	}
	return false
}

// end reports the oldest started request of a host as finished or, if lost, as
// given up while the endpoint goes on with it.
func (w *world) end(host int, lost bool) bool {
	h := w.hosts[host]
	at := slices.IndexFunc(h.requests, func(r *request) bool { return r.started || lost })
	if at < 0 {
		return false
	}
	r := h.requests[at]
	h.requests = slices.Delete(h.requests, at, at+1)
	if lost {
		if !r.started && w.now.Add(w.endError).Before(r.deadline) {
			w.running = append(w.running, r)
		}
		h.ledger.Hold(r.ticket)
		return true
	}
	w.running = slices.DeleteFunc(w.running, func(other *request) bool { return other == r })
	h.ledger.Return(r.ticket)
	return true
}

func (w *world) lend(owner, borrower int, sentAt time.Time) bool {
	loan, ok := w.hosts[owner].ledger.Lend(endpoint, w.hosts[borrower].name, 5*time.Second, w.clock(w.hosts[owner]))
	if ok {
		w.grants = append(w.grants, grant{loan: loan, sentAt: sentAt, asker: w.hosts[borrower].ledger})
	}
	return ok
}

// borrow delivers a grant, perhaps again, to all hosts.
func (w *world) borrow(number int) bool {
	for _, h := range w.hosts {
		if len(w.grants) > 0 {
			if g := w.grants[number%len(w.grants)]; g.asker == h.ledger {
				h.ledger.Borrow(g.loan, g.sentAt, w.clock(h))
			}
		}
	}
	return len(w.grants) > 0
}

// giveBack ends the loans of a host; the owner hears of it at once.
func (w *world) giveBack(host int) {
	for _, loan := range w.hosts[host].ledger.Borrowed() {
		if w.hosts[host].ledger.ReturnLoan(loan.ID) {
			for _, h := range w.hosts {
				if h.name == loan.ID.Owner {
					h.ledger.Reclaim(loan.ID)
				}
			}
		}
	}
}

func (w *world) state(host int) bool {
	releases := w.hosts[host].ledger.Releases()
	w.statements = append(w.statements, releases...)
	return len(releases) > 0
}

func (w *world) hear(host, statement int) bool {
	if len(w.statements) > 0 {
		w.hosts[host].ledger.RecordRelease(w.statements[statement%len(w.statements)])
	}
	return len(w.statements) > 0
}

func (w *world) pass(d time.Duration) bool {
	w.now = w.now.Add(d)
	w.running = slices.DeleteFunc(w.running, func(r *request) bool { return !w.now.Add(w.endError).Before(r.deadline) })
	return true
}

// TestMain raises the number of random sessions; a flag still overrides it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.checks", "20000"), flag.Set("rapid.steps", "100")); err != nil {
		panic(err)
	}
	m.Run()
}

// Guards against more requests on an endpoint than it has slots, with hosts
// that lag behind, skip revisions, pause between decision and sending, lose
// requests, lend, and hear releases late, repeatedly or never.
func TestSlotsAreNeverOvercommitted(t *testing.T) {
	const hosts, revisions = 3, 5
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 2).Draw(t, "slots")
		masks := rapid.SliceOfN(rapid.IntRange(1, 1<<hosts-1), revisions, revisions).Draw(t, "hosts of each revision")
		w := newWorld(slots, hosts, assign(slots, hosts, revisions, func(r, i int) bool { return masks[r]>>i&1 == 1 }))
		clockError := rapid.SampledFrom([]time.Duration{-500 * time.Millisecond, 0, 500 * time.Millisecond})
		w.endError = clockError.Draw(t, "endpoint clock")
		for _, h := range w.hosts {
			h.clockError = clockError.Draw(t, "host clock")
		}
		one, any := rapid.IntRange(0, hosts-1), rapid.IntRange(0, 100)
		after := rapid.SampledFrom([]time.Duration{250, 750, 1500, 4000, 9000})
		take := func(t *rapid.T) {
			host := one.Draw(t, "host")
			w.take(host, after.Draw(t, "timeout")*time.Millisecond)
			if rapid.Bool().Draw(t, "prompt") {
				w.start(host)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(w.running) > w.slots {
					t.Fatalf("%d requests on %d slots", len(w.running), w.slots)
				}
			},
			"adopt": func(t *rapid.T) {
				w.adopt(one.Draw(t, "host"), rapid.IntRange(2, revisions).Draw(t, "revision"), any.Draw(t, "learn") > 20)
			},
			"take": take, "take again": take,
			"start": func(t *rapid.T) { w.start(one.Draw(t, "host")) },
			"end":   func(t *rapid.T) { w.end(one.Draw(t, "host"), rapid.Bool().Draw(t, "lost")) },
			"restart": func(t *rapid.T) {
				if any.Draw(t, "rare") > 80 {
					w.restart(one.Draw(t, "host"))
				}
			},
			"lend": func(t *rapid.T) {
				borrower := one.Draw(t, "borrower")
				sentAt := w.clock(w.hosts[borrower]).Add(-after.Draw(t, "ask under way") * time.Millisecond)
				w.lend(one.Draw(t, "owner"), borrower, sentAt)
				w.borrow(len(w.grants) + hosts - 1)
			},
			"borrow":   func(t *rapid.T) { w.borrow(any.Draw(t, "grant")) },
			"giveBack": func(t *rapid.T) { w.giveBack(one.Draw(t, "host")) },
			"state":    func(t *rapid.T) { w.state(one.Draw(t, "host")) },
			"hear":     func(t *rapid.T) { w.hear(one.Draw(t, "host"), any.Draw(t, "statement")) },
			"pass":     func(t *rapid.T) { w.pass(after.Draw(t, "time") * time.Millisecond) },
		})
	})
}

// Guards against an order of a loan, a pause and a change of ownership that
// puts two requests on one slot. It tries every order of the steps below; a
// step that does nothing ends an order.
func TestTwoHostsOneSlotEveryOrder(t *testing.T) {
	const first, second = 0, 1
	steps := []func(*world) bool{
		func(w *world) bool { return w.take(first, 2*time.Second) },
		func(w *world) bool { return w.start(first) },
		func(w *world) bool { return w.end(first, false) },
		func(w *world) bool { return w.lend(first, second, w.clock(w.hosts[second])) && w.borrow(0) },
		func(w *world) bool { return w.take(second, 3*time.Second) },
		func(w *world) bool { return w.start(second) },
		func(w *world) bool { return w.adopt(first, 2, true) },
		func(w *world) bool { return w.adopt(second, 2, true) },
		func(w *world) bool { return w.state(first) && w.hear(second, 0) },
		func(w *world) bool { return w.take(second, 3*time.Second) },
		func(w *world) bool { return w.start(second) },
		func(w *world) bool { return w.pass(4 * time.Second) },
	}
	revisions := assign(1, 2, 2, func(r, i int) bool { return r == i })
	states, busy := 0, 0
	var explore func(path []int)
	explore = func(path []int) {
		w, useful := newWorld(1, 2, revisions), true
		for _, step := range path {
			useful = steps[step](w)
			assert.Assert(t, len(w.running) <= w.slots, "order %v", path)
		}
		if !useful {
			return
		}
		states++
		busy += len(w.running)
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
