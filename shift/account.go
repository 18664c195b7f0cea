package shift

import "filberthold/model"

const (
	// price is the credit that one moved request costs. A request earns one
	// for each percent of the cap, so that the account stays integral.
	price = 100
	// maxCredit bounds the moves that a quiet time saves up to 16, so that a
	// shift does not start with a burst that meets cold caches.
	maxCredit = 16 * price
)

// Account bounds the moved requests of one service, or of one plan, at a host:
// moved <= cap x total holds at all times. As it holds at each host, it holds
// in the sum.
type Account struct {
	capPercent int
	// credit is in 0..maxCredit.
	credit int
	total  uint64
	moved  uint64
}

// SetCap changes the cap. A lower cap voids the credit earned under a higher
// one.
func (a *Account) SetCap(capPercent int) {
	if capPercent < a.capPercent {
		a.credit = 0
	}
	a.capPercent = capPercent
}

// Arrive counts a request, which earns credit.
func (a *Account) Arrive() {
	a.total++
	a.credit = min(a.credit+a.capPercent, maxCredit)
}

// Allow moves a request that has arrived, if there is credit for it.
func (a *Account) Allow() bool {
	if !a.canMove() {
		return false
	}
	a.credit -= price
	a.moved++
	return true
}

func (a *Account) canMove() bool { return a.credit >= price }

// Total returns the number of requests.
func (a *Account) Total() uint64 { return a.total }

// Moved returns the number of moved requests.
func (a *Account) Moved() uint64 { return a.moved }

// Accounts holds the accounts of all services and plans at one host.
type Accounts struct {
	services map[model.ServiceName]*Account
	plans    map[model.PlanName]*Account
}

// NewAccounts returns accounts without credit.
func NewAccounts() *Accounts {
	return &Accounts{services: make(map[model.ServiceName]*Account), plans: make(map[model.PlanName]*Account)}
}

// Adopt sets the caps of a revision.
func (a *Accounts) Adopt(deployment *model.Deployment) {
	for _, service := range deployment.Services() {
		a.Service(service.Name()).SetCap(service.ShiftCapPercent())
	}
	for _, plan := range deployment.Plans() {
		a.plan(plan.Name()).SetCap(plan.CapPercent())
	}
}

// Service returns the account of a service for all shifts together.
func (a *Accounts) Service(name model.ServiceName) *Account {
	if a.services[name] == nil {
		a.services[name] = &Account{}
	}
	return a.services[name]
}

func (a *Accounts) plan(name model.PlanName) *Account {
	if a.plans[name] == nil {
		a.plans[name] = &Account{}
	}
	return a.plans[name]
}

// Arrive counts a request of a service with a home region, once.
func (a *Accounts) Arrive(plans []model.Plan, service model.ServiceName, home model.RegionName) {
	a.Service(service).Arrive()
	for _, plan := range plans {
		if plan.Service() == service && plan.From() == home {
			a.plan(plan.Name()).Arrive()
		}
	}
}

// AllowPlan moves a request under a plan, if both the account of the service
// and that of the plan have credit.
func (a *Accounts) AllowPlan(plan model.Plan) bool {
	if !a.Service(plan.Service()).canMove() || !a.plan(plan.Name()).Allow() {
		return false
	}
	return a.Service(plan.Service()).Allow()
}

// AllowFailover moves a request without a plan, because its home region cannot
// serve it. It spends from the account that all shifts of the service share.
func (a *Accounts) AllowFailover(service model.ServiceName) bool {
	return a.Service(service).Allow()
}
