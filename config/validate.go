package config

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"

	"filberthold/model"
)

func (c *Checker) settings(settings Settings) {
	c.name("host", "host", settings.Host)
	c.name("availabilityZone", "availability zone", settings.AvailabilityZone)
	c.address("callerAddress", "TCP", settings.CallerAddress)
	c.address("operatorAddress", "TCP", settings.OperatorAddress)
	c.address("peerAddress", "UDP", settings.PeerAddress)
	c.address("platformAddress", "TCP", settings.PlatformAddress)
	for i, seed := range settings.PeerSeeds {
		c.address(fmt.Sprintf("peerSeeds[%d]", i), "UDP", seed)
	}
	if format := settings.Log.Format; format != "text" && format != "json" {
		c.Add("log.format", "use text or json", "unknown log format %q", format)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.Log.Level)); err != nil {
		c.Add("log.level", "use debug, info, warn or error", "unknown log level %q", settings.Log.Level)
	}
	if mode := settings.Placement; mode != Steered && mode != RoundRobin && mode != Random {
		c.Add("placement", "use steered, roundRobin or random", "unknown placement %q", mode)
	}
}

func (c *Checker) document(document Document) {
	if document.Name == "" {
		c.Add("name", "name the deployment", "name is missing")
	}
	c.duration("delays.betweenZones", document.Delays.BetweenZones, false)
	c.duration("delays.betweenRegions", document.Delays.BetweenRegions, false)
	c.duration("delays.toClients", document.Delays.ToClients, false)
	for i, zone := range document.AvailabilityZones {
		path := fmt.Sprintf("availabilityZones[%d]", i)
		c.name(path+".name", "availability zone", zone.Name)
		// Each zone is also a site of the same name. Client blocks can then refer
		// to it after the last host of the zone was removed.
		c.definedAt["site "+zone.Name] = path
		if zone.Region == "" {
			c.Add(path+".region", "name the region of the availability zone", "region is missing")
		}
		c.definedAt["region "+zone.Region] = path
	}
	c.services(document.Services)
	c.endpoints(document.Endpoints)
	c.hosts(document.Hosts)
	c.links(document.Links)
	c.blocks(document.Blocks)
	c.plans(document.Plans)
}

func (c *Checker) services(services []ServiceDocument) {
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", "service", service.Name)
		if _, err := model.ParseClass(service.Class); err != nil {
			c.Add(path+".class", "use read, submit or export", "unknown class %q", service.Class)
		}
		c.duration(path+".defaultTimeout", service.DefaultTimeout, true)
		c.duration(path+".slowStart", service.SlowStart, false)
		c.atLeast(path+".queueLimit", service.QueueLimit, 1)
		c.percent(path+".shiftCapPercent", service.ShiftCapPercent, 0)
	}
}

func (c *Checker) endpoints(endpoints []EndpointDocument) {
	for i, endpoint := range endpoints {
		path := fmt.Sprintf("endpoints[%d]", i)
		c.name(path+".name", "endpoint", endpoint.Name)
		c.reference(path+".service", "service", endpoint.Service)
		c.reference(path+".availabilityZone", "availability zone", endpoint.AvailabilityZone)
		c.address(path+".address", "TCP", endpoint.Address)
		c.atLeast(path+".slots", endpoint.Slots, 1)
		if endpoint.Connections < endpoint.Slots {
			c.Add(path+".connections", "each slot needs a connection", "%d connections are fewer than %d slots",
				endpoint.Connections, endpoint.Slots)
		}
	}
}

func (c *Checker) hosts(hosts []HostDocument) {
	for i, host := range hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		c.name(path+".name", "host", host.Name)
		c.reference(path+".availabilityZone", "availability zone", host.AvailabilityZone)
		if host.Site == "" {
			c.Add(path+".site", "name the site of the host", "site is missing")
		}
		c.definedAt["site "+host.Site] = path
		c.address(path+".callerAddress", "TCP", host.CallerAddress)
		c.address(path+".operatorAddress", "TCP", host.OperatorAddress)
		c.address(path+".peerAddress", "UDP", host.PeerAddress)
	}
}

func (c *Checker) links(links []LinkDocument) {
	for i, link := range links {
		path := fmt.Sprintf("links[%d]", i)
		between := slices.Sorted(slices.Values(link.Between[:]))
		c.reference(path+".between", "region", link.Between[0])
		c.reference(path+".between", "region", link.Between[1])
		if between[0] == between[1] {
			c.Add(path+".between", "name two regions", "link joins region %q with itself", between[0])
		}
		c.unique(path+".between", "link between", between[0]+" and "+between[1])
		if link.BitsPerSecond < 1 {
			c.Add(path+".bitsPerSecond", "give the capacity in each direction", "bitsPerSecond is %d", link.BitsPerSecond)
		}
	}
}

// blocks checks the client blocks, and that no two of them overlap.
func (c *Checker) blocks(blocks []BlockDocument) {
	type locatedPrefix struct {
		prefix netip.Prefix
		path   string
	}
	var prefixes []locatedPrefix
	for i, block := range blocks {
		path := fmt.Sprintf("blocks[%d]", i)
		c.reference(path+".site", "site", block.Site)
		prefix, err := netip.ParsePrefix(block.Prefix)
		switch {
		case err != nil:
			c.Add(path+".prefix", "give an IP prefix, as in '192.0.2.0/24'", "%q is not an IP prefix", block.Prefix)
			continue
		case prefix != prefix.Masked():
			c.Add(path+".prefix", "write "+prefix.Masked().String(), "prefix %q has bits after its length", block.Prefix)
		}
		prefixes = append(prefixes, locatedPrefix{prefix: prefix.Masked(), path: path + ".prefix"})
	}
	slices.SortStableFunc(prefixes, func(a, b locatedPrefix) int { return a.prefix.Compare(b.prefix) })
	for i := 1; i < len(prefixes); i++ {
		// A prefix is sorted after the prefixes that contain it.
		outer, next := prefixes[i-1], prefixes[i]
		if !outer.prefix.Overlaps(next.prefix) {
			continue
		}
		c.Add(next.path, "it overlaps "+outer.path, "client block %s overlaps %s", next.prefix, outer.prefix)
		prefixes[i] = outer
	}
}

func (c *Checker) plans(plans []PlanDocument) {
	for i, plan := range plans {
		path := fmt.Sprintf("plans[%d]", i)
		c.name(path+".name", "plan", plan.Name)
		c.reference(path+".service", "service", plan.Service)
		c.reference(path+".from", "region", plan.From)
		kind := model.PlanKind(plan.Kind)
		switch {
		case kind != model.Drain && kind != model.Move && kind != model.Failover:
			c.Add(path+".kind", "use drain, move or failover", "unknown kind of plan %q", plan.Kind)
		case kind == model.Move && plan.To == "":
			c.Add(path+".to", "name the region that receives the traffic", "a move has no target")
		}
		if plan.To != "" {
			c.reference(path+".to", "region", plan.To)
			if plan.To == plan.From {
				c.Add(path+".to", "name another region", "plan moves traffic from region %q to itself", plan.To)
			}
		}
		if plan.Start.IsZero() {
			c.Add(path+".start", "give a time, as in 2026-03-01T22:00:00Z", "start is missing")
		}
		if !(plan.RatePercentPerMinute > 0) {
			c.Add(path+".ratePercentPerMinute", "give a rate above 0", "ratePercentPerMinute is %v", plan.RatePercentPerMinute)
		}
		c.percent(path+".capPercent", plan.CapPercent, 1)
	}
}
