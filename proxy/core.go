// Package proxy forwards callers' requests to endpoints. Package steer selects
// the endpoint and package route the service; this package sends the request,
// retries it where that is allowed and copies the response.
package proxy

import (
	"sync"
	"time"

	"filberthold/model"
	"filberthold/orgs"
	"filberthold/roster"
	"filberthold/route"
	"filberthold/score"
	"filberthold/steer"
)

// Core holds the configuration, the endpoints, the retry budgets and the
// waiting requests of a host, and selects the endpoints of its requests. It is
// safe for concurrent use. Only chooseOrWait waits.
type Core struct {
	mu     sync.Mutex
	config *route.Config
	// withdrawals are the keys that newer configurations withdrew.
	withdrawals orgs.Withdrawals
	roster      *roster.Roster
	selector    *steer.Selector
	splitter    *route.Splitter
	budgets     map[model.ServiceName]*score.Budget
	retryLimit  RetryLimit
	retryHosts  sharingHosts
	// retriesFrom is the time from which retries may be sent, or zero. Those of several
	// earlier runs of the host may arrive until then, or the host does not know its runs.
	retriesFrom time.Time
	// retryUses counts what was done with the credit of each service.
	retryUses map[model.ServiceName]*retryUse
	// requestRates counts the recent requests to each service.
	requestRates map[model.ServiceName]*requestRate
	// retriesInFlight counts the retries to each service whose attempts have not ended.
	retriesInFlight map[model.ServiceName]int
	// unanswered holds the retries to each service that have ended and may still arrive.
	unanswered map[model.ServiceName][]unansweredRetry
	// peerRetries are those of other hosts that may still arrive.
	peerRetries peerRetries
	services    []model.ServiceName
	// selectorRevision is the roster revision that the selector was updated to.
	selectorRevision uint64
	// isSelectorOutdated is true if the selector was not yet updated to config or to
	// the notice of an endpoint.
	isSelectorOutdated bool
	waiting            waitingRequests
	// endpointsLoaded is true after the entries were read for the first time.
	endpointsLoaded bool
	// permits connects this host with the owners of limited endpoints. It is set
	// before the first request.
	permits Permits
	// quotas is nil where no quotas are in force. It is set before the first configuration.
	quotas *quotas
}

// NewCore returns the core of a host without configuration and endpoints. A
// retry limit without a positive ratio is replaced by DefaultRetryLimit.
func NewCore(host model.HostName, zone model.ZoneName, regions map[model.ZoneName]model.RegionName, retryLimit RetryLimit) *Core {
	if retryLimit.Ratio <= 0 {
		retryLimit = DefaultRetryLimit()
	}
	selector := steer.New(host, zone, regions)
	core := &Core{
		roster: roster.New(regions), selector: selector,
		waiting: newWaitingRequests(selector), splitter: route.NewSplitter(), budgets: make(map[model.ServiceName]*score.Budget),
		retryLimit: retryLimit, retryHosts: newSharingHosts(time.Now()),
		retryUses: make(map[model.ServiceName]*retryUse), requestRates: make(map[model.ServiceName]*requestRate), retriesInFlight: make(map[model.ServiceName]int),
		unanswered: make(map[model.ServiceName][]unansweredRetry), peerRetries: newPeerRetries(),
		retriesFrom: time.Now().Add(earlierRetryTime),
	}
	selector.UseCosts(core.waiting.isQueued)
	return core
}

// SetConfig puts a configuration into force and returns true. It ignores one
// whose version is not newer than the one in force and returns false.
func (c *Core) SetConfig(config *route.Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil && config.Version() <= c.config.Version() {
		return false
	}
	c.withdrawals.Record(c.config, config)
	c.config = config
	c.services = config.Services()
	c.waiting.setConfig(config)
	for _, name := range c.services {
		if c.budgets[name] == nil {
			// Hosts that are started again and again would have a reserve each time.
			c.budgets[name] = score.NewBudget(c.retryLimit.percent(), 0)
			c.limitBurst(name, time.Now())
		}
	}
	c.isSelectorOutdated = true
	c.quotas.setLimits(config)
	return true
}

