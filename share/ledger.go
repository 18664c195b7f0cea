package share

import (
	"time"

	"filberthold/model"
)

const (
	// clockMargin covers the clocks of a host and an upstream, which may each
	// differ from the true time by 500 ms. The upstream ends a request by its own
	// clock.
	clockMargin = time.Second
	// loanMargin is added to the deadline of a loan at the lender. It covers clocks
	// of lender and borrower that run at different speeds.
	loanMargin = 100 * time.Millisecond
)

// Ticket identifies the use of a slot by one request. The zero value is no ticket.
type Ticket uint64

// Release is the notice of a host that it has adopted a revision in which it does
// not own a slot, and that none of its requests uses the slot. It covers all
// requests that the host sent under that revision and earlier ones.
type Release struct {
	Host     model.HostName `cbor:"host"`
	Slot     Slot           `cbor:"slot"`
	Revision uint64         `cbor:"revision"`
}

// Ledger records which slots one host may use, and the requests, holds and loans on
// them. It is not safe for concurrent use.
type Ledger struct {
	host model.HostName
	// revision is the revision in force, or 0 before the first one.
	revision uint64
	// contiguousRevision is the highest revision up to which the owners in every
	// revision since the first one are recorded. A gained slot is not used while it
	// is lower than revision.
	contiguousRevision uint64
	hasFirstRevision   bool
	// recordedAhead holds the revisions above contiguousRevision whose owners are
	// recorded.
	recordedAhead map[uint64]bool
	slots         map[Slot]*slotState
	// byEndpoint holds the slots of each endpoint, sorted by index.
	byEndpoint map[model.EndpointName][]*slotState
	// lent and borrowed hold the slots of loans that have not expired, oldest first.
	lent     []*slotState
	borrowed []*slotState
	// tickets holds the slots with a request, by the ticket of the request.
	tickets map[Ticket]*slotState
	// formerlyOwned holds the slots that this host has owned and does not own now.
	formerlyOwned []*slotState
	lastTicket    Ticket
	// lastLoan is the number of the latest loan that this host granted.
	lastLoan uint64
	// blockedUntil is set while no slot of this host may be used; see BlockUntil.
	blockedUntil time.Time
}

// slotState is the state of one slot, or of one borrowed slot.
type slotState struct {
	slot  Slot
	owner model.HostName
	// acquired is true while this host may use the slot: it owns the slot and every
	// former owner has released it. It is reset when the ownership ends.
	acquired bool
	// lastOwned holds, by host, the latest recorded revision in which the host owns
	// the slot.
	lastOwned map[model.HostName]uint64
	// released holds, by host, the latest revision for which the host has released
	// the slot.
	released map[model.HostName]uint64
	// announced is the revision of the release that NewReleases returned last.
	announced uint64
	// ticket is the ticket of the request on the slot, or 0.
	ticket Ticket
	// sentDeadline is the deadline that was sent to the upstream with the request.
	sentDeadline time.Time
	// heldUntil is set if the end of the request on the slot is unknown.
	heldUntil time.Time
	// loan is set while the slot is lent, or if it is borrowed.
	loan *Loan
	// loanDeadline is when the loan expires; see Lend and Borrow.
	loanDeadline time.Time
	// lastUsedAt is the latest known time at which a borrowed slot was in use.
	lastUsedAt time.Time
	// returned is true for a borrowed slot that was returned. The entry stays until
	// the deadline, so a repeated grant does not add the loan again.
	returned bool
}

// NewLedger returns a ledger without slots.
func NewLedger(host model.HostName) *Ledger {
	return &Ledger{
		host:          host,
		recordedAhead: make(map[uint64]bool),
		slots:         make(map[Slot]*slotState),
		byEndpoint:    make(map[model.EndpointName][]*slotState),
		tickets:       make(map[Ticket]*slotState),
	}
}

// Take takes a free slot of an endpoint for a request with a deadline. It takes a
// borrowed slot only if the request ends before the loan expires.
func (l *Ledger) Take(endpoint model.EndpointName, deadline, now time.Time) (Ticket, bool) {
	if !now.Before(deadline) {
		return 0, false
	}
	l.Expire(now)
	for _, state := range l.byEndpoint[endpoint] {
		if l.isFree(state) {
			return l.takeSlot(state, deadline), true
		}
	}
	for _, state := range l.borrowed {
		if state.slot.Endpoint == endpoint && state.canServe(deadline) {
			return l.takeSlot(state, deadline), true
		}
	}
	return 0, false
}

