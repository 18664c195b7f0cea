package peers

import (
	"testing"
	"time"

	"filberthold/model"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

func loanOf(owner, borrower model.HostName) share.Loan {
	return share.Loan{
		ID: share.LoanID{Owner: owner, Number: 1}, Slot: share.Slot{Endpoint: "e"}, Borrower: borrower, Duration: time.Second,
	}
}

// Guards against a slot that is used twice or given back by a host that does
// not have it: only the peer that was asked can grant, once, and only the
// borrower can give back.
func TestLoanBookAcceptsOnlyThePartiesOfALoan(t *testing.T) {
	book, now := newLoanBook("self"), time.Unix(1000, 0)
	assert.Assert(t, book.ask("owner", LoanRequest{Number: 7, Endpoint: "e", Duration: time.Second}, now))
	grant := LoanGrant{Number: 7, Loan: loanOf("owner", "self")}
	for _, test := range []struct {
		name     string
		from     model.HostName
		grant    LoanGrant
		accepted bool
	}{
		{"peer that was not asked", "other", LoanGrant{Number: 7, Loan: loanOf("other", "self")}, false},
		{"slot of another owner", "owner", LoanGrant{Number: 7, Loan: loanOf("other", "self")}, false},
		{"for another borrower", "owner", LoanGrant{Number: 7, Loan: loanOf("owner", "other")}, false},
		{"number not asked", "owner", LoanGrant{Number: 8, Loan: grant.Loan}, false},
		{"link without a host", "", grant, false},
		{"answer", "owner", grant, true},
		{"repeated", "owner", grant, false},
	} {
		assert.Equal(t, book.receiveGrant(test.from, test.grant), test.accepted, test.name)
	}
	lent := loanOf("self", "borrower")
	assert.Assert(t, book.grant(lent, now))
	assert.Assert(t, !book.receiveReturn("other", lent.ID))
	assert.Assert(t, book.receiveReturn("borrower", lent.ID))
	assert.Assert(t, !book.receiveReturn("borrower", lent.ID))
}

// Guards against releases that circulate for ever, and against one that is
// lost because a later one has overtaken it.
func TestReleasesArePassedOnOnce(t *testing.T) {
	book := newLoanBook("self")
	for number := uint64(seenFrames + 1); number > 1; number-- {
		assert.Assert(t, book.receiveReleases(Releases{Host: "a", Number: number}))
		assert.Assert(t, !book.receiveReleases(Releases{Host: "a", Number: number}))
	}
	assert.Assert(t, !book.receiveReleases(Releases{Host: "a", Number: 1}), "older than all remembered")
	assert.Assert(t, !book.receiveReleases(Releases{Host: "self", Number: 1}), "own release")
	assert.Equal(t, len(book.seen["a"]), seenFrames)
}
