package shift

import "filberthold/model"

const (
	// moveCost is the credit that one moved request costs. Each request earns the
	// cap in percent, so credit is an integer.
	moveCost = 100
	// maxCredit is the credit for 16 moves. Credit accumulates while few requests
	// move; the bound keeps a shift from starting with a burst into cold caches.
	maxCredit = 16 * moveCost
)

// Budget bounds the moved requests of one service, or of one plan, at a host:
// moved <= cap x total holds at all times unless the cap was lowered. As it holds
// at each host, it also holds for the sum over all hosts.
type Budget struct {
	capPercent int
	// credit is in 0..maxCredit.
	credit int
	total  uint64
	moved  uint64
}

// SetCap changes the cap. A lower cap clears the credit that was earned under
// the higher one.
func (b *Budget) SetCap(capPercent int) {
	if capPercent < b.capPercent {
		b.credit = 0
	}
	b.capPercent = capPercent
}

// CountRequest counts a request and adds its credit.
func (b *Budget) CountRequest() {
	b.total++
	b.credit = min(b.credit+b.capPercent, maxCredit)
}

// Allow spends credit to move a request that was counted. It returns false if
// there is not enough.
func (b *Budget) Allow() bool {
	if !b.canMove() {
		return false
	}
	b.credit -= moveCost
	b.moved++
	return true
}

func (b *Budget) canMove() bool { return b.credit >= moveCost }

// Total returns the number of requests.
func (b *Budget) Total() uint64 { return b.total }

// Moved returns the number of moved requests.
func (b *Budget) Moved() uint64 { return b.moved }

// Budgets holds the budgets of all services and plans at one host.
type Budgets struct {
	services map[model.ServiceName]*Budget
	plans    map[model.PlanName]*Budget
}

// NewBudgets returns budgets without credit.
func NewBudgets() *Budgets {
	return &Budgets{services: make(map[model.ServiceName]*Budget), plans: make(map[model.PlanName]*Budget)}
}

// SetCaps sets the caps of a deployment's services and plans.
func (b *Budgets) SetCaps(deployment *model.Deployment) {
	for _, service := range deployment.Services() {
		b.Service(service.Name()).SetCap(service.ShiftCapPercent())
	}
	for _, plan := range deployment.Plans() {
		b.plan(plan.Name()).SetCap(plan.CapPercent())
	}
}

// Service returns the budget of a service, which bounds all its shifts together.
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

// CountRequest counts a request in the budget of the service and in those of
// all plans that move requests of the service from the home region. It must be
// called once for each request.
func (b *Budgets) CountRequest(plans []model.Plan, service model.ServiceName, home model.RegionName) {
	b.Service(service).CountRequest()
	for _, plan := range plans {
		if plan.Service() == service && plan.From() == home {
			b.plan(plan.Name()).CountRequest()
		}
	}
}

// AllowPlan spends credit of the service and of the plan to move a request. It
// returns false if either has not enough.
func (b *Budgets) AllowPlan(plan model.Plan) bool {
	if !b.Service(plan.Service()).canMove() || !b.plan(plan.Name()).Allow() {
		return false
	}
	return b.Service(plan.Service()).Allow()
}

// AllowFailover spends credit of the service to move a request without a plan,
// because its home region cannot serve it. It returns false if there is not
// enough.
func (b *Budgets) AllowFailover(service model.ServiceName) bool {
	return b.Service(service).Allow()
}
