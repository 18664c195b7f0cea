package place

import (
	"slices"
	"time"

	"filberthold/model"
	"filberthold/shift"
)

// routeArrival decides in which region an arriving request is served, and
// counts it for the caps. It reports false if its home region cannot serve it
// and the cap allows no failover; route then holds the reason. If a plan moves
// the request but this host has no free slot at the target, the request is
// served at home, and the decisions ask for a loan for those that follow.
func (c *Core) routeArrival(waiting *pending, now time.Time) ([]Decision, bool) {
	request := waiting.request
	plans := c.deployment.Plans()
	c.accounts.CountRequest(plans, request.Service, request.Home)
	waiting.region, waiting.route = request.Home, "home region"
	if !c.hasEndpoints(request.Service, request.Home) {
		waiting.region, waiting.route = "", "any region"
		return nil, true
	}
	plan, found := shift.Find(plans, request.Service, request.Home, request.BlockHash, now)
	if !found {
		return nil, c.routeFailover(waiting, now)
	}
	targets := c.targets(plan)
	for _, target := range targets {
		if c.hasFree(request, target, now) && c.accounts.AllowPlan(plan) {
			waiting.region, waiting.isMoved = target, true
			waiting.route = string(plan.Kind()) + " " + string(plan.Name())
			return nil, true
		}
	}
	return c.askLoan(request, targets, now), c.routeFailover(waiting, now)
}

// routeFailover moves a request whose region does not serve it to one that
// does: back to its home region, or to another one within the cap of the
// service. It reports false if the home region cannot be reached and the cap
// forbids the move.
func (c *Core) routeFailover(waiting *pending, now time.Time) bool {
	service, home := waiting.request.Service, waiting.request.Home
	if waiting.region == "" || c.isServing(service, waiting.region, now) {
		return true
	}
	if waiting.region != home && c.isServing(service, home, now) {
		waiting.region, waiting.route = home, "home region"
		return true
	}
	for _, region := range c.deployment.Regions() {
		if region == home || !c.isServing(service, region, now) {
			continue
		}
		if !waiting.isMoved && !c.accounts.AllowFailover(service) {
			waiting.route = "home region is not served and the shift cap is reached"
			return c.isReachable(service, home)
		}
		waiting.region, waiting.isMoved, waiting.route = region, true, "failover from "+string(home)
		return true
	}
	return true
}

// targets returns the regions to which a plan may move a request.
func (c *Core) targets(plan model.Plan) []model.RegionName {
	if plan.To() != "" {
		return []model.RegionName{plan.To()}
	}
	return slices.DeleteFunc(c.deployment.Regions(), func(region model.RegionName) bool { return region == plan.From() })
}

// hasFree reports whether a request can be sent to a region now.
func (c *Core) hasFree(request Request, region model.RegionName, now time.Time) bool {
	for _, endpoint := range c.deployment.EndpointsOf(request.Service) {
		name := endpoint.Name()
		if c.deployment.RegionOf(endpoint.Zone()) == region && !c.leaving.has(name) &&
			!c.board.IsFailing(name, now) && c.ledger.Free(name, request.Deadline, now) > 0 {
			return true
		}
	}
	return false
}

// isServing reports whether this host may use an endpoint in a region that is
// neither leaving nor failing.
func (c *Core) isServing(service model.ServiceName, region model.RegionName, now time.Time) bool {
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		if c.deployment.RegionOf(endpoint.Zone()) == region && c.ledger.Usable(endpoint.Name()) > 0 &&
			!c.leaving.has(endpoint.Name()) && !c.board.IsFailing(endpoint.Name(), now) {
			return true
		}
	}
	return false
}

// isReachable reports whether this host may use an endpoint in a region that
// is not leaving, even if it fails.
func (c *Core) isReachable(service model.ServiceName, region model.RegionName) bool {
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		if c.deployment.RegionOf(endpoint.Zone()) == region && c.ledger.Usable(endpoint.Name()) > 0 && !c.leaving.has(endpoint.Name()) {
			return true
		}
	}
	return false
}

// hasEndpoints reports whether the service has endpoints in a region at all. A
// client of a region without any has no home that a shift could leave.
func (c *Core) hasEndpoints(service model.ServiceName, region model.RegionName) bool {
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		if c.deployment.RegionOf(endpoint.Zone()) == region {
			return true
		}
	}
	return false
}

// inRegion returns the endpoints of the region where a request is served.
func (c *Core) inRegion(waiting *pending) []model.Endpoint {
	endpoints := c.deployment.EndpointsOf(waiting.request.Service)
	if waiting.region == "" {
		return endpoints
	}
	var inside []model.Endpoint
	for _, endpoint := range endpoints {
		if c.deployment.RegionOf(endpoint.Zone()) == waiting.region {
			inside = append(inside, endpoint)
		}
	}
	return inside
}
