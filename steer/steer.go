// Package steer chooses the endpoint for a request. Requests for an object go to
// the same endpoints, which are faster with objects that they have handled
// recently, unless another endpoint is expected to respond sooner. The package
// is pure: it has no clock, goroutines or I/O.
package steer

import (
	"time"

	"filberthold/costs"
	"filberthold/hashes"
	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"
	"filberthold/score"
)

const (
	// defaultMedian is the assumed median response time of a service until
	// enough responses were observed.
	defaultMedian = 300 * time.Millisecond
	// maxEndpointQueue is how many requests may wait at an endpoint beyond its
	// slots. With more, their wait alone exceeds the latency objective.
	maxEndpointQueue = 2
	// maxAffinityEndpoints is how many available endpoints of its ranking an
	// object may use. An endpoint caches a limited number of objects. If objects
	// spread over all endpoints under load, they evict each other from the caches,
	// every request becomes slow, and the overload outlasts its cause.
	maxAffinityEndpoints = 2
	// idleFraction is the load, as a fraction of its slots, from which an endpoint
	// gets no more requests for objects that prefer another available endpoint.
	idleFraction = 0.5
	// minRetryAfter is the least Retry-After of a request that is rejected because
	// every endpoint is full. A slot becomes free in about this time.
	minRetryAfter = 300 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After of a request for whose service no
	// endpoint is known. A host knows a new endpoint about a second after the endpoint
	// has registered.
	noEndpointRetryAfter = time.Second
	// crossRegionDelay and crossZoneDelay are the network delays that are added to
	// the expected time of an endpoint in another region or availability zone.
	crossRegionDelay = 60 * time.Millisecond
	crossZoneDelay   = 6 * time.Millisecond
)

// affinityFactor is the expected execution time of a request at the endpoint
// with the given rank for its object, relative to an endpoint that has not
// cached the object.
func affinityFactor(rank int) float64 {
	if rank == 0 {
		return 0.3
	}
	return 0.9
}

// Query is a request that needs an endpoint.
type Query struct {
	Service model.ServiceName
	// Object is the key for affinity, or empty. Requests without affinity are
	// distributed by AttemptID.
	Object    string
	AttemptID string
	// Method is the request method, and SizeClass that of its body. Costs are learned by them.
	Method    string
	SizeClass SizeClass
	Route     route.Route
	// Organisation is that of the caller, or the zero value.
	Organisation route.Organisation
	// Tried holds the endpoints that were chosen for the request before.
	Tried []model.EndpointName
	// IsUnsent is true if nothing of the request was sent to any of them, so that the next
	// attempt is the first one that can arrive.
	IsUnsent bool
	// HasWaited is true if an earlier choice for the query found every endpoint
	// full.
	HasWaited bool
	// IsOverloaded is true while requests for the service wait for slots most of the time.
	// Objects then spread less over endpoints.
	IsOverloaded bool
	// Yield is the number of places in the queue of each endpoint that the query leaves to
	// others.
	Yield int
}

// IsRepeat reports whether an attempt would arrive beyond the first one of its request.
func (q Query) IsRepeat() bool { return len(q.Tried) > 0 && !q.IsUnsent }

// AllowsRegion reports whether a region may handle the request: both its route and its
// organisation must allow it.
func (q Query) AllowsRegion(region model.RegionName) bool {
	return q.Route.AllowsRegion(region) && q.Organisation.AllowsRegion(region)
}

// Decision is the result of Choose: a Send or a Reject.
type Decision interface{ isDecision() }

// Send means that the request goes to an endpoint.
type Send struct {
	Endpoint roster.Endpoint
	// Rank is the endpoint's rank for the object; 0 is the preferred endpoint.
	Rank int
	// Load is the number of requests expected at the endpoint, without this one.
	Load float64
	// Candidates is the number of endpoints that could have been chosen.
	Candidates int
	// Permit is the request for the permit without which the request must not be
	// sent.
	Permit PermitRequest
	// Work is what is expected of the request. Its Outcome must carry it.
	Work Work
}

// Reject means that no endpoint can accept the request now.
type Reject struct {
	Reason     string
	RetryAfter time.Duration
	// IsFull is true if a slot may become free soon.
	IsFull bool
	// MinRetryAfter is the time before which no endpoint can take the request, although
	// slots are free, or 0.
	MinRetryAfter time.Duration
	// Backlog is what decided the rejection, if requests for the service wait in order.
	Backlog Backlog
}

func (Send) isDecision()   {}
func (Reject) isDecision() {}

