package entry

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/place"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

// directSender passes messages about loans to another dispatcher in the same
// process. It can drop or delay grants.
type directSender struct {
	from        model.HostName
	remote      *Dispatcher
	dropsGrants bool
	delay       time.Duration
	granted     []time.Time
}

func (s *directSender) RequestLoan(_ []model.HostName, request peers.LoanRequest) bool {
	return s.remote.events.TryPut(place.LoanAsked{
		Number: request.Number, Endpoint: request.Endpoint, Borrower: s.from, Duration: request.Duration,
	})
}

func (s *directSender) GrantLoan(grant peers.LoanGrant) bool {
	s.granted = append(s.granted, time.Now())
	if !s.dropsGrants {
		time.AfterFunc(s.delay, func() { s.remote.events.TryPut(place.LoanGranted(grant)) })
	}
	return true
}

func (s *directSender) ReturnLoan(loan share.LoanID) bool {
	return s.remote.events.TryPut(place.LoanReturned{Loan: loan})
}

func (s *directSender) AnnounceReleases([]share.Release) {}

// loanDeployment returns a deployment with one endpoint and two hosts that own
// one of its slots each.
func loanDeployment(t *testing.T) *model.Deployment {
	deployment, err := model.NewDeployment(model.DeploymentSpec{
		Revision: 1, Zones: []model.Zone{model.NewZone("z", "r")},
		Services:  []model.Service{model.NewService(model.ServiceSpec{Name: "view", Class: model.Read, QueueLimit: 9, ShiftCapPercent: 9})},
		Hosts:     []model.Host{model.NewHost(model.HostSpec{Name: "here", Zone: "z"}), model.NewHost(model.HostSpec{Name: "there", Zone: "z"})},
		Endpoints: []model.Endpoint{model.NewEndpoint(model.EndpointSpec{Name: "e", Service: "view", Zone: "z", Address: "127.0.0.1:1", Slots: 2, Connections: 9})},
	})
	assert.NilError(t, err)
	return deployment
}

// open opens a request at a dispatcher and returns its decisions.
func open(t *testing.T, host *Dispatcher, id place.RequestID, timeout time.Duration) <-chan place.Decision {
	decisions, err := host.Open(t.Context(), place.Request{
		ID: id, Service: "view", Customer: "a", Home: "r", Deadline: time.Now().Add(timeout),
	})
	assert.NilError(t, err)
	return decisions
}

// Guards against a loaded host that cannot use another host's idle slot. Also
// guards against a slot that both hosts use, or that its owner never gets back
// after a lost grant. A borrower that measured the loan from the arrival of a
// late grant would use the slot after its return to the owner.
func TestLentSlotIsUsedByOneHostAtATime(t *testing.T) {
	for _, test := range []struct {
		name        string
		dropsGrants bool
		delay       time.Duration
	}{{"grant arrives", false, 0}, {"grant is late", false, 4 * time.Second}, {"grant is lost", true, 0}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				borrower := NewDispatcher(slog.New(slog.DiscardHandler), place.New("here"))
				owner := NewDispatcher(slog.New(slog.DiscardHandler), place.New("there"))
				ownerSender := &directSender{from: "there", remote: borrower, dropsGrants: test.dropsGrants, delay: test.delay}
				borrower.peers, owner.peers = &directSender{from: "here", remote: owner}, ownerSender
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for _, host := range []*Dispatcher{borrower, owner} {
					go func() { _ = host.loop(ctx) }()
					assert.NilError(t, host.Report(ctx, place.Adopted{Deployment: loanDeployment(t), Revision: 1}))
				}
				first := open(t, borrower, "first", 5*time.Second)
				assert.Equal(t, (<-first).(place.Send).Endpoint, model.EndpointName("e"))
				second := open(t, borrower, "second", 5*time.Second)
				_, waits := (<-second).(place.Wait)
				assert.Assert(t, waits)
				synctest.Wait()
				assert.Equal(t, len(ownerSender.granted), 1)
				own := open(t, owner, "own", time.Minute)
				_, waits = (<-own).(place.Wait)
				assert.Assert(t, waits, "the owner uses the slot that it has lent")
				if !test.dropsGrants {
					send := (<-second).(place.Send)
					assert.Equal(t, time.Since(ownerSender.granted[0]), test.delay)
					assert.NilError(t, borrower.Report(ctx, place.Finished{Attempt: send.Attempt, Result: place.Succeeded}))
					// The loan ends 10 s after it was requested, and the upstream may work
					// until 1 s after the deadline of a request.
					third := open(t, borrower, "third", 9*time.Second-test.delay+time.Millisecond)
					_, waits = (<-third).(place.Wait)
					assert.Assert(t, waits, "a request outlasts the loan")
					return
				}
				_, sent := (<-own).(place.Send)
				assert.Assert(t, sent)
				// Placement requests loans of 10 s; 100 ms is the margin.
				assert.Equal(t, time.Since(ownerSender.granted[0]), 10*time.Second+100*time.Millisecond)
			})
		})
	}
}
