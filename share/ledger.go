package share

import (
	"time"

	"filberthold/model"
)

const (
	// clockMargin covers two clocks that each differ from the true time by the
	// allowed skew of 500 ms: the upstream ends a request by its own clock.
	clockMargin = time.Second
	// loanMargin is added to the deadline of a loan at its owner. It covers
	// clocks of lender and borrower that run at different speeds.
	loanMargin = 100 * time.Millisecond
)

// Ticket identifies one use of a slot. The zero value is no ticket.
type Ticket uint64

// Release is the statement of a host that it has adopted a revision in which
// it does not own a slot, and that none of its requests uses the slot. It
// holds for all requests under that revision and earlier ones.
type Release struct {
	Host     model.HostName `cbor:"host"`
	Slot     Slot           `cbor:"slot"`
	Revision uint64         `cbor:"revision"`
}

// Ledger keeps the slots of one host. It is not safe for concurrent use.
type Ledger struct {
	host     model.HostName
	revision uint64
	// known is the highest revision such that the ownership of every revision
	// from the first one to it is known. Gained slots wait for it.
	known   uint64
	hasBase bool
	// learned holds the revisions above known whose ownership is known.
	learned map[uint64]bool
	places  map[Slot]*place
	// byEndpoint holds the places of an endpoint by slot index.
	byEndpoint map[model.EndpointName][]*place
	// lent and borrowed hold the loans that have not ended, oldest first.
	lent     []*place
	borrowed []*place
	tickets  map[Ticket]*place
	// former holds the places that this host has owned and does not own now.
	former     []*place
	lastTicket Ticket
	lastLoan   uint64
	// quietUntil is set while no slot of this host may be used; see BlockUntil.
	quietUntil time.Time
}

// place is the state of one slot, or of one borrowed slot.
type place struct {
	slot  Slot
	owner model.HostName
	// mine is true while this host may use the slot: it owns the slot and
	// every earlier owner has released it. It never outlasts the ownership.
	mine bool
	// lastOwned holds the latest known revision in which a host owns the slot.
	lastOwned map[model.HostName]uint64
	// released holds the latest revision of a host's release.
	released map[model.HostName]uint64
	// announced is the revision of the release that was returned last.
	announced uint64
	// ticket is the request on the slot, or 0.
	ticket Ticket
	// sentDeadline is the deadline that the upstream got with the request.
	sentDeadline time.Time
	// heldUntil is set if the end of the request on the slot is unknown.
	heldUntil time.Time
	// loan is set while the slot is lent, or if it is borrowed.
	loan *Loan
	// loanDeadline ends the loan, by the rules for lender or borrower.
	loanDeadline time.Time
	// busyAt is the latest known time at which a borrowed slot was in use.
	busyAt time.Time
	// returned is true for a borrowed slot that was given back. The entry stays
	// until the deadline so that a repeated grant does not bring it back.
	returned bool
}

// NewLedger returns a ledger without slots.
func NewLedger(host model.HostName) *Ledger {
	return &Ledger{
		host:       host,
		learned:    make(map[uint64]bool),
		places:     make(map[Slot]*place),
		byEndpoint: make(map[model.EndpointName][]*place),
		tickets:    make(map[Ticket]*place),
	}
}

// Take takes a free slot of an endpoint for a request with a deadline. A
// borrowed slot is taken only if the request ends before the loan does.
func (l *Ledger) Take(endpoint model.EndpointName, deadline, now time.Time) (Ticket, bool) {
	if !now.Before(deadline) {
		return 0, false
	}
	l.Expire(now)
	for _, place := range l.byEndpoint[endpoint] {
		if l.isFree(place) {
			return l.take(place, deadline), true
		}
	}
	for _, place := range l.borrowed {
		if place.slot.Endpoint == endpoint && place.fits(deadline) {
			return l.take(place, deadline), true
		}
	}
	return 0, false
}

func (p *place) fits(deadline time.Time) bool {
	return p.ticket == 0 && !p.returned && !deadline.Add(clockMargin).After(p.loanDeadline)
}

func (l *Ledger) take(place *place, deadline time.Time) Ticket {
	l.lastTicket++
	place.ticket, place.sentDeadline = l.lastTicket, deadline
	l.tickets[l.lastTicket] = place
	return l.lastTicket
}

// Free returns how many slots of an endpoint a request with a deadline can
// take.
func (l *Ledger) Free(endpoint model.EndpointName, deadline, now time.Time) int {
	l.Expire(now)
	free := 0
	for _, place := range l.byEndpoint[endpoint] {
		if l.isFree(place) {
			free++
		}
	}
	for _, place := range l.borrowed {
		if place.slot.Endpoint == endpoint && place.fits(deadline) {
			free++
		}
	}
	return free
}

// Usable returns how many slots of an endpoint this host may use, free or not,
// with those that it has borrowed.
func (l *Ledger) Usable(endpoint model.EndpointName) int {
	usable := 0
	for _, place := range l.byEndpoint[endpoint] {
		if l.usable(place) {
			usable++
		}
	}
	for _, place := range l.borrowed {
		if place.slot.Endpoint == endpoint && !place.returned {
			usable++
		}
	}
	return usable
}

// BlockUntil keeps all slots of this host out of use until a time, for a process
// that starts under the name of an earlier one: requests and loans of the
// earlier process may still run, and only their latest end is known.
func (l *Ledger) BlockUntil(until time.Time) { l.quietUntil = until }

// isFree reports whether a request or a loan can take a slot of this host.
func (l *Ledger) isFree(place *place) bool {
	return l.quietUntil.IsZero() && l.usable(place) && place.ticket == 0 && place.loan == nil
}

// Held returns how many slots of an endpoint are held for requests whose end
// is unknown.
func (l *Ledger) Held(endpoint model.EndpointName) int {
	held := 0
	for _, place := range l.tickets {
		if place.slot.Endpoint == endpoint && !place.heldUntil.IsZero() {
			held++
		}
	}
	return held
}

// Return frees the slot of a request whose end is known.
func (l *Ledger) Return(ticket Ticket) {
	if place, exists := l.tickets[ticket]; exists {
		place.ticket, place.heldUntil = 0, time.Time{}
		delete(l.tickets, ticket)
	}
}

// Hold keeps the slot of a request whose end is unknown until the deadline
// that the upstream got, and returns when the slot is free.
func (l *Ledger) Hold(ticket Ticket) time.Time {
	place, exists := l.tickets[ticket]
	if !exists {
		return time.Time{}
	}
	place.heldUntil = place.sentDeadline.Add(clockMargin)
	return place.heldUntil
}

// Expire frees the slots whose hold or loan has ended.
func (l *Ledger) Expire(now time.Time) {
	for ticket, place := range l.tickets {
		if !place.heldUntil.IsZero() && !now.Before(place.heldUntil) {
			l.Return(ticket)
		}
	}
	if !now.Before(l.quietUntil) {
		l.quietUntil = time.Time{}
	}
	l.expireLoans(now)
}

// NextExpiry returns the earliest end of a hold or a loan, or the zero time.
func (l *Ledger) NextExpiry() time.Time {
	next := l.quietUntil
	for _, place := range l.tickets {
		next = earlier(next, place.heldUntil)
	}
	return earlier(next, l.nextLoanExpiry())
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