// Selector chooses endpoints for the requests of one host. It is not safe for
// concurrent use.
type Selector struct {
	host    model.HostName
	zone    model.ZoneName
	region  model.RegionName
	regions map[model.ZoneName]model.RegionName

	endpoints map[model.EndpointName]*endpoint
	byID      map[EndpointID]*endpoint
	services  map[model.ServiceName]*serviceState
	// loadsByHost holds the request counts that other hosts reported.
	loadsByHost map[model.HostName]*hostLoads
	// hosts are the entry hosts that are alive, by region. One of them owns each
	// endpoint.
	hosts map[model.RegionName][]model.HostName
	// gone holds the hosts that were alive within the last maxSuccession.
	gone map[model.HostName]goneHost
	// notices holds what endpoints said of themselves, also of those that are not in
	// endpoints.
	notices map[model.EndpointName]*notice
	// noticesUnclearUntil is the time until which one of the notices may count for an
	// incarnation to which the request was not sent, or zero if none does.
	noticesUnclearUntil time.Time
	// ranking is reused by each choice to save allocations.
	ranking ranking
	// spillCredit is the credit for spillover to other regions than planned.
	spillCredit float64
	// usesCosts reports whether the costs of a service's requests are learned, or is nil.
	usesCosts func(model.ServiceName) bool
	// currentRequest and estimates are those of the query for which an endpoint is chosen.
	currentRequest costs.Request
	estimates      costs.Estimates
	// lastWork is the number of the latest Work.
	lastWork uint64
}

// serviceState holds the usable endpoints of a service, the planned flows between
// regions and the observed response times.
type serviceState struct {
	endpoints []*endpoint
	byRegion  map[model.RegionName][]*endpoint
	// inZone are the endpoints in the host's availability zone.
	inZone []*endpoint
	flows  Flows
	// slotFlows are those of requests that the plan sends to none of their regions.
	slotFlows []Flow
	latencies score.LatencyWindow
	// holdTime is the mean time for which recent requests held their slots, or 0.
	holdTime time.Duration
	// coldRate is the number of requests per second that a cold endpoint may get.
	coldRate float64
	// costs is nil if the costs of the requests are not learned.
	costs *costs.Model
	// meanRatio is the decayed mean of the logarithm of the ratio of the time that requests
	// take to what is expected.
	meanRatio float64
}

// New returns a selector for a host.
func New(host model.HostName, zone model.ZoneName, regions map[model.ZoneName]model.RegionName) *Selector {
	return &Selector{
		host: host, zone: zone, region: regions[zone], regions: regions,
		endpoints:   make(map[model.EndpointName]*endpoint),
		byID:        make(map[EndpointID]*endpoint),
		services:    make(map[model.ServiceName]*serviceState),
		loadsByHost: make(map[model.HostName]*hostLoads),
		notices:     make(map[model.EndpointName]*notice),
		gone:        make(map[model.HostName]goneHost),
		hosts:       map[model.RegionName][]model.HostName{regions[zone]: {host}},
	}
}

// Update applies the usable endpoints of the named services from the roster, without
// those that have said that they are leaving. An endpoint that is no longer usable is
// removed after its last request has ended.
func (s *Selector) Update(config *route.Config, endpointRoster *roster.Roster, names []model.ServiceName, now time.Time) {
	present := make(map[model.EndpointName]bool)
	for _, name := range names {
		s.updateService(config, name, endpointRoster.Endpoints(name), present, now)
	}
	for name, target := range s.endpoints {
		target.isUsable = present[name]
		if !target.isUsable && target.inFlight == 0 {
			s.removeLoads(target)
			delete(s.endpoints, name)
			if s.byID[target.id()] == target {
				delete(s.byID, target.id())
			}
		}
	}
}

func (s *Selector) updateService(config *route.Config, name model.ServiceName, usable []roster.Endpoint, present map[model.EndpointName]bool, now time.Time) {
	state := s.services[name]
	if state == nil {
		state = &serviceState{}
		s.services[name] = state
	}
	s.updateCosts(name, state)
	if configured, exists := config.Service(name); exists {
		state.coldRate = configured.ColdRate
	}
	state.endpoints, state.inZone = state.endpoints[:0], state.inZone[:0]
	state.byRegion = make(map[model.RegionName][]*endpoint)
	capacity := make(map[model.RegionName]float64)
	for _, registered := range usable {
		if s.isLeaving(registered, now) {
			continue
		}
		present[registered.Name] = true
		target := s.endpoints[registered.Name]
		if target == nil {
			target = newEndpoint(registered)
			target.spare = s.knownSpare(registered, now)
			s.endpoints[registered.Name] = target
			s.byID[target.id()] = target
		}
		isRestarted := target.incarnation != registered.Incarnation
		if isRestarted {
			s.removeLoads(target)
		}
		target.update(registered)
		if isRestarted {
			target.spare = s.knownSpare(registered, now)
		}
		state.endpoints = append(state.endpoints, target)
		state.byRegion[target.region] = append(state.byRegion[target.region], target)
		if target.zone == s.zone {
			state.inZone = append(state.inZone, target)
		}
		capacity[target.region] += float64(target.slots)
	}
	state.flows, state.slotFlows = PlanFlows(s.demand(), capacity), flowsBySlots(capacity)
}

// demand is the usual demand of each region, assumed to be proportional to its
// number of availability zones.
func (s *Selector) demand() map[model.RegionName]float64 {
	demand := make(map[model.RegionName]float64)
	for _, region := range s.regions {
		demand[region]++
	}
	return demand
}

