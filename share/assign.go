// Package share divides the slots, connections and link bandwidth of a
// deployment between its entry hosts. The hosts exchange no messages for this:
// every host computes the same assignment from the same revision. A Ledger
// records which slots one host may use and which are in use.
package share

import (
	"cmp"
	"slices"

	"filberthold/model"
)

// Slot is the capacity of an endpoint to execute one request. Index is in
// 0..n-1 for an endpoint that executes n requests at the same time.
type Slot struct {
	Endpoint model.EndpointName `cbor:"endpoint"`
	Index    int                `cbor:"index"`
}

// Assignment assigns every slot of a revision to exactly one entry host, its
// owner. It is immutable.
type Assignment struct {
	revision   uint64
	deployment *model.Deployment
	// owner has an entry for every slot, unless there are no active hosts.
	owner map[Slot]model.HostName
	// activeHosts holds the hosts that are not confirmed as stopped, sorted by name.
	activeHosts []model.Host
}

// Assign computes the assignment of a deployment. A host gets slots in its own
// region if the region has endpoints of the service, and otherwise slots in all
// regions. The slots of a region without hosts are spread over all hosts.
func Assign(deployment *model.Deployment) *Assignment {
	assignment := &Assignment{
		revision:   deployment.Revision(),
		deployment: deployment,
		owner:      make(map[Slot]model.HostName),
	}
	for _, host := range deployment.Hosts() {
		if !host.Stopped() {
			assignment.activeHosts = append(assignment.activeHosts, host)
		}
	}
	slices.SortFunc(assignment.activeHosts, func(a, b model.Host) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, service := range deployment.Services() {
		assignment.assignService(service.Name())
	}
	return assignment
}

// ForRevision returns the assignment of another revision. If neither hosts nor
// endpoints differ, as for a new plan, it reuses the owners: with 680 hosts a full
// computation takes long enough to delay placement.
func (a *Assignment) ForRevision(deployment *model.Deployment) *Assignment {
	isUnchanged := slices.Equal(a.deployment.Hosts(), deployment.Hosts()) &&
		slices.Equal(a.deployment.Endpoints(), deployment.Endpoints()) &&
		slices.Equal(a.deployment.Zones(), deployment.Zones()) &&
		slices.Equal(a.deployment.Services(), deployment.Services())
	if !isUnchanged {
		return Assign(deployment)
	}
	return &Assignment{revision: deployment.Revision(), deployment: deployment, owner: a.owner, activeHosts: a.activeHosts}
}

// assignService assigns the slots of a service: first a reserved number to hosts
// whose region has no endpoints, then those of each region to its own hosts, and
// the rest to all hosts.
func (a *Assignment) assignService(service model.ServiceName) {
	if len(a.activeHosts) == 0 {
		return
	}
	proposers := make(map[model.RegionName][]*proposer)
	total := 0
	for _, endpoint := range a.deployment.EndpointsOf(service) {
		region := a.deployment.RegionOf(endpoint.Zone())
		for index := range endpoint.Slots() {
			slot := Slot{Endpoint: endpoint.Name(), Index: index}
			proposers[region] = append(proposers[region], &proposer{slot: slot, hash: hashOfSlot(slot)})
			total++
		}
	}
	var remoteHosts []model.Host
	localHosts := make(map[model.RegionName][]model.Host)
	for _, host := range a.activeHosts {
		region := a.deployment.RegionOf(host.Zone())
		if len(proposers[region]) == 0 {
			remoteHosts = append(remoteHosts, host)
			continue
		}
		localHosts[region] = append(localHosts[region], host)
	}
	remaining := a.reserve(service, remoteHosts, proposers, total/len(a.activeHosts))
	for _, region := range a.deployment.Regions() {
		if len(localHosts[region]) == 0 {
			continue
		}
		a.match(remaining[region], divideSlots(service, localHosts[region], len(remaining[region])))
		delete(remaining, region)
	}
	var leftover []*proposer
	for _, region := range a.deployment.Regions() {
		leftover = append(leftover, remaining[region]...)
	}
	a.match(leftover, divideSlots(service, a.activeHosts, len(leftover)))
}

// reserve assigns slotsPerHost slots to each of the hosts, whose regions have no
// endpoints of the service. It returns the remaining slots by region.
func (a *Assignment) reserve(service model.ServiceName, hosts []model.Host, byRegion map[model.RegionName][]*proposer, slotsPerHost int) map[model.RegionName][]*proposer {
	var all []*proposer
	for _, region := range a.deployment.Regions() {
		all = append(all, byRegion[region]...)
	}
	a.match(all, divideSlots(service, hosts, slotsPerHost*len(hosts)))
	remaining := make(map[model.RegionName][]*proposer)
	for region, group := range byRegion {
		for _, proposer := range group {
			if _, owned := a.owner[proposer.slot]; !owned {
				remaining[region] = append(remaining[region], proposer)
			}
		}
	}
	return remaining
}

// Revision returns the revision of the deployment.
func (a *Assignment) Revision() uint64 { return a.revision }

// Owner returns the host that owns a slot, or "" if there is none.
func (a *Assignment) Owner(slot Slot) model.HostName { return a.owner[slot] }

// SlotsOf returns the slots of a host, in the order of the configuration.
func (a *Assignment) SlotsOf(host model.HostName) []Slot {
	var slots []Slot
	for _, endpoint := range a.deployment.Endpoints() {
		for index := range endpoint.Slots() {
			slot := Slot{Endpoint: endpoint.Name(), Index: index}
			if a.owner[slot] == host {
				slots = append(slots, slot)
			}
		}
	}
	return slots
}

// Connections returns how many connections a host may open to an endpoint. The
// connections are divided by slot, so a host without a slot may open none.
func (a *Assignment) Connections(host model.HostName, name model.EndpointName) int {
	endpoint, _ := a.deployment.Endpoint(name)
	connections := 0
	for index := range endpoint.Slots() {
		if a.owner[Slot{Endpoint: name, Index: index}] == host {
			connections += part(endpoint.Connections(), endpoint.Slots(), index)
		}
	}
	return connections
}

// LinkBitsPerSecond returns a host's share of a link, in each direction. A link is
// divided evenly between the hosts in the two regions that it connects.
func (a *Assignment) LinkBitsPerSecond(host model.HostName, link model.Link) int64 {
	regions := link.Regions()
	users, position := 0, -1
	for _, other := range a.activeHosts {
		if !slices.Contains(regions[:], a.deployment.RegionOf(other.Zone())) {
			continue
		}
		if other.Name() == host {
			position = users
		}
		users++
	}
	if position < 0 {
		return 0
	}
	return part(link.BitsPerSecond(), int64(users), int64(position))
}

// part returns the size of the part at position when total is divided into count
// parts whose sizes differ by at most one.
func part[T int | int64](total, count, position T) T {
	size := total / count
	if position < total%count {
		size++
	}
	return size
}
