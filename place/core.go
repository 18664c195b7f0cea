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

// Core makes the placement decisions of one entry host. It is not safe for
// concurrent use.
type Core struct {
	host       model.HostName
	mode       config.PlacementMode
	random     *rand.Rand
	deployment *model.Deployment
	assignment *share.Assignment
	ledger     *share.Ledger
	// recheckAt is when queued requests that wait for a faster endpoint are
	// checked again, or the zero time.
	recheckAt    time.Time
	tracker      *score.Tracker
	shiftBudgets *shift.Budgets
	services     map[model.ServiceName]*serviceState
	// serviceNames holds the keys of services, sorted. A service stays after a
	// revision has removed it, because requests may still be queued for it.
	serviceNames []model.ServiceName
	// creditEndsAt is when the credit of retries and hedges is bounded to the bursts again.
	creditEndsAt time.Time
	// requests holds the requests that have neither been delivered nor
	// refused.
	requests map[RequestID]*openRequest
	// attempts holds the attempts whose end has not been reported. An attempt is
	// removed at its reportDeadline at the latest.
	attempts     map[AttemptID]*attemptState
	leaving      *leavingSet
	spare        spareTimes
	lastAttempt  AttemptID
	loanRequests *loanRequests
}

// serviceState holds the queue and the budgets of a service.
type serviceState struct {
	queue   *admit.Queue[RequestID]
	hedges  *score.Budget
	retries *score.Budget
	// nextIndex is the position of the baseline modes in the list of endpoints.
	nextIndex int
}

// openRequest is the state of a request that has neither been delivered nor
// refused.
type openRequest struct {
	request  Request
	class    model.Class
	attempts int
	// progressed counts the attempts of an export that made progress, by
	// Finished.Progress.
	progressed int
	inFlight   int
	// mayHaveRun is true if an attempt has ended or timed out without proof that the
	// upstream did not start the request.
	mayHaveRun bool
	// tried holds the endpoints to which the request has been sent.
	tried []model.EndpointName
	// region is the region whose endpoints serve the request, or "" for any.
	region model.RegionName
	// routeReason is the reason for the region, for the text of a decision.
	routeReason string
	// isMoved is true if shift budget has been spent for the request. It stays
	// true if the request is routed back to its home region.
	isMoved bool
	// hedgeAt is when a hedge is due, or the zero time.
	hedgeAt time.Time
	// isRetryPaid is true while the request waits for a retry that the budget has paid.
	isRetryPaid bool
}

// attemptState is the state of an attempt until its end is reported.
type attemptState struct {
	id       AttemptID
	request  RequestID
	endpoint model.EndpointName
	ticket   share.Ticket
	deadline time.Time
	// isCancelled is true if a Cancel for the attempt has been returned.
	isCancelled bool
}

const (
	// maxAttempts bounds the attempts of one request, retries and hedges
	// together.
	maxAttempts = 3
	// maxExportAttempts bounds the attempts of an export that made no progress.
	// It is higher than maxAttempts, because an attempt of an export resumes where
	// the previous one ended.
	maxExportAttempts = 8
	// reportMargin is how long after its deadline the end of an attempt may be
	// reported. After that the upstream has ended the request by its own clock. A
	// missing report must not keep the slot for ever.
	reportMargin = time.Second
)

// Option configures a Core.
type Option func(*Core)

// WithMode selects the placement policy. An empty mode is config.Steered.
func WithMode(mode config.PlacementMode) Option {
	return func(c *Core) { c.mode = cmp.Or(mode, config.Steered) }
}

// WithSeed seeds the random choices. The default seed is a hash of the host name,
// so hosts choose differently and a replay of a session gives the same decisions.
func WithSeed(seed uint64) Option {
	return func(c *Core) { c.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns a core for a host without a configuration.
func New(host model.HostName, options ...Option) *Core {
	core := &Core{
		host:         host,
		mode:         config.Steered,
		random:       rand.New(rand.NewPCG(seedOf(host), 0)),
		ledger:       share.NewLedger(host),
		tracker:      score.NewTracker(),
		shiftBudgets: shift.NewBudgets(),
		services:     make(map[model.ServiceName]*serviceState),
		requests:     make(map[RequestID]*openRequest),
		attempts:     make(map[AttemptID]*attemptState),
		leaving:      newLeavingSet(),
		spare:        make(spareTimes),
		loanRequests: newLoanRequests(),
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

// Apply applies an event that occurred at the time now, and returns the resulting
// decisions in order. Times must not decrease from call to call.
func (c *Core) Apply(event Event, now time.Time) []Decision {
	var decisions []Decision
	c.ledger.Expire(now)
	c.expireCredit(now)
	c.spare.expire(now)
	if !now.Before(c.recheckAt) {
		c.recheckAt = time.Time{}
	}
	switch event := event.(type) {
	case Arrived:
		return append(c.arrive(event.Request, now), c.sendAllQueued(now)...)
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
		c.tracker.RecordLoad(event.Endpoint, event.BusySlots)
		return nil
	case Responded:
		c.recordResponse(event, now)
		return nil
	}
	decisions = append(decisions, c.sendAllQueued(now)...)
	return append(decisions, c.announce(now)...)
}

// adopt puts a revision into force, unless the host has it or a newer one.
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
	c.shiftBudgets.SetCaps(event.Deployment)
	reserve := c.retryShare()
	if event.IsRestart {
		reserve = 0
	}
	for _, service := range event.Deployment.Services() {
		c.adoptService(service, isFirst, reserve)
	}
	c.limitCredit(now)
}

// assign computes the slot assignment of a revision.
func (c *Core) assign(deployment *model.Deployment) {
	if c.assignment == nil {
		c.assignment = share.Assign(deployment)
		return
	}
	c.assignment = c.assignment.ForRevision(deployment)
}

// adoptService adds or updates a service and its endpoints. A new service starts with a
// budget of reserve retries. Endpoints of the first revision have their full weight,
// without a slow start: the host is new, the endpoints are not.
func (c *Core) adoptService(service model.Service, isFirst bool, reserve int) {
	state := c.services[service.Name()]
	if state == nil {
		state = &serviceState{
			queue:   admit.NewQueue[RequestID](service.QueueLimit()),
			hedges:  score.NewBudget(score.HedgePercent, 0),
			retries: score.NewBudget(score.RetryPercent, reserve),
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
		c.tracker.Add(endpoint.Name(), service.Name(), slowStart)
	}
}