// Choose decides to which endpoint a request is sent. A sent request counts as
// in flight until Done.
func (s *Selector) Choose(query Query, now time.Time) Decision {
	state := s.services[query.Service]
	if state == nil || len(state.endpoints) == 0 {
		return noEndpoint()
	}
	s.prepare(query, now)
	return s.take(state, s.pick(state, query, now, nil), query, now)
}

func noEndpoint() Reject {
	return Reject{Reason: "the service has no endpoint", RetryAfter: noEndpointRetryAfter}
}

// prepare does what is due before a choice.
func (s *Selector) prepare(query Query, now time.Time) {
	s.expireLoads(now)
	if len(query.Tried) == 0 && !query.HasWaited {
		s.spillCredit = min(maxSpillCredit, s.spillCredit+spillCreditPerRequest)
	}
}

// hasObject reports whether the query has affinity: an endpoint may be faster if
// it has handled the object before.
func (q Query) hasObject() bool { return q.Route.HasAffinity && q.Object != "" }

func (s *Selector) objectHash(query Query) uint64 {
	if query.hasObject() {
		return hashes.Sum(query.Route.Domain, query.Route.Prefix, query.Object)
	}
	return hashes.Sum(query.AttemptID)
}

// choice is a candidate with its expected response time.
type choice struct {
	endpoint     *endpoint
	rank         int
	expectedTime time.Duration
	candidates   int
}

// best returns the endpoint that is expected to respond first.
func (s *Selector) best(state *serviceState, endpoints []*endpoint, object uint64, query Query, now time.Time, seen *observations) choice {
	var best choice
	maxAvailable := len(endpoints)
	if query.hasObject() {
		maxAvailable = maxAffinityEndpoints
	}
	available, hasAvoided := 0, false
	s.ranking.start(object, endpoints)
	for rank := 0; available < maxAvailable; rank++ {
		candidate := s.ranking.next()
		if candidate == nil {
			break
		}
		// The objects of an unavailable endpoint use the next one in the ranking.
		if candidate.isAvailable(now) && !candidate.mayHold(query, now) {
			// One slow endpoint is passed over. With more, objects would spread if all
			// seem slow.
			if candidate.isAvoided(now) && !hasAvoided {
				hasAvoided = true
			} else {
				available++
			}
		}
		if reason := s.obstacle(candidate, query, now); reason != noObstacle {
			seen.pass(candidate, rank, reason)
			continue
		}
		// Endpoints after the first available one get the object only while their
		// load is below idleFraction, so that an overload does not spread objects.
		if query.hasObject() && rank > 0 && available > 1 && candidate.load(now) >= float64(candidate.slots)*query.idleFraction() {
			seen.pass(candidate, rank, tooBusyForObject)
			continue
		}
		best.candidates++
		expectedTime := s.expectedTime(state, candidate, rank, query, now)
		seen.pass(candidate, rank, slower)
		if best.endpoint == nil || expectedTime < best.expectedTime {
			best.endpoint, best.rank, best.expectedTime = candidate, rank, expectedTime
		}
	}
	return best
}

// expectedTime is the expected response time of one more request to the
// endpoint.
func (s *Selector) expectedTime(state *serviceState, candidate *endpoint, rank int, query Query, now time.Time) time.Duration {
	if state.costs != nil {
		return s.expectedWorkTime(state, candidate, rank, now)
	}
	median := state.median()
	executionTime := float64(median) / affinityFactor(0)
	if query.hasObject() {
		executionTime *= affinityFactor(rank)
	}
	executionTime *= candidate.currentSlowness(now)
	queued := max(0, candidate.load(now)+1-float64(candidate.slots))
	total := executionTime + float64(median)*candidate.currentSlowness(now)*queued/float64(candidate.slots)
	total /= max(0.05, 1-candidate.failureRate(now))
	return time.Duration(total) + s.networkDelay(candidate)
}

// networkDelay is the assumed network delay to an endpoint.
func (s *Selector) networkDelay(candidate *endpoint) time.Duration {
	switch {
	case candidate.zone == s.zone:
		return 0
	case candidate.region == s.region:
		return crossZoneDelay
	}
	return crossRegionDelay
}

func (s *serviceState) median() time.Duration {
	if median, ok := s.latencies.Quantile(50); ok {
		return median
	}
	return defaultMedian
}

func (s *Selector) send(state *serviceState, best choice, now time.Time) Send {
	chosen := best.endpoint
	load := chosen.load(now)
	var work Work
	if state.costs != nil {
		work = s.begin(chosen, s.workAt(state, chosen, best.rank, now))
	}
	chosen.inFlight++
	if chosen.isCold(now) {
		chosen.pacer.recordSent(s.ownRate(chosen, state.coldRate, now), now)
	}
	s.recordResumed(chosen, now)
	return Send{
		Endpoint: roster.Endpoint{
			Name: chosen.name, Service: chosen.service, Address: chosen.address, Zone: chosen.zone,
			Region: chosen.region, Slots: chosen.slots, Incarnation: chosen.incarnation, ColdUntil: chosen.coldUntil,
		},
		Rank: best.rank, Load: load, Candidates: best.candidates, Permit: s.takePermit(chosen, now), Work: work,
	}
}
