package model

import (
	"fmt"
	"slices"
)

// Deployment is one revision of a deployment's configuration. It is immutable
// and safe for concurrent use.
type Deployment struct {
	name     string
	revision uint64
	delays   Delays
	// zones, services, endpoints and hosts have unique names, and every name to
	// which one of them refers exists.
	zones     []Zone
	services  []Service
	endpoints []Endpoint
	hosts     []Host
	links     []Link
	blocks    []Block
	plans     []Plan

	regionOf   map[ZoneName]RegionName
	serviceOf  map[ServiceName]Service
	endpointOf map[EndpointName]Endpoint
	hostOf     map[HostName]Host
	byService  map[ServiceName][]Endpoint
}

// DeploymentSpec holds the arguments of NewDeployment.
type DeploymentSpec struct {
	Name      string
	Revision  uint64
	Delays    Delays
	Zones     []Zone
	Services  []Service
	Endpoints []Endpoint
	Hosts     []Host
	Links     []Link
	Blocks    []Block
	Plans     []Plan
}

// NewDeployment returns a deployment. It returns an error if a name is defined
// twice, or if an endpoint or a host refers to an unknown name.
func NewDeployment(spec DeploymentSpec) (*Deployment, error) {
	d := &Deployment{
		name: spec.Name, revision: spec.Revision, delays: spec.Delays,
		zones: slices.Clone(spec.Zones), services: slices.Clone(spec.Services),
		endpoints: slices.Clone(spec.Endpoints), hosts: slices.Clone(spec.Hosts),
		links: slices.Clone(spec.Links), blocks: slices.Clone(spec.Blocks), plans: slices.Clone(spec.Plans),
		regionOf:   make(map[ZoneName]RegionName, len(spec.Zones)),
		serviceOf:  make(map[ServiceName]Service, len(spec.Services)),
		endpointOf: make(map[EndpointName]Endpoint, len(spec.Endpoints)),
		hostOf:     make(map[HostName]Host, len(spec.Hosts)),
		byService:  make(map[ServiceName][]Endpoint, len(spec.Services)),
	}
	if err := d.indexZonesAndServices(); err != nil {
		return nil, fmt.Errorf("index deployment %q: %w", spec.Name, err)
	}
	if err := d.indexEndpointsAndHosts(); err != nil {
		return nil, fmt.Errorf("index deployment %q: %w", spec.Name, err)
	}
	return d, nil
}

func (d *Deployment) indexZonesAndServices() error {
	for _, zone := range d.zones {
		if _, exists := d.regionOf[zone.Name()]; exists {
			return fmt.Errorf("availability zone %q is defined twice", zone.Name())
		}
		d.regionOf[zone.Name()] = zone.Region()
	}
	for _, service := range d.services {
		if _, exists := d.serviceOf[service.Name()]; exists {
			return fmt.Errorf("service %q is defined twice", service.Name())
		}
		d.serviceOf[service.Name()] = service
	}
	return nil
}

func (d *Deployment) indexEndpointsAndHosts() error {
	for _, endpoint := range d.endpoints {
		if _, exists := d.endpointOf[endpoint.Name()]; exists {
			return fmt.Errorf("endpoint %q is defined twice", endpoint.Name())
		}
		if _, exists := d.serviceOf[endpoint.Service()]; !exists {
			return fmt.Errorf("endpoint %q: unknown service %q", endpoint.Name(), endpoint.Service())
		}
		if _, exists := d.regionOf[endpoint.Zone()]; !exists {
			return fmt.Errorf("endpoint %q: unknown availability zone %q", endpoint.Name(), endpoint.Zone())
		}
		d.endpointOf[endpoint.Name()] = endpoint
		d.byService[endpoint.Service()] = append(d.byService[endpoint.Service()], endpoint)
	}
	for _, host := range d.hosts {
		if _, exists := d.hostOf[host.Name()]; exists {
			return fmt.Errorf("host %q is defined twice", host.Name())
		}
		if _, exists := d.regionOf[host.Zone()]; !exists {
			return fmt.Errorf("host %q: unknown availability zone %q", host.Name(), host.Zone())
		}
		d.hostOf[host.Name()] = host
	}
	return nil
}

// Name returns the name of the deployment.
func (d *Deployment) Name() string { return d.name }

// Revision returns the revision number. A higher number replaces a lower one.
func (d *Deployment) Revision() uint64 { return d.revision }

// Delays returns the expected one-way delays.
func (d *Deployment) Delays() Delays { return d.delays }

// Zones returns the availability zones. The result must not be changed.
func (d *Deployment) Zones() []Zone { return d.zones }

// Services returns the services. The result must not be changed.
func (d *Deployment) Services() []Service { return d.services }

// Endpoints returns all endpoints. The result must not be changed.
func (d *Deployment) Endpoints() []Endpoint { return d.endpoints }

// EndpointsOf returns the endpoints of a service. The result must not be
// changed.
func (d *Deployment) EndpointsOf(service ServiceName) []Endpoint { return d.byService[service] }

// Hosts returns the entry hosts. The result must not be changed.
func (d *Deployment) Hosts() []Host { return d.hosts }

// Links returns the links between regions. The result must not be changed.
func (d *Deployment) Links() []Link { return d.links }

// Blocks returns the client blocks. The result must not be changed.
func (d *Deployment) Blocks() []Block { return d.blocks }

// Plans returns the shift plans. The result must not be changed.
func (d *Deployment) Plans() []Plan { return d.plans }

// Service returns the service with the given name.
func (d *Deployment) Service(name ServiceName) (Service, bool) {
	service, exists := d.serviceOf[name]
	return service, exists
}

// Endpoint returns the endpoint with the given name.
func (d *Deployment) Endpoint(name EndpointName) (Endpoint, bool) {
	endpoint, exists := d.endpointOf[name]
	return endpoint, exists
}

// Host returns the entry host with the given name.
func (d *Deployment) Host(name HostName) (Host, bool) {
	host, exists := d.hostOf[name]
	return host, exists
}

// RegionOf returns the region of an availability zone, or "" if unknown.
func (d *Deployment) RegionOf(zone ZoneName) RegionName { return d.regionOf[zone] }

// Regions returns the names of all regions, sorted.
func (d *Deployment) Regions() []RegionName {
	var regions []RegionName
	for _, zone := range d.zones {
		if !slices.Contains(regions, zone.Region()) {
			regions = append(regions, zone.Region())
		}
	}
	slices.Sort(regions)
	return regions
}

// LinkBetween returns the link between two regions.
func (d *Deployment) LinkBetween(a, b RegionName) (Link, bool) {
	for _, link := range d.links {
		if link.Connects(a, b) {
			return link, true
		}
	}
	return Link{}, false
}
