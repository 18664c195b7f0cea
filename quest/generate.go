package quest

import (
	"errors"
	"fmt"
	"net/netip"

	"filberthold/config"
	"filberthold/model"
)

// Generate generates the configuration of a deployment in TOML form. Equal
// answers give the same bytes.
func Generate(answers Answers) ([]byte, error) {
	document, err := answers.document()
	if err != nil {
		return nil, fmt.Errorf("generate configuration: %w", err)
	}
	text, err := config.Encode(document)
	if err != nil {
		return nil, fmt.Errorf("generate configuration: %w", err)
	}
	// Answers that were not returned by Parse may be invalid.
	if _, err := config.ParseDocument("generated configuration", text); err != nil {
		return nil, fmt.Errorf("answers give an invalid configuration:\n%w", err)
	}
	return text, nil
}

func (a Answers) document() (config.Document, error) {
	document := config.Document{Name: a.Name, Delays: a.Delays, Links: a.Links, Blocks: a.Callers}
	for _, region := range a.Regions {
		for _, zone := range region.AvailabilityZones {
			document.AvailabilityZones = append(document.AvailabilityZones, config.ZoneDocument{Name: zone, Region: region.Name})
		}
	}
	if len(document.AvailabilityZones) == 0 {
		return config.Document{}, errors.New("no availability zones are named")
	}
	for _, service := range a.Services {
		document.Services = append(document.Services, service.document())
		endpoints, err := service.endpoints(document.AvailabilityZones)
		if err != nil {
			return config.Document{}, fmt.Errorf("service %q: %w", service.Name, err)
		}
		document.Endpoints = append(document.Endpoints, endpoints...)
	}
	hosts, err := a.hosts(document.AvailabilityZones)
	if err != nil {
		return config.Document{}, fmt.Errorf("entry hosts: %w", err)
	}
	document.Hosts = hosts
	for _, shift := range a.Drains {
		document.Plans = append(document.Plans, shift.document(model.Drain))
	}
	for _, shift := range a.Moves {
		document.Plans = append(document.Plans, shift.document(model.Move))
	}
	return document, nil
}

func (s Service) class() model.Class {
	switch {
	case s.MustNeverRepeat == nil || *s.MustNeverRepeat:
		return model.Submit
	case s.TakesMinutes:
		return model.Export
	}
	return model.Read
}

func (s Service) document() config.ServiceDocument {
	return config.ServiceDocument{
		Name: s.Name, Class: s.class().String(), DefaultTimeout: s.AnswerWithin,
		QueueLimit: s.MayWait, ShiftCapPercent: s.MayMovePercent, SlowStart: s.WarmUp,
	}
}

func (s Service) endpoints(zones []config.ZoneDocument) ([]config.EndpointDocument, error) {
	locations := s.Endpoints
	for i := range s.EndpointRange.Count {
		address, err := offsetAddress(s.EndpointRange.FirstAddress, i)
		if err != nil {
			return nil, err
		}
		locations = append(locations, Endpoint{AvailabilityZone: zones[i%len(zones)].Name, Address: address})
	}
	var endpoints []config.EndpointDocument
	for i, location := range locations {
		endpoints = append(endpoints, config.EndpointDocument{
			Name: fmt.Sprintf("%s-%02d", s.Name, i+1), Service: s.Name, AvailabilityZone: location.AvailabilityZone,
			Address: location.Address, Slots: s.Slots, Connections: s.Connections,
		})
	}
	return endpoints, nil
}

func (a Answers) hosts(zones []config.ZoneDocument) ([]config.HostDocument, error) {
	hosts := a.Hosts
	for i := range a.HostRange.PerZone * len(zones) {
		zone := zones[i%len(zones)].Name
		host := config.HostDocument{Name: fmt.Sprintf("%s-%d", zone, i/len(zones)+1), AvailabilityZone: zone, Site: zone}
		for _, address := range []struct {
			first string
			into  *string
		}{
			{a.HostRange.FirstCallerAddress, &host.CallerAddress},
			{a.HostRange.FirstPeerAddress, &host.PeerAddress},
			{a.HostRange.FirstOperatorAddress, &host.OperatorAddress},
		} {
			hostAddress, err := offsetAddress(address.first, i)
			if err != nil {
				return nil, err
			}
			*address.into = hostAddress
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// offsetAddress returns the address whose port is that of first plus offset.
func offsetAddress(first string, offset int) (string, error) {
	address, err := netip.ParseAddrPort(first)
	if err != nil {
		return "", fmt.Errorf("first address %q: %w", first, err)
	}
	port := int(address.Port()) + offset
	if port > 65535 {
		return "", fmt.Errorf("port %d after that of %q is above 65535", offset, first)
	}
	return netip.AddrPortFrom(address.Addr(), uint16(port)).String(), nil
}

func (s Shift) document(kind model.PlanKind) config.PlanDocument {
	return config.PlanDocument{
		Name: s.Name, Kind: string(kind), Service: s.Service, From: s.From, To: s.To, Start: s.Start,
		RatePercentPerMinute: s.PercentPerMinute, CapPercent: s.AtMostPercent,
	}
}
