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
	// maxLoanEntries bounds the requests and the grants that are remembered.
	maxLoanEntries = 4096
	// seenFrames bounds the numbers that are remembered of a host's releases.
	seenFrames = 64
)

// LoanRequested reports that a peer asks for a loan.
type LoanRequested struct {
	Borrower model.HostName
	Request  LoanRequest
}

// LoanGranted reports a loan that the peer that was asked has granted.
type LoanGranted struct{ Grant LoanGrant }

// LoanReturned reports that a peer gave back the loan that it had got.
type LoanReturned struct{ Loan share.LoanID }

// SlotsReleased reports releases of another host.
type SlotsReleased struct{ Releases []share.Release }

func (LoanRequested) isEvent() {}
func (LoanGranted) isEvent()   {}
func (LoanReturned) isEvent()  {}
func (SlotsReleased) isEvent() {}

// loanBook decides which loan messages of peers are accepted. It is safe for
// concurrent use.
type loanBook struct {
	mu   sync.Mutex
	host model.HostName
	// asked holds the owner to which a request was sent, until its grant.
	asked map[uint64]askedLoan
	// granted holds the borrower of a loan until it is returned, so that no
	// other peer can end it.
	granted map[share.LoanID]grantedLoan
	// seen holds the numbers of releases by host, in rising order.
	seen map[model.HostName][]uint64
	last uint64
}

type askedLoan struct {
	owner model.HostName
	until time.Time
}

type grantedLoan struct {
	borrower model.HostName
	until    time.Time
}

func newLoanBook(host model.HostName) *loanBook {
	return &loanBook{
		host:    host,
		asked:   make(map[uint64]askedLoan),
		granted: make(map[share.LoanID]grantedLoan),
		seen:    make(map[model.HostName][]uint64),
	}
}

// ask notes to which owner a request goes.
func (b *loanBook) ask(owner model.HostName, request LoanRequest, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.asked, func(_ uint64, asked askedLoan) bool { return !now.Before(asked.until) })
	if len(b.asked) >= maxLoanEntries {
		return false
	}
	b.asked[request.Number] = askedLoan{owner: owner, until: now.Add(request.Duration)}
	return true
}

// grant notes to which borrower a loan goes. The entry only has to outlast the
// loan, which placement ends by its own deadline.
func (b *loanBook) grant(loan share.Loan, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.granted, func(_ share.LoanID, granted grantedLoan) bool { return !now.Before(granted.until) })
	if len(b.granted) >= maxLoanEntries {
		return false
	}
	b.granted[loan.ID] = grantedLoan{borrower: loan.Borrower, until: now.Add(loan.Duration + time.Minute)}
	return true
}

// receiveGrant reports whether a grant answers a request that was sent to the
// peer from which it comes. It does so once for each request.
func (b *loanBook) receiveGrant(from model.HostName, grant LoanGrant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	asked, exists := b.asked[grant.Number]
	isAnswer := exists && asked.owner == from && grant.Loan.ID.Owner == from && grant.Loan.Borrower == b.host
	if isAnswer {
		delete(b.asked, grant.Number)
	}
	return isAnswer
}

// receiveReturn reports whether a loan comes back from the peer that got it.
func (b *loanBook) receiveReturn(from model.HostName, loan share.LoanID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted, exists := b.granted[loan]
	if !exists || granted.borrower != from {
		return false
	}
	delete(b.granted, loan)
	return true
}

// receiveReleases reports whether releases arrive for the first time. Numbers
// below all remembered ones count as known.
func (b *loanBook) receiveReleases(releases Releases) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if releases.Host == b.host {
		return false
	}
	numbers, exists := b.seen[releases.Host]
	index, isKnown := slices.BinarySearch(numbers, releases.Number)
	isOld := index == 0 && len(numbers) == seenFrames
	if isKnown || isOld || !exists && len(b.seen) >= maxKnownHosts {
		return false
	}
	numbers = slices.Insert(numbers, index, releases.Number)
	b.seen[releases.Host] = numbers[max(0, len(numbers)-seenFrames):]
	return true
}

// number returns the number of the next frame of releases. The time keeps it
// above the numbers of an earlier process.
func (b *loanBook) number(now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last = max(b.last+1, uint64(now.UnixNano()))
	return b.last
}

// RequestLoan sends a request to the first of the owners to which a link is open,
// and reports whether there is one.
func (m *Mesh) RequestLoan(owners []model.HostName, request LoanRequest) bool {
	for _, owner := range owners {
		if link := m.linkTo(owner); link != nil {
			if !m.loans.ask(owner, request, time.Now()) {
				return false
			}
			link.send(request)
			return true
		}
	}
	return false
}

// GrantLoan sends a loan to its borrower. A grant that cannot be sent leaves
// the slot unused until the loan ends.
func (m *Mesh) GrantLoan(grant LoanGrant) bool {
	link := m.linkTo(grant.Loan.Borrower)
	if link == nil || !m.loans.grant(grant.Loan, time.Now()) {
		return false
	}
	link.send(grant)
	return true
}

// ReturnLoan gives a loan back to its owner.
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
		m.flood(Releases{Host: m.options.Host, Number: m.loans.number(time.Now()), Releases: part}, nil)
	}
}

// flood sends a frame to all peers but one.
func (m *Mesh) flood(frame Frame, except *link) {
	for _, link := range m.open() {
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

// hostOf returns the host to which a link leads, or "" before its first digest.
func (m *Mesh) hostOf(link *link) model.HostName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return link.host
}

// receiveLoan takes a frame about loans or releases. Those of a link whose host
// is not yet known are ignored.
func (m *Mesh) receiveLoan(ctx context.Context, from *link, frame Frame) error {
	event := m.judge(m.hostOf(from), frame)
	if event == nil {
		return nil
	}
	if releases, isReleases := frame.(Releases); isReleases {
		m.flood(releases, from)
	}
	if err := m.events.Put(ctx, event); err != nil {
		return fmt.Errorf("report %s: %w", frame.kind(), err)
	}
	return nil
}

// judge returns the event for a frame, or nil for one that is not accepted.
func (m *Mesh) judge(host model.HostName, frame Frame) Event {
	switch frame := frame.(type) {
	case LoanRequest:
		if host != "" {
			return LoanRequested{Borrower: host, Request: frame}
		}
	case LoanGrant:
		if m.loans.receiveGrant(host, frame) {
			return LoanGranted{Grant: frame}
		}
	case LoanReturn:
		if m.loans.receiveReturn(host, frame.Loan) {
			return LoanReturned(frame)
		}
	case Releases:
		if m.loans.receiveReleases(frame) {
			return SlotsReleased{Releases: frame.Releases}
		}
	}
	return nil
}
