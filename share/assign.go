// Package share divides the slots, connections and link bandwidth of a
// deployment between its entry hosts, without messages: every host computes
// the same assignment from the same revision. A Ledger keeps one host's share.
package share

import (
	"cmp"
	"slices"

	"filberthold/model"
)

// Slot is one of the requests that an endpoint executes at the same time.
type Slot struct {
	Endpoint model.EndpointName `cbor:"endpoint"`
	Index    int                `cbor:"index"`
}

// Assignment gives every slot of a revision to exactly one entry host. It is
// immutable.
type Assignment struct {
	revision   uint64
	deployment *model.Deployment
	// owner has an entry for every slot, unless no host takes part.
	owner map[Slot]model.HostName
	// live holds the hosts that are not confirmed as stopped, sorted by name.
	live []model.Host
}

// Assign computes the assignment of a deployment. A host gets slots of its
// own region where the region has endpoints of the service; slots of a region
// without hosts, and hosts of a region without endpoints, are spread over all.
func Assign(deployment *model.Deployment) *Assignment {
	assignment := &Assignment{
		revision:   deployment.Revision(),
		deployment: deployment,
		owner:      make(map[Slot]model.HostName),
	}
	for _, host := range deployment.Hosts() {
		if !host.Stopped() {
			assignment.live = append(assignment.live, host)
		}
	}
	slices.SortFunc(assignment.live, func(a, b model.Host) int { return cmp.Compare(a.Name(), b.Name()) })
	for _, service := range deployment.Services() {
		assignment.assignService(service.Name())
	}
	return assignment
}

// ForRevision returns the assignment of another revision. If neither hosts nor
// endpoints differ, as for a new plan, it reuses the owners: at 680 hosts a
// full computation takes long enough to delay placement.
func (a *Assignment) ForRevision(deployment *model.Deployment) *Assignment {
	isSame := slices.Equal(a.deployment.Hosts(), deployment.Hosts()) &&
		slices.Equal(a.deployment.Endpoints(), deployment.Endpoints()) &&
		slices.Equal(a.deployment.Zones(), deployment.Zones()) &&
		slices.Equal(a.deployment.Services(), deployment.Services())
	if !isSame {
		return Assign(deployment)
	}
	return &Assignment{revision: deployment.Revision(), deployment: deployment, owner: a.owner, live: a.live}
}

func (a *Assignment) assignService(service model.ServiceName) {
	if len(a.live) == 0 {
		return
	}
	seats := make(map[model.RegionName][]*seat)
	total := 0
	for _, endpoint := range a.deployment.EndpointsOf(service) {
		region := a.deployment.RegionOf(endpoint.Zone())
		for index := range endpoint.Slots() {
			slot := Slot{Endpoint: endpoint.Name(), Index: index}
			seats[region] = append(seats[region], &seat{slot: slot, hash: slotHash(slot)})
			total++
		}
	}
	var distant []model.Host
	near := make(map[model.RegionName][]model.Host)
	for _, host := range a.live {
		region := a.deployment.RegionOf(host.Zone())
		if len(seats[region]) == 0 {
			distant = append(distant, host)
			continue
		}
		near[region] = append(near[region], host)
	}
	rest := a.reserve(service, distant, seats, total/len(a.live))
	for _, region := range a.deployment.Regions() {
		if len(near[region]) == 0 {
			continue
		}
		a.match(rest[region], divide(service, near[region], len(rest[region])))
		delete(rest, region)
	}
	var spread []*seat
	for _, region := range a.deployment.Regions() {
		spread = append(spread, rest[region]...)
	}
	a.match(spread, divide(service, a.live, len(spread)))
}

// reserve gives room slots each to hosts whose region has no endpoints of the
// service, and returns the slots that are left.
func (a *Assignment) reserve(service model.ServiceName, hosts []model.Host, seats map[model.RegionName][]*seat, room int) map[model.RegionName][]*seat {
	var all []*seat
	for _, region := range a.deployment.Regions() {
		all = append(all, seats[region]...)
	}
	a.match(all, divide(service, hosts, room*len(hosts)))
	rest := make(map[model.RegionName][]*seat)
	for region, group := range seats {
		for _, seat := range group {
			if _, owned := a.owner[seat.slot]; !owned {
				rest[region] = append(rest[region], seat)
			}
		}
	}
	return rest
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

// Connections returns how many connections a host may open to an endpoint.
// They are divided by slot, so a host without a slot opens none.
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

// LinkBitsPerSecond returns a host's part of a link, in each direction. A link
// is divided between the hosts of the two regions that it connects.
func (a *Assignment) LinkBitsPerSecond(host model.HostName, link model.Link) int64 {
	ends := link.Regions()
	users, position := 0, -1
	for _, other := range a.live {
		if !slices.Contains(ends[:], a.deployment.RegionOf(other.Zone())) {
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

// part returns the size of one of count parts that add up to total.
func part[T int | int64](total, count, position T) T {
	size := total / count
	if position < total%count {
		size++
	}
	return size
}
