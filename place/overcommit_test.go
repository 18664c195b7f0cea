package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/place"

	"pgregory.net/rapid"
)

// network delivers loans and releases between two cores late, repeatedly or never,
// and tracks the requests that the endpoints execute.
type network struct {
	t     *rapid.T
	now   time.Time
	names []model.HostName
	cores []*place.Core
	// messages deliver one event each. They stay in the list, so a message may be
	// delivered repeatedly.
	messages []func()
	running  []runningAttempt
}

// runningAttempt is a request that an endpoint executes for a host.
type runningAttempt struct {
	host int
	send place.Send
}

// enqueue adds an event for a host to the messages that may be delivered.
func (n *network) enqueue(to model.HostName, event place.Event) {
	n.messages = append(n.messages, func() { n.apply(slices.Index(n.names, to), event) })
}

func (n *network) apply(host int, event place.Event) {
	for _, decision := range n.cores[host].Apply(event, n.now) {
		switch decision := decision.(type) {
		case place.Send:
			if slices.ContainsFunc(n.running, func(r runningAttempt) bool { return r.send.Endpoint == decision.Endpoint }) {
				n.t.Fatalf("two requests on the slot of %s", decision.Endpoint)
			}
			n.running = append(n.running, runningAttempt{host, decision})
		case place.AskLoan:
			n.enqueue(decision.Owners[0], place.LoanAsked{
				Number: decision.Number, Endpoint: decision.Endpoint, Borrower: n.names[host], Duration: decision.Duration,
			})
		case place.GrantLoan:
			n.enqueue(decision.Loan.Borrower, place.LoanGranted(decision))
		case place.ReturnLoan:
			n.enqueue(decision.Loan.Owner, place.LoanReturned(decision))
		case place.Announce:
			for _, release := range decision.Releases {
				n.enqueue(n.names[1-host], place.ReleaseHeard{Release: release})
			}
		}
	}
}

// Guards against two hosts that together send more requests to an endpoint than it
// has slots, while revisions, loans and releases are in transit between them.
func TestTwoHostsNeverOvercommit(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	revisions := []*model.Deployment{
		deploy(t, 1, start, "here", "there"), deploy(t, 2, start, "here"),
		deploy(t, 3, start, "here", "there"), deploy(t, 4, start, "there"),
	}
	rapid.Check(t, func(t *rapid.T) {
		n := &network{t: t, now: start, names: []model.HostName{"here", "there"}}
		for host, name := range n.names {
			n.cores = append(n.cores, place.New(name))
			n.apply(host, place.Adopted{Deployment: revisions[0]})
		}
		hostIndex, number, count := rapid.IntRange(0, 1), rapid.IntRange(0, 1000), 0
		arrive := func(t *rapid.T) {
			count++
			n.apply(hostIndex.Draw(t, "host"), place.Arrived{Request: place.Request{
				ID: place.RequestID(fmt.Sprint(count)), Service: "view", Customer: "a", Home: "north",
				BlockHash: uint64(number.Draw(t, "block")) << 54, Deadline: n.now.Add(2 * time.Second),
			}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive too": arrive,
			"report": func(t *rapid.T) {
				if len(n.running) > 0 {
					index := number.Draw(t, "attempt") % len(n.running)
					ended := n.running[index]
					n.running = slices.Delete(n.running, index, index+1)
					n.apply(ended.host, place.Finished{Attempt: ended.send.Attempt, Result: place.Succeeded})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(n.messages) > 0 {
					n.messages[len(n.messages)-1-min(len(n.messages)-1, number.Draw(t, "message")/200)]()
				}
			},
			"adopt": func(t *rapid.T) {
				revision := rapid.IntRange(1, len(revisions)-1).Draw(t, "revision")
				n.apply(hostIndex.Draw(t, "host"), place.Adopted{Deployment: revisions[revision], Skipped: revisions[:revision]})
			},
			"pass": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(number.Draw(t, "ms")) * time.Millisecond)
				n.running = slices.DeleteFunc(n.running, func(r runningAttempt) bool { return n.now.Sub(r.send.Deadline) >= time.Second })
				for host := range n.cores {
					n.apply(host, place.Ticked{})
				}
			},
		})
	})
}
