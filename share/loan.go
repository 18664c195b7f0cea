package share

import (
	"slices"
	"time"

	"filberthold/model"
)

// LoanID identifies a loan.
type LoanID struct {
	Owner  model.HostName `cbor:"owner"`
	Number uint64         `cbor:"number"`
}

// Loan is a slot that its owner lends to a peer for a time. Each side computes the
// deadline of the loan on its own monotonic clock.
type Loan struct {
	ID       LoanID         `cbor:"id"`
	Slot     Slot           `cbor:"slot"`
	Borrower model.HostName `cbor:"borrower"`
	Duration time.Duration  `cbor:"duration"`
}

// Lend lends a free slot of an endpoint. For the lender the loan starts at
// receivedAt, a time after it received the loan request, and lasts loanMargin
// longer, so the loan expires at the borrower first.
func (l *Ledger) Lend(endpoint model.EndpointName, borrower model.HostName, duration time.Duration, receivedAt time.Time) (Loan, bool) {
	l.Expire(receivedAt)
	for _, state := range l.byEndpoint[endpoint] {
		if !l.isFree(state) {
			continue
		}
		// The time makes the numbers differ from those of an earlier incarnation
		// of this host, whose loans may still be returned.
		l.lastLoan = max(l.lastLoan+1, uint64(receivedAt.UnixNano()))
		state.loan = &Loan{
			ID: LoanID{Owner: l.host, Number: l.lastLoan}, Slot: state.slot, Borrower: borrower, Duration: duration,
		}
		state.loanDeadline = receivedAt.Add(duration + loanMargin)
		l.lent = append(l.lent, state)
		return *state.loan, true
	}
	return Loan{}, false
}

// Borrow records a loan that a peer granted to this host. For the borrower the
// loan starts at sentAt, a time before it sent the loan request. Borrow reports
// false and ignores a loan that has expired, that is already recorded or that is
// for another host.
func (l *Ledger) Borrow(loan Loan, sentAt, now time.Time) bool {
	deadline := sentAt.Add(loan.Duration)
	if l.borrowedSlot(loan.ID) != nil || loan.Borrower != l.host || !now.Before(deadline) {
		return false
	}
	l.borrowed = append(l.borrowed, &slotState{slot: loan.Slot, loan: &loan, loanDeadline: deadline, lastUsedAt: now})
	return true
}

// ReturnLoan ends a loan of a borrowed slot. It reports false if the loan is
// unknown, already returned, or has a request on its slot.
func (l *Ledger) ReturnLoan(id LoanID) bool {
	state := l.borrowedSlot(id)
	if state == nil || state.returned || state.ticket != 0 {
		return false
	}
	state.returned = true
	return true
}

// borrowedSlot returns the state of a borrowed slot, or nil if there is none.
func (l *Ledger) borrowedSlot(id LoanID) *slotState {
	for _, state := range l.borrowed {
		if state.loan.ID == id {
			return state
		}
	}
	return nil
}

// Reclaim ends a loan that the borrower has returned to this host.
func (l *Ledger) Reclaim(id LoanID) {
	l.lent = slices.DeleteFunc(l.lent, func(state *slotState) bool {
		if state.loan.ID != id {
			return false
		}
		state.loan = nil
		return true
	})
}

// Borrowed returns the loans of borrowed slots that have not been returned.
func (l *Ledger) Borrowed() []Loan {
	var loans []Loan
	for _, state := range l.borrowed {
		if !state.returned {
			loans = append(loans, *state.loan)
		}
	}
	return loans
}

// IdleLoans returns the loans of borrowed slots that have not been used after the
// time since.
func (l *Ledger) IdleLoans(since time.Time) []Loan {
	var loans []Loan
	for _, state := range l.borrowed {
		if !state.returned && state.ticket == 0 && !state.lastUsedAt.After(since) {
			loans = append(loans, *state.loan)
		}
	}
	return loans
}

// EarliestLastUse returns the earliest time of last use among the borrowed slots
// that are idle, or the zero time.
func (l *Ledger) EarliestLastUse() time.Time {
	var earliest time.Time
	for _, state := range l.borrowed {
		if !state.returned && state.ticket == 0 {
			earliest = earlier(earliest, state.lastUsedAt)
		}
	}
	return earliest
}

// expireLoans removes the loans that have expired, except borrowed slots with a
// request on them, and updates the time of last use.
func (l *Ledger) expireLoans(now time.Time) {
	for _, state := range l.borrowed {
		if state.ticket != 0 {
			state.lastUsedAt = now
		}
	}
	l.lent = slices.DeleteFunc(l.lent, func(state *slotState) bool {
		if now.Before(state.loanDeadline) {
			return false
		}
		state.loan = nil
		return true
	})
	l.borrowed = slices.DeleteFunc(l.borrowed, func(state *slotState) bool {
		return state.ticket == 0 && !now.Before(state.loanDeadline)
	})
}

func (l *Ledger) nextLoanExpiry() time.Time {
	var next time.Time
	for _, states := range [][]*slotState{l.lent, l.borrowed} {
		for _, state := range states {
			next = earlier(next, state.loanDeadline)
		}
	}
	return next
}
