package config

import "filberthold/model"

// Describe returns the document of a deployment. It is the inverse of Build.
func Describe(deployment *model.Deployment) Document {
	delays := deployment.Delays()
	document := Document{
		Name: deployment.Name(),
		Delays: DelaysDocument{
			BetweenZones:   Duration(delays.BetweenZones()),
			BetweenRegions: Duration(delays.BetweenRegions()),
			ToClients:      Duration(delays.ToClients()),
		},
	}
	for _, zone := range deployment.Zones() {
		document.AvailabilityZones = append(document.AvailabilityZones,
			ZoneDocument{Name: string(zone.Name()), Region: string(zone.Region())})
	}
	for _, service := range deployment.Services() {
		document.Services = append(document.Services, ServiceDocument{
			Name: string(service.Name()), Class: service.Class().String(),
			DefaultTimeout: Duration(service.DefaultTimeout()), QueueLimit: service.QueueLimit(),
			ShiftCapPercent: service.ShiftCapPercent(), SlowStart: Duration(service.SlowStart()),
		})
	}
	for _, endpoint := range deployment.Endpoints() {
		document.Endpoints = append(document.Endpoints, EndpointDocument{
			Name: string(endpoint.Name()), Service: string(endpoint.Service()), AvailabilityZone: string(endpoint.Zone()),
			Address: endpoint.Address(), Slots: endpoint.Slots(), Connections: endpoint.Connections(),
		})
	}
	for _, host := range deployment.Hosts() {
		document.Hosts = append(document.Hosts, HostDocument{
			Name: string(host.Name()), AvailabilityZone: string(host.Zone()), Site: string(host.Site()),
			CallerAddress: host.CallerAddress(), PeerAddress: host.PeerAddress(),
			OperatorAddress: host.OperatorAddress(), Stopped: host.Stopped(),
		})
	}
	describeTraffic(&document, deployment)
	return document
}

func describeTraffic(document *Document, deployment *model.Deployment) {
	for _, link := range deployment.Links() {
		between := link.Regions()
		document.Links = append(document.Links, LinkDocument{
			Between: [2]string{string(between[0]), string(between[1])}, BitsPerSecond: link.BitsPerSecond(),
		})
	}
	for _, block := range deployment.Blocks() {
		document.Blocks = append(document.Blocks, BlockDocument{Prefix: block.Prefix().String(), Site: string(block.Site())})
	}
	for _, plan := range deployment.Plans() {
		document.Plans = append(document.Plans, PlanDocument{
			Name: string(plan.Name()), Kind: string(plan.Kind()), Service: string(plan.Service()),
			From: string(plan.From()), To: string(plan.To()), Start: plan.Start(),
			RatePercentPerMinute: plan.RatePercentPerMinute(), CapPercent: plan.CapPercent(),
		})
	}
}