// Config returns the configuration in force, or nil.
func (c *Core) Config() *route.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// IsReady reports whether the host has a configuration and has read the
// endpoints, which it needs to accept requests.
func (c *Core) IsReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config != nil && c.endpointsLoaded
}

// SetEvacuated replaces the set of evacuated availability zones and reports
// whether the set changed.
func (c *Core) SetEvacuated(zones []model.ZoneName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.SetEvacuated(zones)
}

// MarkEndpointsLoaded records that the endpoints were read.
func (c *Core) MarkEndpointsLoaded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointsLoaded = true
}

// ApplyEntry applies one entry to the roster.
func (c *Core) ApplyEntry(entry roster.Entry) roster.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	change := c.roster.Apply(entry, now)
	if change == roster.Added || change == roster.Left {
		c.dropEndedRetries(entry.Endpoint, entry.Incarnation, now)
	}
	return change
}

// RemoveEntry applies the removal of an entry. The endpoint stays usable until
// graceUntil, because it may write its entry again.
func (c *Core) RemoveEntry(name model.EndpointName, graceUntil time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Remove(name, time.Now(), graceUntil)
}

// Removals returns the removals of entries that the host remembers.
func (c *Core) Removals() []roster.Removal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Removals(time.Now())
}

// ApplyRemovals applies removals that another host remembers.
func (c *Core) ApplyRemovals(removals []roster.Removal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, removal := range removals {
		c.roster.ApplyRemoval(removal, now)
	}
}

// ApplyReturned applies the entry of a removed endpoint from a store that returned from
// an older copy.
func (c *Core) ApplyReturned(entry roster.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roster.ApplyReturned(entry, time.Now())
}

// Expire removes the endpoints whose entries were not written again within
// their grace period, and returns them.
func (c *Core) Expire() []model.EndpointName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Expire(time.Now())
}

// SetHosts replaces the entry hosts that are alive, and returns what this changes in
// the retry limit.
func (c *Core) SetHosts(hosts map[model.RegionName][]model.HostName) RetryLimitChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.SetHosts(hosts, time.Now())
	count := 0
	for _, names := range hosts {
		count += len(names)
	}
	now := time.Now()
	before := c.retryState(now)
	c.dropExpiredRetries(now)
	if c.retryHosts.observe(count, now) {
		c.limitBursts(now)
	}
	c.quotas.setHosts(c.retryHosts.count, !now.Before(c.retryHosts.knownAt))
	return RetryLimitChange{before: before, after: c.retryState(now)}
}

// SetNamedHosts sets the number of hosts that the store names, including this one, and
// returns what this changes in the retry limit. They share it, also those that this host
// does not hear.
func (c *Core) SetNamedHosts(count int) RetryLimitChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	before := c.retryState(now)
	if c.retryHosts.observeNamed(count, now) {
		c.limitBursts(now)
	}
	c.quotas.setHosts(c.retryHosts.count, !now.Before(c.retryHosts.knownAt))
	return RetryLimitChange{before: before, after: c.retryState(now), isNamed: true}
}

// retryBurst returns the number of retries to a service that this host may accumulate.
func (c *Core) retryBurst(now time.Time) int {
	return c.retryLimit.burst(c.retryHosts.number(now))
}

// limitBursts applies a change of the hosts that share the retry limit.
func (c *Core) limitBursts(now time.Time) {
	for service := range c.budgets {
		c.limitBurst(service, now)
	}
}

// Loads returns this host's load report for other hosts: the counts that
// changed since the last report, or all counts if isFull is true.
func (c *Core) Loads(isFull bool) []steer.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSelector()
	return c.selector.Loads(isFull)
}

