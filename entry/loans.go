package entry

import (
	"context"
	"fmt"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/place"
	"filberthold/share"
)

// loanCarrier takes loans and releases to other entry hosts without waiting.
type loanCarrier interface {
	// RequestLoan reports whether the request went to one of the owners.
	RequestLoan(owners []model.HostName, request peers.LoanRequest) bool
	// GrantLoan reports false if the grant certainly does not reach anyone.
	GrantLoan(grant peers.LoanGrant) bool
	ReturnLoan(loan share.LoanID) bool
	AnnounceReleases(releases []share.Release)
}

// carry takes a decision about loans or releases to other hosts. It is called
// after the core has fixed the time at which it asked, so that the deadline of
// a loan counts from before its request was sent.
func (d *Dispatcher) carry(decision place.Decision) {
	if d.carrier == nil {
		return
	}
	switch decision := decision.(type) {
	case place.AskLoan:
		request := peers.LoanRequest{Number: decision.Number, Endpoint: decision.Endpoint, Duration: decision.Duration}
		if !d.carrier.RequestLoan(decision.Owners, request) {
			d.log.Debug("loan not asked for: no owner is linked", "number", decision.Number)
		}
	case place.GrantLoan:
		// Nobody can use a loan whose grant was not sent. If the ring is full, the
		// slot is free again when the loan ends.
		if !d.carrier.GrantLoan(peers.LoanGrant(decision)) {
			d.events.TryPut(place.LoanReturned{Loan: decision.Loan.ID})
		}
	case place.ReturnLoan:
		if !d.carrier.ReturnLoan(decision.Loan) {
			d.log.Debug("loan not returned: its owner is not linked", "loan", decision.Loan)
		}
	case place.Announce:
		d.carrier.AnnounceReleases(decision.Releases)
	}
}

// takeLoan hands what a peer says about loans or releases to placement.
func (h *Host) takeLoan(ctx context.Context, event peers.Event) error {
	for _, report := range h.loanEvents(event) {
		if err := h.dispatcher.Report(ctx, report); err != nil {
			return fmt.Errorf("report loan: %w", err)
		}
	}
	return nil
}

func (h *Host) loanEvents(event peers.Event) []place.Event {
	switch event := event.(type) {
	case peers.LoanRequested:
		// A later process under the name of this host does not know its loans.
		if h.callers.IsLeaving() {
			return nil
		}
		request := event.Request
		return []place.Event{place.LoanAsked{
			Number: request.Number, Endpoint: request.Endpoint, Borrower: event.Borrower, Duration: request.Duration,
		}}
	case peers.LoanGranted:
		return []place.Event{place.LoanGranted(event.Grant)}
	case peers.LoanReturned:
		return []place.Event{place.LoanReturned(event)}
	case peers.SlotsReleased:
		var reports []place.Event
		for _, release := range event.Releases {
			reports = append(reports, place.ReleaseHeard{Release: release})
		}
		return reports
	}
	return nil
}
