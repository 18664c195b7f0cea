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

// wire carries loans between two dispatchers in one process. It loses or delays
// grants if it is told so.
type wire struct {
	from        model.HostName
	far         *Dispatcher
	losesGrants bool
	delay       time.Duration
	granted     []time.Time
}

func (w *wire) RequestLoan(_ []model.HostName, request peers.LoanRequest) bool {
	return w.far.events.TryPut(place.LoanAsked{
		Number: request.Number, Endpoint: request.Endpoint, Borrower: w.from, Duration: request.Duration,
	})
}

func (w *wire) GrantLoan(grant peers.LoanGrant) bool {
	w.granted = append(w.granted, time.Now())
	if !w.losesGrants {
		time.AfterFunc(w.delay, func() { w.far.events.TryPut(place.LoanGranted(grant)) })
	}
	return true
}

func (w *wire) ReturnLoan(loan share.LoanID) bool {
	return w.far.events.TryPut(place.LoanReturned{Loan: loan})
}

func (w *wire) AnnounceReleases([]share.Release) {}

// loanDeployment has one endpoint, with a slot for each of two hosts.
func loanDeployment(t *testing.T) *model.Deployment {
	deployment, err := model.NewDeployment(model.DeploymentParts{
		Revision: 1, Zones: []model.Zone{model.NewZone("z", "r")},
		Services:  []model.Service{model.NewService(model.ServiceParts{Name: "view", Class: model.Read, QueueLimit: 9, ShiftCapPercent: 9})},
		Hosts:     []model.Host{model.NewHost(model.HostParts{Name: "here", Zone: "z"}), model.NewHost(model.HostParts{Name: "there", Zone: "z"})},
		Endpoints: []model.Endpoint{model.NewEndpoint(model.EndpointParts{Name: "e", Service: "view", Zone: "z", Address: "127.0.0.1:1", Slots: 2, Connections: 9})},
	})
	assert.NilError(t, err)
	return deployment
}

// open hands a request to a host and returns its decisions.
func open(t *testing.T, host *Dispatcher, id place.RequestID, timeout time.Duration) <-chan place.Decision {
	decisions, err := host.Open(t.Context(), place.Request{
		ID: id, Service: "view", Customer: "a", Home: "r", Deadline: time.Now().Add(timeout),
	})
	assert.NilError(t, err)
	return decisions
}

// Guards against a loaded host that cannot use the idle slot of another one,
// and against a lost grant that keeps the slot from its owner for good or lets
// the owner use it while the borrower still may. A borrower that counted from
// the arrival of a late grant would use the slot after the owner has it back.
func TestLoanBetweenTwoDispatchers(t *testing.T) {
	for _, test := range []struct {
		name        string
		losesGrants bool
		delay       time.Duration
	}{{"grant arrives", false, 0}, {"grant is late", false, 4 * time.Second}, {"grant is lost", true, 0}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				here := NewDispatcher(slog.New(slog.DiscardHandler), place.New("here"))
				there := NewDispatcher(slog.New(slog.DiscardHandler), place.New("there"))
				lender := &wire{from: "there", far: here, losesGrants: test.losesGrants, delay: test.delay}
				here.carrier, there.carrier = &wire{from: "here", far: there}, lender
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for _, host := range []*Dispatcher{here, there} {
					go func() { _ = host.loop(ctx) }()
					assert.NilError(t, host.Report(ctx, place.Adopted{Deployment: loanDeployment(t), Revision: 1}))
				}
				first := open(t, here, "first", 5*time.Second)
				assert.Equal(t, (<-first).(place.Send).Endpoint, model.EndpointName("e"))
				second := open(t, here, "second", 5*time.Second)
				_, waits := (<-second).(place.Wait)
				assert.Assert(t, waits)
				synctest.Wait()
				assert.Equal(t, len(lender.granted), 1)
				own := open(t, there, "own", time.Minute)
				_, waits = (<-own).(place.Wait)
				assert.Assert(t, waits, "the owner uses a slot that it has lent")
				if !test.losesGrants {
					send := (<-second).(place.Send)
					assert.Equal(t, time.Since(lender.granted[0]), test.delay)
					assert.NilError(t, here.Report(ctx, place.Finished{Attempt: send.Attempt, Result: place.Succeeded}))
					// The loan ends 10 s after the request for it, and the upstream may
					// work for 1 s after the deadline that it gets.
					third := open(t, here, "third", 9*time.Second-test.delay+time.Millisecond)
					_, waits = (<-third).(place.Wait)
					assert.Assert(t, waits, "a request outlasts the loan")
					return
				}
				_, sent := (<-own).(place.Send)
				assert.Assert(t, sent)
				// 10 s is the duration that placement asks for; 100 ms is the margin.
				assert.Equal(t, time.Since(lender.granted[0]), 10*time.Second+100*time.Millisecond)
			})
		})
	}
}