// ApplyLoads applies the load report of another host.
func (c *Core) ApplyLoads(host model.HostName, loads []steer.Load, isFull bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.updateSelector()
	c.selector.ApplyLoads(host, loads, isFull, now)
	c.waiting.admit(now)
}

// updateSelector passes changes to the selector before it is used. It does not
// run after every change, because reading the whole table changes every
// endpoint and each update iterates over all of them.
func (c *Core) updateSelector() {
	now := time.Now()
	if c.config == nil || c.isSelectorCurrent() && !c.selector.HasClearedNotices(now) {
		return
	}
	c.selectorRevision, c.isSelectorOutdated = c.roster.Revision(), false
	c.selector.Update(c.config, c.roster, c.services, now)
}

// isSelectorCurrent reports whether the selector was updated to the configuration and the
// endpoints.
func (c *Core) isSelectorCurrent() bool {
	return !c.isSelectorOutdated && c.roster.Revision() == c.selectorRevision
}

// pickService returns the service of the next request of a route and counts
// the request in its retry budget.
func (c *Core) pickService(version uint64, matchedRoute route.Route) model.ServiceName {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := c.splitter.Pick(version, matchedRoute)
	c.earnRetry(service)
	return service
}

// choose selects the endpoint of a request. A retry needs and spends retry budget, unless
// nothing of the request was sent before.
func (c *Core) choose(query steer.Query) steer.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSelector()
	if reason, isAllowed := c.canRetry(query); !isAllowed {
		c.retryUse(query.Service).countRejected(reason)
		return steer.Reject{Reason: reason, RetryAfter: max(budgetRetryAfter, c.selector.MinRetryAfter(query, time.Now()))}
	}
	decision := c.waiting.choose(query, time.Now())
	// Other retries may be chosen while this one waits for a permit, so its credit is
	// spent now.
	if _, isSend := decision.(steer.Send); isSend && query.IsRepeat() {
		c.sendRetry(query.Service)
		c.retryUse(query.Service).chosen++
	}
	return decision
}

// refundUnsentRetry gives the credit of a retry back that was chosen and is not sent, and
// counts that. First arrivals cost none. c.mu is held.
func (c *Core) refundUnsentRetry(query steer.Query) {
	if query.IsRepeat() {
		c.refundRetry(query.Service)
		c.retryUse(query.Service).refunded++
	}
}

// budgetRetryAfter is the Retry-After of a request that needs a retry while the
// budget is used up or too many retries may still arrive.
const budgetRetryAfter = 500 * time.Millisecond

// The reasons for which a retry is rejected.
const (
	noRetryCredit      = "the retry budget is used up"
	tooManyOutstanding = "too many retries may still arrive"
)

// canRetry reports whether a query may be sent, if it is a retry, or why not.
func (c *Core) canRetry(query steer.Query) (string, bool) {
	if !query.IsRepeat() {
		return "", true
	}
	if budget := c.budgets[query.Service]; budget == nil || !budget.CanSpend() {
		return noRetryCredit, false
	}
	if now := time.Now(); now.Before(c.retriesFrom) || c.hasTooManyOutstanding(query.Service, now) {
		return tooManyOutstanding, false
	}
	return "", true
}

// recordOutcome records the end of an attempt and admits waiting requests. If
// the endpoint has stopped, it is evicted from the roster. It reports whether the
// endpoint's limit changed, and tells the endpoint's owner of the change.
func (c *Core) recordOutcome(outcome steer.Outcome, isEndpointGone bool) bool {
	limitChanged := c.applyOutcome(outcome, isEndpointGone)
	if limitChanged {
		c.tellOwner(outcome.Endpoint)
	}
	return limitChanged
}

func (c *Core) applyOutcome(outcome steer.Outcome, isEndpointGone bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	limitChanged := c.selector.Done(outcome, now)
	if isEndpointGone {
		c.roster.Evict(outcome.Endpoint, now)
	}
	c.updateSelector()
	c.waiting.admit(now)
	return limitChanged
}