// canServe reports whether a borrowed slot is free and its loan lasts until the
// deadline of a request and the clock margin have passed.
func (s *slotState) canServe(deadline time.Time) bool {
	return s.ticket == 0 && !s.returned && !deadline.Add(clockMargin).After(s.loanDeadline)
}

// takeSlot puts a request on a free slot.
func (l *Ledger) takeSlot(state *slotState, deadline time.Time) Ticket {
	l.lastTicket++
	state.ticket, state.sentDeadline = l.lastTicket, deadline
	l.tickets[l.lastTicket] = state
	return l.lastTicket
}

// Free returns how many slots of an endpoint are free for a request with a
// deadline.
func (l *Ledger) Free(endpoint model.EndpointName, deadline, now time.Time) int {
	l.Expire(now)
	free := 0
	for _, state := range l.byEndpoint[endpoint] {
		if l.isFree(state) {
			free++
		}
	}
	for _, state := range l.borrowed {
		if state.slot.Endpoint == endpoint && state.canServe(deadline) {
			free++
		}
	}
	return free
}

// Usable returns how many slots of an endpoint this host may use, whether free or
// in use, including borrowed ones.
func (l *Ledger) Usable(endpoint model.EndpointName) int {
	usable := 0
	for _, state := range l.byEndpoint[endpoint] {
		if l.canUse(state) {
			usable++
		}
	}
	for _, state := range l.borrowed {
		if state.slot.Endpoint == endpoint && !state.returned {
			usable++
		}
	}
	return usable
}

// BlockUntil prevents the use of all slots of this host until a time. It is for a
// new incarnation of a host: requests and loans of an earlier incarnation may still
// be in flight, and only their latest end is known.
func (l *Ledger) BlockUntil(until time.Time) { l.blockedUntil = until }

// isFree reports whether a slot of this host is free for a request or a loan.
func (l *Ledger) isFree(state *slotState) bool {
	return l.blockedUntil.IsZero() && l.canUse(state) && state.ticket == 0 && state.loan == nil
}

// Held returns how many slots of an endpoint are held for requests whose end
// is unknown.
func (l *Ledger) Held(endpoint model.EndpointName) int {
	held := 0
	for _, state := range l.tickets {
		if state.slot.Endpoint == endpoint && !state.heldUntil.IsZero() {
			held++
		}
	}
	return held
}

// Return frees the slot of a request whose end is known.
func (l *Ledger) Return(ticket Ticket) {
	if state, exists := l.tickets[ticket]; exists {
		state.ticket, state.heldUntil = 0, time.Time{}
		delete(l.tickets, ticket)
	}
}

// Hold keeps the slot of a request whose end is unknown until the deadline that
// was sent to the upstream, plus the clock margin. It returns that time, or the
// zero time if the ticket is unknown.
func (l *Ledger) Hold(ticket Ticket) time.Time {
	state, exists := l.tickets[ticket]
	if !exists {
		return time.Time{}
	}
	state.heldUntil = state.sentDeadline.Add(clockMargin)
	return state.heldUntil
}

// Expire frees the slots whose hold or loan has expired, and ends BlockUntil when
// its time has come.
func (l *Ledger) Expire(now time.Time) {
	for ticket, state := range l.tickets {
		if !state.heldUntil.IsZero() && !now.Before(state.heldUntil) {
			l.Return(ticket)
		}
	}
	if !now.Before(l.blockedUntil) {
		l.blockedUntil = time.Time{}
	}
	l.expireLoans(now)
}

// NextExpiry returns the earliest expiry of a hold, a loan or BlockUntil, or the
// zero time.
func (l *Ledger) NextExpiry() time.Time {
	next := l.blockedUntil
	for _, state := range l.tickets {
		next = earlier(next, state.heldUntil)
	}
	return earlier(next, l.nextLoanExpiry())
}

// earlier returns the earlier of two times. A zero time counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
