package peers

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"filberthold/model"
	"filberthold/share"
)

const (
	// maxLoanEntries bounds the open requests and the grants that are kept.
	maxLoanEntries = 4096
	// maxSeenNumbers bounds the frame numbers that are kept for each host that
	// announces releases.
	maxSeenNumbers = 64
)

// LoanRequested reports that a peer requests a loan.
type LoanRequested struct {
	Borrower model.HostName
	Request  LoanRequest
}

// LoanGranted reports that a peer has granted a requested loan.
type LoanGranted struct{ Grant LoanGrant }

// LoanReturned reports that a borrower has returned its loan.
type LoanReturned struct{ Loan share.LoanID }

// SlotsReleased reports releases of another host.
type SlotsReleased struct{ Releases []share.Release }

func (LoanRequested) isEvent() {}
func (LoanGranted) isEvent()   {}
func (LoanReturned) isEvent()  {}
func (SlotsReleased) isEvent() {}

// loanTracker decides which loan and release frames of peers are accepted. It
// is safe for concurrent use.
type loanTracker struct {
	mu   sync.Mutex
	host model.HostName
	// requested holds the owner to which each request was sent, by the number
	// of the request, until the loan is granted or the request expires.
	requested map[uint64]requestedLoan
	// granted holds the borrower of each loan until it is returned or has
	// expired, so that no other peer can return it.
	granted map[share.LoanID]grantedLoan
	// seen holds the highest numbers of the Releases frames from each host, in
	// ascending order.
	seen       map[model.HostName][]uint64
	lastNumber uint64
}

type requestedLoan struct {
	owner     model.HostName
	expiresAt time.Time
}

type grantedLoan struct {
	borrower  model.HostName
	expiresAt time.Time
}

func newLoanTracker(host model.HostName) *loanTracker {
	return &loanTracker{
		host:      host,
		requested: make(map[uint64]requestedLoan),
		granted:   make(map[share.LoanID]grantedLoan),
		seen:      make(map[model.HostName][]uint64),
	}
}

// addRequest records the owner to which a request is sent. It reports false if
// too many requests are open.
func (t *loanTracker) addRequest(owner model.HostName, request LoanRequest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.requested, func(_ uint64, requested requestedLoan) bool { return !now.Before(requested.expiresAt) })
	if len(t.requested) >= maxLoanEntries {
		return false
	}
	t.requested[request.Number] = requestedLoan{owner: owner, expiresAt: now.Add(request.Duration)}
	return true
}

// addGrant records the borrower of a loan. It reports false if too many loans
// are open. The entry only has to outlast the loan; placement enforces the
// exact deadline of the loan.
func (t *loanTracker) addGrant(loan share.Loan, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.granted, func(_ share.LoanID, granted grantedLoan) bool { return !now.Before(granted.expiresAt) })
	if len(t.granted) >= maxLoanEntries {
		return false
	}
	t.granted[loan.ID] = grantedLoan{borrower: loan.Borrower, expiresAt: now.Add(loan.Duration + time.Minute)}
	return true
}

// acceptGrant reports whether a grant belongs to an open request to the peer
// that sent it. It accepts one grant for each request.
func (t *loanTracker) acceptGrant(from model.HostName, grant LoanGrant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	requested, exists := t.requested[grant.Number]
	isExpected := exists && requested.owner == from && grant.Loan.ID.Owner == from && grant.Loan.Borrower == t.host
	if isExpected {
		delete(t.requested, grant.Number)
	}
	return isExpected
}

// acceptReturn reports whether a loan is returned by its borrower. It accepts
// the return once.
func (t *loanTracker) acceptReturn(from model.HostName, loan share.LoanID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted, exists := t.granted[loan]
	if !exists || granted.borrower != from {
		return false
	}
	delete(t.granted, loan)
	return true
}

