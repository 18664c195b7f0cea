package peers

import (
	"testing"
	"time"

	"filberthold/model"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

func newLoan(owner, borrower model.HostName) share.Loan {
	return share.Loan{
		ID: share.LoanID{Owner: owner, Number: 1}, Slot: share.Slot{Endpoint: "e"}, Borrower: borrower, Duration: time.Second,
	}
}

// Guards against a slot that two hosts use, or that is returned by a host that
// does not have it. Only the peer that received the request can grant it, once,
// and only the borrower can return the loan.
func TestLoanFramesOfOtherHostsAreRejected(t *testing.T) {
	tracker, now := newLoanTracker("self"), time.Unix(1000, 0)
	assert.Assert(t, tracker.addRequest("owner", LoanRequest{Number: 7, Endpoint: "e", Duration: time.Second}, now))
	grant := LoanGrant{Number: 7, Loan: newLoan("owner", "self")}
	for _, test := range []struct {
		name     string
		from     model.HostName
		grant    LoanGrant
		accepted bool
	}{
		{"peer that received no request", "other", LoanGrant{Number: 7, Loan: newLoan("other", "self")}, false},
		{"slot of another owner", "owner", LoanGrant{Number: 7, Loan: newLoan("other", "self")}, false},
		{"for another borrower", "owner", LoanGrant{Number: 7, Loan: newLoan("owner", "other")}, false},
		{"unknown request number", "owner", LoanGrant{Number: 8, Loan: grant.Loan}, false},
		{"link whose host is unknown", "", grant, false},
		{"answer", "owner", grant, true},
		{"repeated", "owner", grant, false},
	} {
		assert.Equal(t, tracker.acceptGrant(test.from, test.grant), test.accepted, test.name)
	}
	lent := newLoan("self", "borrower")
	assert.Assert(t, tracker.addGrant(lent, now))
	assert.Assert(t, !tracker.acceptReturn("other", lent.ID))
	assert.Assert(t, tracker.acceptReturn("borrower", lent.ID))
	assert.Assert(t, !tracker.acceptReturn("borrower", lent.ID))
}

// Guards against releases that hosts forward for ever, and against a release
// that is dropped because a later one arrived before it.
func TestRepeatedReleasesAreRejected(t *testing.T) {
	tracker := newLoanTracker("self")
	for number := uint64(maxSeenNumbers + 1); number > 1; number-- {
		assert.Assert(t, tracker.acceptReleases(Releases{Host: "a", Number: number}))
		assert.Assert(t, !tracker.acceptReleases(Releases{Host: "a", Number: number}))
	}
	assert.Assert(t, !tracker.acceptReleases(Releases{Host: "a", Number: 1}), "older than all kept numbers")
	assert.Assert(t, !tracker.acceptReleases(Releases{Host: "self", Number: 1}), "own release")
	assert.Equal(t, len(tracker.seen["a"]), maxSeenNumbers)
}
