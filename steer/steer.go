// Package steer chooses the endpoint for a request: it sends the requests for
// an object to the same endpoints, where they are faster, and leaves them when
// another endpoint is expected to answer sooner. It is pure: it has no clock,
// no goroutine and no input or output.
package steer

import (
	"slices"
	"time"

	"filberthold/model"
	"filberthold/roster"
	"filberthold/route"
	"filberthold/score"
)

const (
	// defaultMedian is the response time that is expected of a service before
	// there are observations.
	defaultMedian = 300 * time.Millisecond
	// queueRoom is how many requests may wait at an endpoint beyond its slots.
	// More would pass their objective while they wait.
	queueRoom = 2
	// maxPlaces is how many endpoints of its ranking an object may use. An
	// endpoint keeps a limited number of objects: under load, objects that go
	// everywhere push each other out, every request becomes slow, and the load
	// stays even after its cause has gone.
	maxPlaces = 2
	// spareShare is the part of its slots up to which an endpoint must be used
	// to take an object that it hardly knows.
	spareShare = 0.5
	// localRetry is the Retry-After of a request that finds every endpoint
	// full: about the time in which a slot becomes free.
	localRetry = 300 * time.Millisecond
	// spillEarned is the credit that each request earns for sending others to
	// another region than planned, and spillMost bounds what is saved. Both
	// keep the share of a region that moves between two windows small.
	spillEarned = 0.08
	spillMost   = 2.0
	// crossRegion and crossZone are added to the expected time of an endpoint
	// that is not near.
	crossRegion = 60 * time.Millisecond
	crossZone   = 6 * time.Millisecond
)

// familiarity is the expected work of a request for an object at the endpoints
// of its ranking, in relation to an endpoint that does not know the object.
func familiarity(place int) float64 {
	if place == 0 {
		return 0.3
	}
	return 0.9
}

// Query is a request that needs an endpoint.
type Query struct {
	Service model.ServiceName
	// Object is empty for requests without affinity; Attempt then spreads them.
	Object  string
	Attempt string
	Route   route.Route
	// Tried holds the endpoints that the request was sent to before.
	Tried []model.EndpointName
	// HasWaited is true if the query was chosen for before and found no room.
	HasWaited bool
}

// Decision is what becomes of a query.
type Decision interface{ isDecision() }

// Send means that the request goes to an endpoint.
type Send struct {
	Endpoint roster.Endpoint
	// Rank is the endpoint's place in the ranking for the object.
	Rank int
	// Load is the number of requests expected at the endpoint.
	Load float64
	// Candidates is the number of endpoints that could have been chosen.
	Candidates int
}

// Reject means that no endpoint can take the request now.
type Reject struct {
	Reason     string
	RetryAfter time.Duration
	// IsFull is true if a slot may become free soon.
	IsFull bool
}

func (Send) isDecision()   {}
func (Reject) isDecision() {}

// Selector is the state of the choices of one host. It is not safe for
// concurrent use.
type Selector struct {
	host    model.HostName
	zone    model.ZoneName
	region  model.RegionName
	regions map[model.ZoneName]model.RegionName

	endpoints map[model.EndpointName]*endpoint
	byID      map[EndpointID]*endpoint
	services  map[model.ServiceName]*service
	// told is what other hosts said of their requests.
	told map[model.HostName]*toldLoads
	// hosts are the live entry hosts by region; they share cold endpoints.
	hosts map[model.RegionName][]model.HostName
	// ranking is used by one choice at a time.
	ranking ranking
	// spill is the credit for sending requests to another region than planned.
	spill float64
}

// service is the state of a service.
type service struct {
	endpoints []*endpoint
	byRegion  map[model.RegionName][]*endpoint
	// inZone are the endpoints in the host's availability zone.
	inZone   []*endpoint
	flows    Flows
	times    score.LatencyWindow
	coldRate float64
}

// New returns a steerer for a host.
func New(host model.HostName, zone model.ZoneName, regions map[model.ZoneName]model.RegionName) *Selector {
	return &Selector{
		host: host, zone: zone, region: regions[zone], regions: regions,
		endpoints: make(map[model.EndpointName]*endpoint),
		byID:      make(map[EndpointID]*endpoint),
		services:  make(map[model.ServiceName]*service),
		told:      make(map[model.HostName]*toldLoads),
		hosts:     map[model.RegionName][]model.HostName{regions[zone]: {host}},
	}
}

// SetHosts replaces the live entry hosts, this one included.
func (s *Selector) SetHosts(hosts map[model.RegionName][]model.HostName) { s.hosts = hosts }

