// Package proxy carries requests of callers to endpoints: it asks the pure
// decision packages where a request goes and what becomes of its result, and
// moves the bytes.
package proxy

import (
	"sync"
	"time"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"
	"filberthold/score"
	"filberthold/steer"
)

// RetryLimit bounds the second sends of all hosts together to a service.
type RetryLimit struct {
	// Ratio is the part of the service's requests, and Slack the number on top.
	Ratio float64
	Slack float64
}

// DefaultRetryLimit is used if the settings give none.
func DefaultRetryLimit() RetryLimit { return RetryLimit{Ratio: 0.2, Slack: 60} }

// ownPart is the part of the ratio that a host uses of the requests that it
// has seen itself. The rest leaves room for requests that move between hosts
// and for what the hosts have saved up.
const ownPart = 0.5

// percent returns the percentage of its requests that a host may send a second
// time.
func (l RetryLimit) percent() int { return max(1, int(l.Ratio*ownPart*100)) }

// savings returns the second sends that each of a number of hosts may save up.
func (l RetryLimit) savings(hosts int) int { return int(l.Slack) / max(1, hosts) }

// Core joins what a host knows with its decisions. It is safe for concurrent
// use; nothing in it waits.
type Core struct {
	mu       sync.Mutex
	config   *route.Config
	roster   *roster.Roster
	steerer  *steer.Selector
	splitter *route.Splitter
	budgets  map[model.ServiceName]*score.Budget
	retries  RetryLimit
	// hosts is the number of live hosts, this one included.
	hosts    int
	services []model.ServiceName
	// steered is the revision of the roster that the steerer has.
	steered uint64
	// hasNewConfig is true if the steerer does not have the configuration.
	hasNewConfig bool
	waitlist     *steer.Waitlist
	// waiters hold where a waiting request learns of its endpoint.
	waiters map[steer.Ticket]chan steer.Send
	// hasEndpoints is true after the first reading of the entries.
	hasEndpoints bool
}

// NewCore returns the core of a host that knows nothing yet.
func NewCore(host model.HostName, zone model.ZoneName, regions map[model.ZoneName]model.RegionName, retries RetryLimit) *Core {
	if retries.Ratio <= 0 {
		retries = DefaultRetryLimit()
	}
	steerer := steer.New(host, zone, regions)
	return &Core{
		roster: roster.New(regions), steerer: steerer,
		waitlist: steer.NewWaitlist(steerer, maxWaiting), waiters: make(map[steer.Ticket]chan steer.Send),
		splitter: route.NewSplitter(), budgets: make(map[model.ServiceName]*score.Budget),
		retries: retries, hosts: 1,
	}
}

// SetConfig puts a configuration into force unless a newer one is. It reports
// whether it did.
func (c *Core) SetConfig(config *route.Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil && config.Version() <= c.config.Version() {
		return false
	}
	c.config = config
	c.services = config.Services()
	for _, name := range c.services {
		if c.budgets[name] == nil {
			c.budgets[name] = score.NewBudget(c.retries.percent(), 1)
			c.budgets[name].LimitBurst(c.retries.savings(c.hosts))
		}
	}
	c.hasNewConfig = true
	return true
}

// Config returns the configuration in force, or nil.
func (c *Core) Config() *route.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// IsReady reports whether the host knows enough to take requests.
func (c *Core) IsReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config != nil && c.hasEndpoints
}

// SetEvacuated replaces the set of evacuated availability zones.
func (c *Core) SetEvacuated(zones []model.ZoneName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.SetEvacuated(zones)
}

// MarkEndpointsLoaded notes that the endpoints were read.
func (c *Core) MarkEndpointsLoaded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasEndpoints = true
}

// ApplyEntry takes in one entry.
func (c *Core) ApplyEntry(entry roster.Entry) roster.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Apply(entry, time.Now())
}

// RemoveEntry takes in that an entry was removed. The endpoint stays usable
// until doubtUntil, because its entry may come back.
func (c *Core) RemoveEntry(name model.EndpointName, doubtUntil time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Remove(name, time.Now(), doubtUntil)
}

// Expire drops endpoints whose entries did not come back, and returns them.
func (c *Core) Expire() []model.EndpointName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Expire(time.Now())
}

// SetHosts replaces the live entry hosts.
func (c *Core) SetHosts(hosts map[model.RegionName][]model.HostName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steerer.SetHosts(hosts)
	count := 0
	for _, names := range hosts {
		count += len(names)
	}
	if count == c.hosts {
		return
	}
	c.hosts = count
	for _, budget := range c.budgets {
		budget.LimitBurst(c.retries.savings(count))
	}
}

// Loads returns what other hosts have to know of this host's requests.
func (c *Core) Loads(isFull bool) []steer.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.steerer.Loads(isFull)
}

// ApplyLoads takes in what another host said of its requests.
func (c *Core) ApplyLoads(host model.HostName, loads []steer.Load, isFull bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.refresh()
	c.steerer.ApplyLoads(host, loads, isFull, now)
	c.serveWaiting(now)
}

// refresh hands changes to the steerer before it is used. A reading of the
// whole table changes every endpoint, and each update walks through all.
func (c *Core) refresh() {
	if c.config == nil || (!c.hasNewConfig && c.roster.Revision() == c.steered) {
		return
	}
	c.steered, c.hasNewConfig = c.roster.Revision(), false
	c.steerer.Update(c.config, c.roster, c.services)
}

// pickService returns the service of the next request of a route and counts
// the request in its retry budget.
func (c *Core) pickService(version uint64, picked route.Route) model.ServiceName {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := c.splitter.Pick(version, picked)
	if budget := c.budgets[service]; budget != nil {
		budget.Earn()
	}
	return service
}

func (c *Core) choose(query steer.Query) steer.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(query.Tried) > 0 && !c.mayRetry(query) {
		return steer.Reject{Reason: "the retry budget is used up", RetryAfter: budgetPause}
	}
	c.refresh()
	decision := c.steerer.Choose(query, time.Now())
	if _, isSent := decision.(steer.Send); isSent && len(query.Tried) > 0 {
		c.budgets[query.Service].Spend()
	}
	return decision
}

// budgetPause is the Retry-After of a request that would need a retry while
// the budget is used up.
const budgetPause = 500 * time.Millisecond

func (c *Core) mayRetry(query steer.Query) bool {
	budget := c.budgets[query.Service]
	return budget != nil && budget.CanSpend()
}

func (c *Core) done(outcome steer.Outcome, isGone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.steerer.Done(outcome, now)
	if isGone {
		c.roster.MarkGone(outcome.Endpoint, now)
	}
	c.refresh()
	c.serveWaiting(now)
}
