package entry

import (
	"context"
	"fmt"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/place"
	"filberthold/share"
)

// peerSender sends messages about loans and slot releases to other entry hosts.
// Its methods do not block.
type peerSender interface {
	// RequestLoan reports whether the request was sent to one of the owners.
	RequestLoan(owners []model.HostName, request peers.LoanRequest) bool
	// GrantLoan returns false only if the grant was not sent.
	GrantLoan(grant peers.LoanGrant) bool
	ReturnLoan(loan share.LoanID) bool
	AnnounceReleases(releases []share.Release)
}

// sendToPeers sends a decision about loans or releases to other hosts. It is
// called after the core has recorded the time of a loan request. The borrower
// therefore measures the duration of the loan from a time before the request is
// sent.
func (d *Dispatcher) sendToPeers(decision place.Decision) {
	if d.peers == nil {
		return
	}
	switch decision := decision.(type) {
	case place.AskLoan:
		request := peers.LoanRequest{Number: decision.Number, Endpoint: decision.Endpoint, Duration: decision.Duration}
		if !d.peers.RequestLoan(decision.Owners, request) {
			d.log.Debug("loan not requested: no owner is connected", "number", decision.Number)
		}
	case place.GrantLoan:
		// A loan whose grant was not sent cannot be used. If the ring is full, the
		// slot becomes free when the loan ends.
		if !d.peers.GrantLoan(peers.LoanGrant(decision)) {
			d.events.TryPut(place.LoanReturned{Loan: decision.Loan.ID})
		}
	case place.ReturnLoan:
		if !d.peers.ReturnLoan(decision.Loan) {
			d.log.Debug("loan not returned: its owner is not connected", "loan", decision.Loan)
		}
	case place.Announce:
		d.peers.AnnounceReleases(decision.Releases)
	}
}

// reportLoanEvent reports a peer's message about loans or releases to placement.
func (h *Host) reportLoanEvent(ctx context.Context, event peers.Event) error {
	for _, loanEvent := range h.loanEvents(event) {
		if err := h.dispatcher.Report(ctx, loanEvent); err != nil {
			return fmt.Errorf("report loan: %w", err)
		}
	}
	return nil
}

func (h *Host) loanEvents(event peers.Event) []place.Event {
	switch event := event.(type) {
	case peers.LoanRequested:
		// A leaving host grants no loans, because its next incarnation has no record
		// of them.
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
		var released []place.Event
		for _, release := range event.Releases {
			released = append(released, place.ReleaseHeard{Release: release})
		}
		return released
	}
	return nil
}