// Update takes over the usable endpoints if the roster has changed.
func (s *Selector) Update(config *route.Config, known *roster.Roster, names []model.ServiceName) {
	present := make(map[model.EndpointName]bool)
	for _, name := range names {
		s.updateService(config, name, known.Endpoints(name), present)
	}
	for name, one := range s.endpoints {
		if !present[name] && one.inFlight == 0 {
			s.forgetTold(one)
			delete(s.endpoints, name)
			if s.byID[one.id()] == one {
				delete(s.byID, one.id())
			}
		}
	}
}

func (s *Selector) updateService(config *route.Config, name model.ServiceName, known []roster.Endpoint, present map[model.EndpointName]bool) {
	state := s.services[name]
	if state == nil {
		state = &service{}
		s.services[name] = state
	}
	if described, exists := config.Service(name); exists {
		state.coldRate = described.ColdRate
	}
	state.endpoints, state.inZone = state.endpoints[:0], state.inZone[:0]
	state.byRegion = make(map[model.RegionName][]*endpoint)
	capacity := make(map[model.RegionName]float64)
	for _, reported := range known {
		present[reported.Name] = true
		one := s.endpoints[reported.Name]
		if one == nil {
			one = newEndpoint(reported)
			s.endpoints[reported.Name] = one
			s.byID[one.id()] = one
		}
		if one.born != reported.Incarnation {
			s.forgetTold(one)
		}
		one.update(reported)
		state.endpoints = append(state.endpoints, one)
		state.byRegion[one.region] = append(state.byRegion[one.region], one)
		if one.zone == s.zone {
			state.inZone = append(state.inZone, one)
		}
		capacity[one.region] += float64(one.slots)
	}
	state.flows = PlanFlows(s.demand(), capacity)
}

// demand is the usual demand of each region: its number of zones.
func (s *Selector) demand() map[model.RegionName]float64 {
	demand := make(map[model.RegionName]float64)
	for _, region := range s.regions {
		demand[region]++
	}
	return demand
}

// Choose decides where a request goes. A Send counts as in flight until Done.
func (s *Selector) Choose(query Query, now time.Time) Decision {
	state := s.services[query.Service]
	if state == nil || len(state.endpoints) == 0 {
		return Reject{Reason: "the service has no endpoint", RetryAfter: time.Second}
	}
	s.expireTold(now)
	if len(query.Tried) == 0 && !query.HasWaited {
		s.spill = min(spillMost, s.spill+spillEarned)
	}
	object := s.objectHash(query)
	planned, exists := pick(state.flows[s.region], unit(mix(object)), query.Route.AllowsRegion)
	if !exists {
		return Reject{Reason: "no endpoint in an allowed region", RetryAfter: time.Second}
	}
	var best choice
	if query.Route.Class == model.Export {
		best = s.nearby(state, object, query, now)
	}
	if best.endpoint == nil {
		best = s.best(state, state.byRegion[planned], object, query, now)
	}
	if best.endpoint == nil {
		best = s.spillOver(state, planned, object, query, now)
	}
	if best.endpoint == nil {
		return Reject{Reason: "every endpoint is full or not reachable", RetryAfter: localRetry, IsFull: true}
	}
	return s.send(state, best, now)
}

// hasObject reports whether an endpoint may be faster with the request if it
// has handled the object before.
func (q Query) hasObject() bool { return q.Route.HasAffinity && q.Object != "" }

func (s *Selector) objectHash(query Query) uint64 {
	if query.hasObject() {
		return hash64(query.Route.Domain, query.Route.Prefix, query.Object)
	}
	return hash64(query.Attempt)
}

// choice is a candidate with its expected time to an answer.
type choice struct {
	endpoint   *endpoint
	place      int
	expected   time.Duration
	candidates int
}

// best returns the endpoint that is expected to answer first.
func (s *Selector) best(state *service, endpoints []*endpoint, object uint64, query Query, now time.Time) choice {
	var best choice
	places := len(endpoints)
	if query.hasObject() {
		places = maxPlaces
	}
	available := 0
	s.ranking.start(object, endpoints)
	for place := 0; available < places; place++ {
		candidate := s.ranking.next()
		if candidate == nil {
			break
		}
		// The objects of an endpoint that is not available move on to the next.
		if candidate.isAvailable(now) {
			available++
		}
		if !s.mayUse(candidate, query, now) {
			continue
		}
		// The other endpoints take an object that they hardly know only into a
		// free slot, so that an overload does not spread it.
		if query.hasObject() && place > 0 && available > 1 && candidate.load(now) >= float64(candidate.slots)*spareShare {
			continue
		}
		best.candidates++
		expected := s.expected(state, candidate, place, query, now)
		if best.endpoint == nil || expected < best.expected {
			best.endpoint, best.place, best.expected = candidate, place, expected
		}
	}
	return best
}

