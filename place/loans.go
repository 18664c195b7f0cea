package place

import (
	"maps"
	"slices"
	"time"

	"filberthold/model"
)

const (
	// loanDuration is the longest time for which a host lends a slot. If the
	// borrower crashes, the owner cannot use the slot for this long.
	loanDuration = 10 * time.Second
	// loanRequestInterval is the shortest time between two loan requests for the
	// same endpoint.
	loanRequestInterval = time.Second
	// loanOverhead is the part of loanDuration that a request cannot use. It
	// covers the clock margin of a borrowed slot and the time to request the loan.
	loanOverhead = 2 * time.Second
	// loanIdleTimeout is how long an idle borrowed slot is kept for the next
	// request. Returning it at once would cost each moved request a round trip
	// between regions.
	loanIdleTimeout = time.Second
)

// loanRequests holds the times at which loans were requested. They are not sent
// with the messages, because an encoded time loses its monotonic clock reading.
type loanRequests struct {
	lastNumber uint64
	// sentAt holds the time of each request by its number. An entry expires after
	// loanDuration.
	sentAt map[uint64]time.Time
	// nextAt holds the earliest time of the next loan request by endpoint.
	nextAt map[model.EndpointName]time.Time
}

func newLoanRequests() *loanRequests {
	return &loanRequests{sentAt: make(map[uint64]time.Time), nextAt: make(map[model.EndpointName]time.Time)}
}

// add records a loan request for an endpoint and returns its number.
func (r *loanRequests) add(endpoint model.EndpointName, now time.Time) uint64 {
	maps.DeleteFunc(r.sentAt, func(_ uint64, sentAt time.Time) bool { return now.Sub(sentAt) > loanDuration })
	// The time makes the numbers differ from those of an earlier incarnation of
	// this host. A late grant may still refer to one of those.
	r.lastNumber = max(r.lastNumber+1, uint64(now.UnixNano()))
	r.sentAt[r.lastNumber] = now
	r.nextAt[endpoint] = now.Add(loanRequestInterval)
	return r.lastNumber
}

// requestLoan requests a slot of an endpoint in one of the regions, for a request
// that this host cannot serve there with its own slots. It requests none for a
// request whose deadline is too late, because only a request that ends before the
// loan expires can use the slot.
func (c *Core) requestLoan(request Request, regions []model.RegionName, now time.Time) []Decision {
	if request.Deadline.Sub(now)+loanOverhead > loanDuration {
		return nil
	}
	for _, endpoint := range c.deployment.EndpointsOf(request.Service) {
		name := endpoint.Name()
		isWanted := slices.Contains(regions, c.deployment.RegionOf(endpoint.Zone()))
		if !isWanted || !c.accepts(name, now) || c.tracker.IsFailing(name, now) || now.Before(c.loanRequests.nextAt[name]) {
			continue
		}
		if owners := c.ledger.OtherOwners(name); len(owners) > 0 {
			return []Decision{AskLoan{Number: c.loanRequests.add(name, now), Endpoint: name, Owners: owners, Duration: loanDuration}}
		}
	}
	return nil
}

// loanRegions returns the regions in which a queued request could use a borrowed
// slot.
func (c *Core) loanRegions(open *openRequest) []model.RegionName {
	isServed := c.hasAvailableEndpoint(open.request.Service, open.region)
	if open.region != "" && (open.isMoved || isServed) {
		return []model.RegionName{open.region}
	}
	return c.deployment.Regions()
}

// hasAvailableEndpoint reports whether a region has an endpoint of a service that
// is not leaving, regardless of the owners of its slots.
func (c *Core) hasAvailableEndpoint(service model.ServiceName, region model.RegionName) bool {
	return slices.ContainsFunc(c.deployment.EndpointsOf(service), func(endpoint model.Endpoint) bool {
		return c.deployment.RegionOf(endpoint.Zone()) == region && !c.leaving.has(endpoint.Name())
	})
}

// lend grants a loan if no request for the service is queued at this host and
// canLend allows it. A loan lasts much longer than a request, so a host that lends
// most of its slots under low load makes its own callers wait later.
func (c *Core) lend(event LoanAsked, now time.Time) []Decision {
	if c.deployment == nil || c.leaving.has(event.Endpoint) {
		return nil
	}
	endpoint, exists := c.deployment.Endpoint(event.Endpoint)
	if !exists || c.services[endpoint.Service()].queue.Len() > 0 || !c.canLend(endpoint.Service(), now) {
		return nil
	}
	loan, granted := c.ledger.Lend(event.Endpoint, event.Borrower, min(event.Duration, loanDuration), now)
	if !granted {
		return nil
	}
	return []Decision{GrantLoan{Number: event.Number, Loan: loan}}
}

// canLend reports whether two thirds of the slots of a service stay free after
// one more loan. A host with one or two slots lends one while all are free.
func (c *Core) canLend(service model.ServiceName, now time.Time) bool {
	free, usable := 0, 0
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		free += c.ledger.Free(endpoint.Name(), now, now)
		usable += c.ledger.Usable(endpoint.Name())
	}
	if usable < 3 {
		return free == usable
	}
	return 3*(free-1) >= 2*usable
}

// borrow records a granted loan and sends queued requests. It ignores a grant for
// a loan request that this incarnation did not send or that is too old.
func (c *Core) borrow(event LoanGranted, now time.Time) []Decision {
	sentAt, exists := c.loanRequests.sentAt[event.Number]
	if !exists || !c.ledger.Borrow(event.Loan, sentAt, now) {
		return nil
	}
	return c.sendAllQueued(now)
}

// returnLoans returns the borrowed slots that have been idle for loanIdleTimeout.
func (c *Core) returnLoans(now time.Time) []Decision {
	var decisions []Decision
	for _, loan := range c.ledger.IdleLoans(now.Add(-loanIdleTimeout)) {
		if c.ledger.ReturnLoan(loan.ID) {
			decisions = append(decisions, ReturnLoan{Loan: loan.ID})
		}
	}
	return decisions
}

// announce announces the releases that have become possible since the last call,
// and returns borrowed slots that are idle.
func (c *Core) announce(now time.Time) []Decision {
	decisions := c.returnLoans(now)
	if releases := c.ledger.NewReleases(); len(releases) > 0 {
		decisions = append(decisions, Announce{Releases: releases})
	}
	return decisions
}
