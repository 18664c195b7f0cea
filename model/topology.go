package model

import (
	"net/netip"
	"time"
)

// Zone is an availability zone.
type Zone struct {
	name   ZoneName
	region RegionName
}

// NewZone returns an availability zone of a region.
func NewZone(name ZoneName, region RegionName) Zone {
	return Zone{name: name, region: region}
}

// Name returns the name of the availability zone.
func (z Zone) Name() ZoneName { return z.name }

// Region returns the region to which the availability zone belongs.
func (z Zone) Region() RegionName { return z.region }

// Host is an entry host. It accepts requests from callers and sends them to
// upstream endpoints.
type Host struct {
	name            HostName
	zone            ZoneName
	site            SiteName
	callerAddress   string
	peerAddress     string
	operatorAddress string
	// stopped is true only after an operator has confirmed that the host no longer
	// runs. Other hosts may then use its slots without a release.
	stopped bool
}

// HostSpec holds the arguments of NewHost.
type HostSpec struct {
	Name            HostName
	Zone            ZoneName
	Site            SiteName
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	Stopped         bool
}

// NewHost returns an entry host.
func NewHost(spec HostSpec) Host {
	return Host{
		name:            spec.Name,
		zone:            spec.Zone,
		site:            spec.Site,
		callerAddress:   spec.CallerAddress,
		peerAddress:     spec.PeerAddress,
		operatorAddress: spec.OperatorAddress,
		stopped:         spec.Stopped,
	}
}

// Name returns the name of the host.
func (h Host) Name() HostName { return h.name }

// Zone returns the availability zone of the host.
func (h Host) Zone() ZoneName { return h.zone }

// Site returns the site to which the host belongs.
func (h Host) Site() SiteName { return h.site }

// CallerAddress returns the IP address and TCP port for callers.
func (h Host) CallerAddress() string { return h.callerAddress }

// PeerAddress returns the IP address and UDP port for other entry hosts.
func (h Host) PeerAddress() string { return h.peerAddress }

// OperatorAddress returns the IP address and TCP port for operators.
func (h Host) OperatorAddress() string { return h.operatorAddress }

// Stopped reports whether an operator has confirmed that the host is stopped.
func (h Host) Stopped() bool { return h.stopped }

// Endpoint is one address of an upstream service.
type Endpoint struct {
	name    EndpointName
	service ServiceName
	zone    ZoneName
	address string
	// slots is the number of requests that the endpoint executes at the same
	// time. It is at least 1.
	slots int
	// connections is the number of connections that the endpoint accepts from
	// all entry hosts together. It is at least slots.
	connections int
}

// EndpointSpec holds the arguments of NewEndpoint; see Endpoint for their ranges.
type EndpointSpec struct {
	Name        EndpointName
	Service     ServiceName
	Zone        ZoneName
	Address     string
	Slots       int
	Connections int
}

// NewEndpoint returns an endpoint.
func NewEndpoint(spec EndpointSpec) Endpoint {
	return Endpoint{
		name:        spec.Name,
		service:     spec.Service,
		zone:        spec.Zone,
		address:     spec.Address,
		slots:       spec.Slots,
		connections: spec.Connections,
	}
}

// Name returns the name of the endpoint.
func (e Endpoint) Name() EndpointName { return e.name }

// Service returns the service that the endpoint belongs to.
func (e Endpoint) Service() ServiceName { return e.service }

// Zone returns the availability zone of the endpoint.
func (e Endpoint) Zone() ZoneName { return e.zone }

// Address returns the IP address and TCP port of the endpoint.
func (e Endpoint) Address() string { return e.address }

// Slots returns how many requests the endpoint executes at the same time.
func (e Endpoint) Slots() int { return e.slots }

// Connections returns how many connections the endpoint accepts from all entry
// hosts together.
func (e Endpoint) Connections() int { return e.connections }

// Link is the network capacity between two regions, in each direction.
type Link struct {
	between       [2]RegionName
	bitsPerSecond int64
}

// NewLink returns the link between two regions.
func NewLink(a, b RegionName, bitsPerSecond int64) Link {
	return Link{between: [2]RegionName{a, b}, bitsPerSecond: bitsPerSecond}
}

// Connects reports whether the link connects regions a and b.
func (l Link) Connects(a, b RegionName) bool {
	return l.between == [2]RegionName{a, b} || l.between == [2]RegionName{b, a}
}

// Regions returns the two regions that the link connects.
func (l Link) Regions() [2]RegionName { return l.between }

// BitsPerSecond returns the capacity in each direction.
func (l Link) BitsPerSecond() int64 { return l.bitsPerSecond }

// Block is a client block: a prefix of client IP addresses and its home site.
type Block struct {
	prefix netip.Prefix
	site   SiteName
}

// NewBlock returns a client block.
func NewBlock(prefix netip.Prefix, site SiteName) Block {
	return Block{prefix: prefix.Masked(), site: site}
}

// Prefix returns the masked prefix of the block.
func (b Block) Prefix() netip.Prefix { return b.prefix }

// Site returns the home site of the block.
func (b Block) Site() SiteName { return b.site }

// Delays holds the expected one-way network delays of a deployment.
type Delays struct {
	betweenZones   time.Duration
	betweenRegions time.Duration
	toClients      time.Duration
}

// NewDelays returns the one-way delays between availability zones, between
// regions and to clients.
func NewDelays(betweenZones, betweenRegions, toClients time.Duration) Delays {
	return Delays{betweenZones: betweenZones, betweenRegions: betweenRegions, toClients: toClients}
}

// BetweenZones returns the one-way delay between zones of one region.
func (d Delays) BetweenZones() time.Duration { return d.betweenZones }

// BetweenRegions returns the one-way delay between two regions.
func (d Delays) BetweenRegions() time.Duration { return d.betweenRegions }

// ToClients returns the one-way delay between clients and entry hosts.
func (d Delays) ToClients() time.Duration { return d.toClients }
