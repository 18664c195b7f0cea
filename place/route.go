package place

import (
	"slices"
	"time"

	"filberthold/model"
	"filberthold/shift"
)

// routeArrival selects the region that serves an arriving request, and counts
// the request for the shift caps. It reports false if the home region cannot
// serve the request and the cap allows no failover; routeReason then holds the
// reason. If a plan moves the request but this host has no free slot in the
// target region, or the cap of the plan is reached, the request is routed as
// without a plan, and a loan may be requested for later ones.
func (c *Core) routeArrival(open *openRequest, now time.Time) ([]Decision, bool) {
	request := open.request
	plans := c.deployment.Plans()
	c.shiftBudgets.CountRequest(plans, request.Service, request.Home)
	open.region, open.routeReason = request.Home, "home region"
	if !c.hasEndpoints(request.Service, request.Home) {
		open.region, open.routeReason = "", "any region"
		return nil, true
	}
	plan, found := shift.Find(plans, request.Service, request.Home, request.BlockHash, now)
	if !found {
		return nil, c.routeFailover(open, now)
	}
	targets := c.targets(plan)
	for _, target := range targets {
		if c.canSendTo(request, target, now) && c.shiftBudgets.AllowPlan(plan) {
			open.region, open.isMoved = target, true
			open.routeReason = string(plan.Kind()) + " " + string(plan.Name())
			return nil, true
		}
	}
	return c.requestLoan(request, targets, now), c.routeFailover(open, now)
}

// routeFailover moves a request whose region does not serve it to one that does:
// back to its home region, or to another one within the shift cap of the service.
// It reports false if the home region is not reachable and the cap forbids the
// move.
func (c *Core) routeFailover(open *openRequest, now time.Time) bool {
	service, home := open.request.Service, open.request.Home
	if open.region == "" || c.isServing(service, open.region, now) {
		return true
	}
	if open.region != home && c.isServing(service, home, now) {
		open.region, open.routeReason = home, "home region"
		return true
	}
	for _, region := range c.deployment.Regions() {
		if region == home || !c.isServing(service, region, now) {
			continue
		}
		if !open.isMoved && !c.shiftBudgets.AllowFailover(service) {
			open.routeReason = "home region is not served and the shift cap is reached"
			return c.isReachable(service, home)
		}
		open.region, open.isMoved, open.routeReason = region, true, "failover from "+string(home)
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

// canSendTo reports whether a request can be sent to a region now.
func (c *Core) canSendTo(request Request, region model.RegionName, now time.Time) bool {
	for _, endpoint := range c.deployment.EndpointsOf(request.Service) {
		name := endpoint.Name()
		if c.deployment.RegionOf(endpoint.Zone()) == region && c.accepts(name, now) &&
			!c.tracker.IsFailing(name, now) && c.ledger.Free(name, request.Deadline, now) > 0 {
			return true
		}
	}
	return false
}

// isServing reports whether a region has an endpoint that this host may use and
// that is neither leaving, spared nor failing.
func (c *Core) isServing(service model.ServiceName, region model.RegionName, now time.Time) bool {
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		if c.deployment.RegionOf(endpoint.Zone()) == region && c.ledger.Usable(endpoint.Name()) > 0 &&
			c.accepts(endpoint.Name(), now) && !c.tracker.IsFailing(endpoint.Name(), now) {
			return true
		}
	}
	return false
}

// isReachable reports whether a region has an endpoint that this host may use and
// that is not leaving, even if the endpoint is spared or failing.
func (c *Core) isReachable(service model.ServiceName, region model.RegionName) bool {
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		if c.deployment.RegionOf(endpoint.Zone()) == region && c.ledger.Usable(endpoint.Name()) > 0 && !c.leaving.has(endpoint.Name()) {
			return true
		}
	}
	return false
}

// hasEndpoints reports whether the service has endpoints in a region. If the home
// region of a client has none, any region may serve the client and shifts do not
// apply.
func (c *Core) hasEndpoints(service model.ServiceName, region model.RegionName) bool {
	for _, endpoint := range c.deployment.EndpointsOf(service) {
		if c.deployment.RegionOf(endpoint.Zone()) == region {
			return true
		}
	}
	return false
}

// inRegion returns the endpoints in the region that serves a request.
func (c *Core) inRegion(open *openRequest) []model.Endpoint {
	endpoints := c.deployment.EndpointsOf(open.request.Service)
	if open.region == "" {
		return endpoints
	}
	var matching []model.Endpoint
	for _, endpoint := range endpoints {
		if c.deployment.RegionOf(endpoint.Zone()) == open.region {
			matching = append(matching, endpoint)
		}
	}
	return matching
}
