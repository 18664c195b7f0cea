package place

import (
	"time"

	"filberthold/model"
	"filberthold/shift"
)

// routeArrival decides in which region an arriving request is served, and
// counts it for the caps. It reports false if its home region cannot serve it
// and the cap allows no failover; route then holds the reason.
func (c *Core) routeArrival(waiting *pending, now time.Time) bool {
	request := waiting.request
	plans := c.deployment.Plans()
	c.accounts.Arrive(plans, request.Service, request.Home)
	waiting.region, waiting.route = request.Home, "home region"
	if !c.hasEndpoints(request.Service, request.Home) {
		waiting.region, waiting.route = "", "any region"
		return true
	}
	if plan, found := shift.Find(plans, request.Service, request.Home, request.BlockHash, now); found {
		if target, exists := c.target(request.Service, plan, now); exists && c.accounts.AllowPlan(plan) {
			waiting.region, waiting.isMoved = target, true
			waiting.route = string(plan.Kind()) + " " + string(plan.Name())
			return true
		}
	}
	return c.routeFailover(waiting, now)
}

// routeFailover moves a request whose home region has no endpoint that takes
// work to a region that has one, within the cap of the service. It reports
// false if the cap forbids it.
func (c *Core) routeFailover(waiting *pending, now time.Time) bool {
	request := waiting.request
	if waiting.isMoved || waiting.region == "" || c.isServing(request.Service, request.Home, now) {
		return true
	}
	for _, region := range c.deployment.Regions() {
		if region == request.Home || !c.isServing(request.Service, region, now) {
			continue
		}
		if !c.accounts.AllowFailover(request.Service) {
			waiting.route = "home region is not served and the shift cap is reached"
			return c.isReachable(request.Service, request.Home)
		}
		waiting.region, waiting.isMoved, waiting.route = region, true, "failover from "+string(request.Home)
		return true
	}
	return true
}

// target returns the region to which a plan moves a request. A drain without a
// target takes the first region that serves.
func (c *Core) target(service model.ServiceName, plan model.Plan, now time.Time) (model.RegionName, bool) {
	if plan.To() != "" {
		return plan.To(), c.isServing(service, plan.To(), now)
	}
	for _, region := range c.deployment.Regions() {
		if region != plan.From() && c.isServing(service, region, now) {
			return region, true
		}
	}
	return "", false
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
