package place

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"filberthold/admit"
	"filberthold/config"
	"filberthold/model"
	"filberthold/score"
	"filberthold/share"
	"filberthold/shift"
)

// Core decides for one entry host. It is not safe for concurrent use.
type Core struct {
	host       model.HostName
	mode       config.PlacementMode
	random     *rand.Rand
	deployment *model.Deployment
	assignment *share.Assignment
	ledger     *share.Ledger
	// recheckAt is when requests that wait for a faster endpoint are considered
	// again, or zero.
	recheckAt time.Time
	board     *score.Tracker
	accounts  *shift.Budgets
	services  map[model.ServiceName]*serviceState
	// serviceNames holds the keys of services in order. A service stays when a
	// revision drops it, because requests may still be queued for it.
	serviceNames []model.ServiceName
	// requests holds the requests that have neither been delivered nor
	// refused.
	requests map[RequestID]*pending
	// attempts holds the attempts whose end has not been reported and may
	// still be.
	attempts    map[AttemptID]*attempt
	leaving     *leavingSet
	nextAttempt AttemptID
	asks        *askBook
}

// serviceState is what the core keeps for each service.
type serviceState struct {
	queue   *admit.Queue[RequestID]
	hedges  *score.Budget
	retries *score.Budget
	// nextIndex is the position of the round robin baseline.
	nextIndex int
}

type pending struct {
	request  Request
	class    model.Class
	attempts int
	// progressed counts the attempts of an export that made progress.
	progressed int
	inFlight   int
	// isUncertain is true if an attempt has ended other than by not starting.
	isUncertain bool
	// tried holds the endpoints that got the request.
	tried []model.EndpointName
	// region is where the request is served, or "" for any region.
	region model.RegionName
	// route tells why it is served there.
	route string
	// isMoved is true if credit has been spent for the request. It stays true
	// if the request goes back to its home region.
	isMoved bool
	// hedgeAt is when a hedge is due, or zero.
	hedgeAt time.Time
}

type attempt struct {
	id       AttemptID
	request  RequestID
	endpoint model.EndpointName
	ticket   share.Ticket
	deadline time.Time
	// isCancelled is true if a Cancel has been decided.
	isCancelled bool
}

const (
	// maxAttempts bounds the attempts of one request, retries and hedges
	// together.
	maxAttempts = 3
	// maxExportAttempts bounds the attempts of an export that made no progress.
	// It is higher, because an export resumes where the attempt before it ended.
	maxExportAttempts = 8
	// retryReserve lets a service with few requests retry at all.
	retryReserve = 10
	// reportMargin is how long after its deadline the end of an attempt may be
	// reported. After it the upstream has ended the request by its own clock,
	// and a report that never comes must not keep the slot for ever.
	reportMargin = time.Second
)

// Option changes how a core decides.
type Option func(*Core)

// WithMode selects the placement policy. An empty mode is config.Steered.
func WithMode(mode config.PlacementMode) Option {
	return func(c *Core) { c.mode = cmp.Or(mode, config.Steered) }
}

// WithSeed seeds the random choices. By default the name of the host does, so
// that hosts differ and a replay of a session gives the same decisions.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns a core for a host without a configuration.
func New(host model.HostName, options ...Option) *Core {
	core := &Core{
		host:     host,
		mode:     config.Steered,
		random:   rand.New(rand.NewPCG(seedOf(host), 0)),
		ledger:   share.NewLedger(host),
		board:    score.NewTracker(),
		accounts: shift.NewBudgets(),
		services: make(map[model.ServiceName]*serviceState),
		requests: make(map[RequestID]*pending),
		attempts: make(map[AttemptID]*attempt),
		leaving:  newLeavingSet(),
		asks:     newAskBook(),
	}
	for _, option := range options {
		option(core)
	}
	return core
}

func seedOf(host model.HostName) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host))
	return hash.Sum64()
}

// Apply takes an event at a time and returns the decisions in order. Times
// must not decrease.
func (c *Core) Apply(event Event, now time.Time) []Decision {
	var decisions []Decision
	c.ledger.Expire(now)
	if !now.Before(c.recheckAt) {
		c.recheckAt = time.Time{}
	}
	switch event := event.(type) {
	case Arrived:
		return append(c.arrive(event.Request, now), c.pumpAll(now)...)
	case Abandoned:
		decisions = c.abandon(event.Request)
	case Finished:
		decisions = c.finish(event, now)
	case Adopted:
		c.adopt(event, now)
	case Marked:
		c.leaving.mark(event.Endpoint, event.Incarnation)
	case Unmarked:
		c.unmark(event)
	case ReleaseHeard:
		c.ledger.RecordRelease(event.Release)
	case LoanAsked:
		decisions = c.lend(event, now)
	case LoanGranted:
		decisions = c.borrow(event, now)
	case LoanReturned:
		c.ledger.Reclaim(event.Loan)
	case Ticked:
		decisions = c.tick(now)
	case LoadReported:
		c.board.RecordLoad(event.Endpoint, event.BusySlots)
		return nil
	case Responded:
		c.respond(event.Attempt, now)
		return nil
	}
	decisions = append(decisions, c.pumpAll(now)...)
	return append(decisions, c.announce(now)...)
}

func (c *Core) adopt(event Adopted, now time.Time) {
	if c.deployment != nil && event.Deployment.Revision() <= c.deployment.Revision() {
		return
	}
	isFirst := c.deployment == nil
	c.deployment = event.Deployment
	for _, skipped := range event.Skipped {
		c.assign(skipped)
		c.ledger.RecordOwners(c.assignment)
	}
	c.assign(event.Deployment)
	c.ledger.Adopt(c.assignment)
	if isFirst && now.Before(event.BusyUntil) {
		c.ledger.BlockUntil(event.BusyUntil)
	}
	c.accounts.SetCaps(event.Deployment)
	for _, service := range event.Deployment.Services() {
		c.adoptService(service, isFirst)
	}
}

func (c *Core) assign(deployment *model.Deployment) {
	if c.assignment == nil {
		c.assignment = share.Assign(deployment)
		return
	}
	c.assignment = c.assignment.ForRevision(deployment)
}

// adoptService makes a service and its endpoints known. Endpoints of the first
// revision have their full weight: the host is new, not they.
func (c *Core) adoptService(service model.Service, isFirst bool) {
	state := c.services[service.Name()]
	if state == nil {
		state = &serviceState{
			queue:   admit.NewQueue[RequestID](service.QueueLimit()),
			hedges:  score.NewBudget(score.HedgePercent, 0),
			retries: score.NewBudget(score.RetryPercent, retryReserve),
		}
		c.services[service.Name()] = state
		c.serviceNames = append(c.serviceNames, service.Name())
		slices.Sort(c.serviceNames)
	}
	state.queue.SetLimit(service.QueueLimit())
	slowStart := service.SlowStart()
	if isFirst {
		slowStart = 0
	}
	for _, endpoint := range c.deployment.EndpointsOf(service.Name()) {
		c.board.Add(endpoint.Name(), service.Name(), slowStart)
	}
}
