package place

import (
	"maps"
	"slices"
	"time"

	"filberthold/model"
)

const (
	// loanDuration is the longest time for which a host lends a slot. A host
	// that borrows and then dies keeps the slot from its owner for this long.
	loanDuration = 10 * time.Second
	// askInterval bounds the requests for loans to one per endpoint.
	askInterval = time.Second
	// loanSlack covers the clock margin of a borrowed slot and the time that
	// the request for the loan takes.
	loanSlack = 2 * time.Second
	// loanLinger keeps a borrowed slot for the next request. Giving it back at
	// once would cost each moved request a round trip between regions.
	loanLinger = time.Second
)

// askBook holds the times at which loans were asked for. They stay in memory
// because a time loses its monotonic reading in a message.
type askBook struct {
	last   uint64
	sentAt map[uint64]time.Time
	// nextAt is when an endpoint may be asked for again.
	nextAt map[model.EndpointName]time.Time
}

func newAskBook() *askBook {
	return &askBook{sentAt: make(map[uint64]time.Time), nextAt: make(map[model.EndpointName]time.Time)}
}

func (b *askBook) add(endpoint model.EndpointName, now time.Time) uint64 {
	maps.DeleteFunc(b.sentAt, func(_ uint64, sentAt time.Time) bool { return now.Sub(sentAt) > loanDuration })
	// The time keeps the number from meeting one of an earlier process, to which
	// a late grant may belong.
	b.last = max(b.last+1, uint64(now.UnixNano()))
	b.sentAt[b.last] = now
	b.nextAt[endpoint] = now.Add(askInterval)
	return b.last
}

// askLoan asks for a slot of an endpoint in one of the regions, for a request
// that this host cannot serve there with its own slots. Only a request that
// ends before the loan does can use it.
func (c *Core) askLoan(request Request, regions []model.RegionName, now time.Time) []Decision {
	if request.Deadline.Sub(now)+loanSlack > loanDuration {
		return nil
	}
	for _, endpoint := range c.deployment.EndpointsOf(request.Service) {
		name := endpoint.Name()
		isWanted := slices.Contains(regions, c.deployment.RegionOf(endpoint.Zone()))
		if !isWanted || c.leaving.has(name) || c.board.IsFailing(name, now) || now.Before(c.asks.nextAt[name]) {
			continue
		}
		if owners := c.ledger.OtherOwners(name); len(owners) > 0 {
			return []Decision{AskLoan{Number: c.asks.add(name, now), Endpoint: name, Owners: owners, Duration: loanDuration}}
		}
	}
	return nil
}

// loanRegions returns the regions in which a borrowed slot would help a
// waiting request.
func (c *Core) loanRegions(waiting *pending) []model.RegionName {
	isServed := c.hasUnmarked(waiting.request.Service, waiting.region)
	if waiting.region != "" && (waiting.isMoved || isServed) {
		return []model.RegionName{waiting.region}
	}
	return c.deployment.Regions()
}

// hasUnmarked reports whether an endpoint of a region is not leaving, whoever
// owns its slots.
func (c *Core) hasUnmarked(service model.ServiceName, region model.RegionName) bool {
	return slices.ContainsFunc(c.deployment.EndpointsOf(service), func(endpoint model.Endpoint) bool {
		return c.deployment.RegionOf(endpoint.Zone()) == region && !c.leaving.has(endpoint.Name())
	})
}

// lend grants a loan of a slot that no queued request of this host can use and
// that it can spare. A loan lasts much longer than a request, so a host that
// lends most of its slots in a quiet moment makes its own callers wait later.
func (c *Core) lend(event LoanAsked, now time.Time) []Decision {
	if c.deployment == nil || c.leaving.has(event.Endpoint) {
		return nil
	}
	endpoint, exists := c.deployment.Endpoint(event.Endpoint)
	if !exists || c.services[endpoint.Service()].queue.Len() > 0 || !c.canSpare(endpoint.Service(), now) {
		return nil
	}
	loan, granted := c.ledger.Lend(event.Endpoint, event.Borrower, min(event.Duration, loanDuration), now)
	if !granted {
		return nil
	}
	return []Decision{GrantLoan{Number: event.Number, Loan: loan}}
}

// canSpare reports whether two thirds of the slots of a service stay free after
// one more loan. A host with one or two slots lends one while all are free.
func (c *Core) canSpare(service model.ServiceName, now time.Time) bool {
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

// borrow takes a loan into use.
func (c *Core) borrow(event LoanGranted, now time.Time) []Decision {
	sentAt, exists := c.asks.sentAt[event.Number]
	if !exists || !c.ledger.Borrow(event.Loan, sentAt, now) {
		return nil
	}
	return c.pumpAll(now)
}

// returnLoans gives back the borrowed slots that have not been used for a time.
func (c *Core) returnLoans(now time.Time) []Decision {
	var decisions []Decision
	for _, loan := range c.ledger.IdleLoans(now.Add(-loanLinger)) {
		if c.ledger.ReturnLoan(loan.ID) {
			decisions = append(decisions, ReturnLoan{Loan: loan.ID})
		}
	}
	return decisions
}

// announce tells the releases that have become possible since the last call,
// and gives back borrowed slots that are idle.
func (c *Core) announce(now time.Time) []Decision {
	decisions := c.returnLoans(now)
	if fresh := c.ledger.NewReleases(); len(fresh) > 0 {
		decisions = append(decisions, Announce{Releases: fresh})
	}
	return decisions
}