// acceptReleases reports whether a frame of releases arrives for the first
// time. A number below all that are kept counts as seen.
func (t *loanTracker) acceptReleases(releases Releases) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if releases.Host == t.host {
		return false
	}
	numbers, exists := t.seen[releases.Host]
	index, isSeen := slices.BinarySearch(numbers, releases.Number)
	isOld := index == 0 && len(numbers) == maxSeenNumbers
	if isSeen || isOld || !exists && len(t.seen) >= maxTrackedHosts {
		return false
	}
	numbers = slices.Insert(numbers, index, releases.Number)
	t.seen[releases.Host] = numbers[max(0, len(numbers)-maxSeenNumbers):]
	return true
}

// nextNumber returns the number of the next frame of releases. It is at least the
// Unix time in nanoseconds, which is above the numbers of earlier incarnations.
func (t *loanTracker) nextNumber(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber = max(t.lastNumber+1, uint64(now.UnixNano()))
	return t.lastNumber
}

// RequestLoan sends a request to the first connected host among the owners, and
// reports whether it was sent.
func (m *Mesh) RequestLoan(owners []model.HostName, request LoanRequest) bool {
	for _, owner := range owners {
		if link := m.linkTo(owner); link != nil {
			if !m.loanTracker.addRequest(owner, request, time.Now()) {
				return false
			}
			link.send(request)
			return true
		}
	}
	return false
}

// GrantLoan sends a grant to the borrower and reports whether it was sent. The
// slot stays unused until the loan ends if the grant does not arrive.
func (m *Mesh) GrantLoan(grant LoanGrant) bool {
	link := m.linkTo(grant.Loan.Borrower)
	if link == nil || !m.loanTracker.addGrant(grant.Loan, time.Now()) {
		return false
	}
	link.send(grant)
	return true
}

// ReturnLoan returns a loan to its owner, and reports false if the owner is not
// connected.
func (m *Mesh) ReturnLoan(loan share.LoanID) bool {
	link := m.linkTo(loan.Owner)
	if link == nil {
		return false
	}
	link.send(LoanReturn{Loan: loan})
	return true
}

// AnnounceReleases sends releases of this host to all others.
func (m *Mesh) AnnounceReleases(releases []share.Release) {
	for part := range slices.Chunk(releases, maxReleases) {
		m.broadcast(Releases{Host: m.options.Host, Number: m.loanTracker.nextNumber(time.Now()), Releases: part}, nil)
	}
}

// broadcast sends a frame on all open links but one.
func (m *Mesh) broadcast(frame Frame, except *link) {
	for _, link := range m.openLinks() {
		if link != except {
			link.send(frame)
		}
	}
}

func (m *Mesh) linkTo(host model.HostName) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byHost[host]
}

// hostOf returns the host at the other end of a link, or "" before its first
// digest.
func (m *Mesh) hostOf(link *link) model.HostName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return link.host
}

// receiveLoan handles a frame about loans or releases. Frames about loans are
// ignored if the host at the other end of the link is not yet known.
func (m *Mesh) receiveLoan(ctx context.Context, from *link, frame Frame) error {
	event := m.loanEvent(m.hostOf(from), frame)
	if event == nil {
		return nil
	}
	if releases, isReleases := frame.(Releases); isReleases {
		m.broadcast(releases, from)
	}
	if err := m.events.Put(ctx, event); err != nil {
		return fmt.Errorf("report %s: %w", frame.kind(), err)
	}
	return nil
}

// loanEvent returns the event for a frame, or nil for one that is not accepted.
func (m *Mesh) loanEvent(host model.HostName, frame Frame) Event {
	switch frame := frame.(type) {
	case LoanRequest:
		if host != "" {
			return LoanRequested{Borrower: host, Request: frame}
		}
	case LoanGrant:
		if m.loanTracker.acceptGrant(host, frame) {
			return LoanGranted{Grant: frame}
		}
	case LoanReturn:
		if m.loanTracker.acceptReturn(host, frame.Loan) {
			return LoanReturned(frame)
		}
	case Releases:
		if m.loanTracker.acceptReleases(frame) {
			return SlotsReleased{Releases: frame.Releases}
		}
	}
	return nil
}