// nearby chooses an endpoint with a free slot in the own availability zone, or
// else in the own region. Exports have long answers, whose way costs more than
// the better use of the slots elsewhere gains.
func (s *Selector) nearby(state *service, object uint64, query Query, now time.Time) choice {
	if !query.Route.AllowsRegion(s.region) {
		return choice{}
	}
	for _, endpoints := range [][]*endpoint{state.inZone, state.byRegion[s.region]} {
		best := s.best(state, endpoints, object, query, now)
		if best.endpoint != nil && best.endpoint.load(now) < float64(best.endpoint.slots) {
			return best
		}
	}
	return choice{}
}

// spillOver chooses in the other regions for a request that its region cannot
// take. Load moves only as many requests as there is credit for; a region
// without an available endpoint loses all of them.
func (s *Selector) spillOver(state *service, planned model.RegionName, object uint64, query Query, now time.Time) choice {
	isDown := !slices.ContainsFunc(state.byRegion[planned], func(one *endpoint) bool { return one.isAvailable(now) })
	if s.spill < 1 && !isDown {
		return choice{}
	}
	best := s.bestElsewhere(state, planned, object, query, now)
	if best.endpoint != nil && !isDown {
		s.spill--
	}
	return best
}

func (s *Selector) bestElsewhere(state *service, planned model.RegionName, object uint64, query Query, now time.Time) choice {
	var others []*endpoint
	for region, endpoints := range state.byRegion {
		if region != planned && query.Route.AllowsRegion(region) {
			others = append(others, endpoints...)
		}
	}
	slices.SortFunc(others, byName)
	return s.best(state, others, object, query, now)
}

func (s *Selector) mayUse(candidate *endpoint, query Query, now time.Time) bool {
	if slices.Contains(query.Tried, candidate.name) || candidate.isSuspect(now) {
		return false
	}
	if candidate.isCold(now) {
		return s.owns(candidate) && candidate.pacer.isOpen(now)
	}
	return candidate.load(now) < float64(candidate.slots+queueRoom)
}

// owns reports whether this host is the one that may send to an endpoint while
// it is cold. One host can keep the rate that a cold endpoint bears; several
// cannot without asking each other.
func (s *Selector) owns(candidate *endpoint) bool {
	hosts := s.hosts[candidate.region]
	if len(hosts) == 0 {
		for _, others := range s.hosts {
			hosts = append(hosts, others...)
		}
	}
	var owner model.HostName
	highest := uint64(0)
	for _, host := range hosts {
		if weight := mix(hash64(string(host)) ^ candidate.hash); owner == "" || weight > highest {
			owner, highest = host, weight
		}
	}
	return owner == s.host
}

// expected is the expected time until the endpoint answers one more request.
func (s *Selector) expected(state *service, candidate *endpoint, place int, query Query, now time.Time) time.Duration {
	median := state.median()
	work := float64(median) / familiarity(0)
	if query.hasObject() {
		work *= familiarity(place)
	}
	work *= candidate.currentSlowness(now)
	waiting := max(0, candidate.load(now)+1-float64(candidate.slots))
	total := work + float64(median)*candidate.currentSlowness(now)*waiting/float64(candidate.slots)
	total /= max(0.05, 1-candidate.failureRate(now))
	return time.Duration(total) + s.distance(candidate)
}

func (s *Selector) distance(candidate *endpoint) time.Duration {
	switch {
	case candidate.zone == s.zone:
		return 0
	case candidate.region == s.region:
		return crossZone
	}
	return crossRegion
}

func (s *service) median() time.Duration {
	if median, known := s.times.Quantile(50); known {
		return median
	}
	return defaultMedian
}

func (s *Selector) send(state *service, best choice, now time.Time) Send {
	chosen := best.endpoint
	load := chosen.load(now)
	chosen.inFlight++
	if chosen.isCold(now) {
		chosen.pacer.take(state.coldRate, now)
	}
	return Send{
		Endpoint: roster.Endpoint{
			Name: chosen.name, Service: chosen.service, Address: chosen.address, Zone: chosen.zone,
			Region: chosen.region, Slots: chosen.slots, Incarnation: chosen.born, ColdUntil: chosen.coldUntil,
		},
		Rank: best.place, Load: load, Candidates: best.candidates,
	}
}
