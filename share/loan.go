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

// Loan is a slot that its owner lets a peer use for a time. Both sides turn
// the time into a deadline on their own monotonic clock.
type Loan struct {
	ID       LoanID         `cbor:"id"`
	Slot     Slot           `cbor:"slot"`
	Borrower model.HostName `cbor:"borrower"`
	Duration time.Duration  `cbor:"duration"`
}

// Lend lends a free slot of an endpoint. The owner counts the time from
// receivedAt, after it received the request, and adds a margin, so that the
// borrower stops first.
func (l *Ledger) Lend(endpoint model.EndpointName, borrower model.HostName, duration time.Duration, receivedAt time.Time) (Loan, bool) {
	l.Expire(receivedAt)
	for _, place := range l.byEndpoint[endpoint] {
		if !l.isFree(place) {
			continue
		}
		// The time keeps the number from meeting one of an earlier process, whose
		// loans may still be given back.
		l.lastLoan = max(l.lastLoan+1, uint64(receivedAt.UnixNano()))
		place.loan = &Loan{
			ID: LoanID{Owner: l.host, Number: l.lastLoan}, Slot: place.slot, Borrower: borrower, Duration: duration,
		}
		place.loanDeadline = receivedAt.Add(duration + loanMargin)
		l.lent = append(l.lent, place)
		return *place.loan, true
	}
	return Loan{}, false
}

// Borrow records a loan that this host got. It counts the time from sentAt,
// before it sent its request. A loan that has already ended is ignored.
func (l *Ledger) Borrow(loan Loan, sentAt, now time.Time) bool {
	deadline := sentAt.Add(loan.Duration)
	if l.borrowedPlace(loan.ID) != nil || loan.Borrower != l.host || !now.Before(deadline) {
		return false
	}
	l.borrowed = append(l.borrowed, &place{slot: loan.Slot, loan: &loan, loanDeadline: deadline, busyAt: now})
	return true
}

// ReturnLoan ends a loan that this host got, and reports whether it could: a
// slot with a request on it is not given back.
func (l *Ledger) ReturnLoan(id LoanID) bool {
	place := l.borrowedPlace(id)
	if place == nil || place.returned || place.ticket != 0 {
		return false
	}
	place.returned = true
	return true
}

func (l *Ledger) borrowedPlace(id LoanID) *place {
	for _, place := range l.borrowed {
		if place.loan.ID == id {
			return place
		}
	}
	return nil
}

// Reclaim ends a loan of this host that the borrower has given back.
func (l *Ledger) Reclaim(id LoanID) {
	l.lent = slices.DeleteFunc(l.lent, func(place *place) bool {
		if place.loan.ID != id {
			return false
		}
		place.loan = nil
		return true
	})
}

// Borrowed returns the loans that this host has got and that have not ended.
func (l *Ledger) Borrowed() []Loan {
	var loans []Loan
	for _, place := range l.borrowed {
		if !place.returned {
			loans = append(loans, *place.loan)
		}
	}
	return loans
}

// IdleLoans returns the loans that this host has got and has not used since a
// time.
func (l *Ledger) IdleLoans(since time.Time) []Loan {
	var loans []Loan
	for _, place := range l.borrowed {
		if !place.returned && place.ticket == 0 && !place.busyAt.After(since) {
			loans = append(loans, *place.loan)
		}
	}
	return loans
}

// EarliestLastUse returns the earliest time at which a borrowed slot that is idle now
// was in use, or the zero time.
func (l *Ledger) EarliestLastUse() time.Time {
	var last time.Time
	for _, place := range l.borrowed {
		if !place.returned && place.ticket == 0 {
			last = earlier(last, place.busyAt)
		}
	}
	return last
}

func (l *Ledger) expireLoans(now time.Time) {
	for _, place := range l.borrowed {
		if place.ticket != 0 {
			place.busyAt = now
		}
	}
	l.lent = slices.DeleteFunc(l.lent, func(place *place) bool {
		if now.Before(place.loanDeadline) {
			return false
		}
		place.loan = nil
		return true
	})
	l.borrowed = slices.DeleteFunc(l.borrowed, func(place *place) bool {
		return place.ticket == 0 && !now.Before(place.loanDeadline)
	})
}

func (l *Ledger) nextLoanExpiry() time.Time {
	var next time.Time
	for _, places := range [][]*place{l.lent, l.borrowed} {
		for _, place := range places {
			next = earlier(next, place.loanDeadline)
		}
	}
	return next
}
