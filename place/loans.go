package place

import (
	"maps"
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
	b.last++
	b.sentAt[b.last] = now
	b.nextAt[endpoint] = now.Add(askInterval)
	return b.last
}

// askLoan asks for a slot at an endpoint that a request could use. Only a
// request that ends before the loan does can use it.
func (c *Core) askLoan(waiting *pending, now time.Time) []Decision {
	remaining := waiting.request.Deadline.Sub(now) + loanSlack
	if remaining > loanDuration {
		return nil
	}
	for _, endpoint := range c.inRegion(waiting) {
		name := endpoint.Name()
		if c.leaving.has(name) || c.board.IsFailing(name, now) || now.Before(c.asks.nextAt[name]) {
			continue
		}
		owners := c.ledger.OtherOwners(name)
		if len(owners) == 0 {
			continue
		}
		return []Decision{AskLoan{Number: c.asks.add(name, now), Endpoint: name, Owners: owners, Duration: loanDuration}}
	}
	return nil
}

// lend grants a loan of a slot that no queued request of this host can use.
func (c *Core) lend(event LoanAsked, now time.Time) []Decision {
	if c.deployment == nil || c.leaving.has(event.Endpoint) {
		return nil
	}
	endpoint, exists := c.deployment.Endpoint(event.Endpoint)
	if !exists || c.services[endpoint.Service()].queue.Len() > 0 {
		return nil
	}
	loan, granted := c.ledger.Lend(event.Endpoint, event.Borrower, min(event.Duration, loanDuration), now)
	if !granted {
		return nil
	}
	return []Decision{GrantLoan{Number: event.Number, Loan: loan}}
}

// borrow takes a loan into use. Apply gives it back if nothing waits for it.
func (c *Core) borrow(event LoanGranted, now time.Time) []Decision {
	sentAt, exists := c.asks.sentAt[event.Number]
	if !exists || !c.ledger.Borrow(event.Loan, sentAt, now) {
		return nil
	}
	return c.pumpAll(now)
}

// returnLoans gives back the borrowed slots that are not in use.
func (c *Core) returnLoans() []Decision {
	var decisions []Decision
	for _, loan := range c.ledger.Borrowed() {
		if c.ledger.GiveBack(loan.ID) {
			decisions = append(decisions, ReturnLoan{Loan: loan.ID})
		}
	}
	return decisions
}

// announce tells the releases that have become possible since the last call,
// and gives back borrowed slots whose request has ended.
func (c *Core) announce() []Decision {
	decisions := c.returnLoans()
	if fresh := c.ledger.NewReleases(); len(fresh) > 0 {
		decisions = append(decisions, Announce{Releases: fresh})
	}
	return decisions
}
