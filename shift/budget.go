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

// Budget bounds the moved requests of one service, or of one plan, at a host:
// moved <= cap x total holds at all times. As it holds at each host, it holds
// in the sum.
type Budget struct {
	capPercent int
	// credit is in 0..maxCredit.
	credit int
	total  uint64
	moved  uint64
}

// SetCap changes the cap. A lower cap voids the credit earned under a higher
// one.
func (b *Budget) SetCap(capPercent int) {
	if capPercent < b.capPercent {
		b.credit = 0
	}
	b.capPercent = capPercent
}

// CountRequest counts a request, which earns credit.
func (b *Budget) CountRequest() {
	b.total++
	b.credit = min(b.credit+b.capPercent, maxCredit)
}

// Allow moves a request that has arrived, if there is credit for it.
func (b *Budget) Allow() bool {
	if !b.canMove() {
		return false
	}
	b.credit -= price
	b.moved++
	return true
}

func (b *Budget) canMove() bool { return b.credit >= price }

// Total returns the number of requests.
func (b *Budget) Total() uint64 { return b.total }

// Moved returns the number of moved requests.
func (b *Budget) Moved() uint64 { return b.moved }

// Budgets holds the accounts of all services and plans at one host.
type Budgets struct {
	services map[model.ServiceName]*Budget
	plans    map[model.PlanName]*Budget
}

// NewBudgets returns accounts without credit.
func NewBudgets() *Budgets {
	return &Budgets{services: make(map[model.ServiceName]*Budget), plans: make(map[model.PlanName]*Budget)}
}

// SetCaps sets the caps of a revision.
func (b *Budgets) SetCaps(deployment *model.Deployment) {
	for _, service := range deployment.Services() {
		b.Service(service.Name()).SetCap(service.ShiftCapPercent())
	}
	for _, plan := range deployment.Plans() {
		b.plan(plan.Name()).SetCap(plan.CapPercent())
	}
}

// Service returns the account of a service for all shifts together.
func (b *Budgets) Service(name model.ServiceName) *Budget {
	if b.services[name] == nil {
		b.services[name] = &Budget{}
	}
	return b.services[name]
}

func (b *Budgets) plan(name model.PlanName) *Budget {
	if b.plans[name] == nil {
		b.plans[name] = &Budget{}
	}
	return b.plans[name]
}

// CountRequest counts a request of a service with a home region, once.
func (b *Budgets) CountRequest(plans []model.Plan, service model.ServiceName, home model.RegionName) {
	b.Service(service).CountRequest()
	for _, plan := range plans {
		if plan.Service() == service && plan.From() == home {
			b.plan(plan.Name()).CountRequest()
		}
	}
}

// AllowPlan moves a request under a plan, if both the account of the service
// and that of the plan have credit.
func (b *Budgets) AllowPlan(plan model.Plan) bool {
	if !b.Service(plan.Service()).canMove() || !b.plan(plan.Name()).Allow() {
		return false
	}
	return b.Service(plan.Service()).Allow()
}

// AllowFailover moves a request without a plan, because its home region cannot
// serve it. It spends from the account that all shifts of the service share.
func (b *Budgets) AllowFailover(service model.ServiceName) bool {
	return b.Service(service).Allow()
}
