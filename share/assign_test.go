package share_test

import (
	"fmt"
	"slices"
	"testing"

	"filberthold/model"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

// deploy returns a deployment with one service. Hosts and endpoints are spread
// evenly over the regions. Hosts for which isAbsent returns true are left out.
func deploy(revision uint64, regions, endpoints, slots, hosts int, isAbsent func(int) bool) *model.Deployment {
	spec := model.DeploymentSpec{
		Revision: revision,
		Services: []model.Service{model.NewService(model.ServiceSpec{Name: "view", Class: model.Read})},
	}
	for i := range regions {
		region := model.RegionName(fmt.Sprintf("region-%d", i))
		spec.Zones = append(spec.Zones, model.NewZone(model.ZoneName(region), region))
	}
	spec.Links = []model.Link{model.NewLink("region-0", "region-1", 1_000_003)}
	zone := func(i int) model.ZoneName { return spec.Zones[i%regions].Name() }
	for i := range endpoints {
		spec.Endpoints = append(spec.Endpoints, model.NewEndpoint(model.EndpointSpec{
			Name: model.EndpointName(fmt.Sprintf("view-%04d", i)), Service: "view", Zone: zone(i), Slots: slots, Connections: 361,
		}))
	}
	for i := range hosts {
		if !isAbsent(i) {
			name := model.HostName(fmt.Sprintf("host-%03d", i))
			spec.Hosts = append(spec.Hosts, model.NewHost(model.HostSpec{Name: name, Zone: zone(i)}))
		}
	}
	deployment, err := model.NewDeployment(spec)
	if err != nil {
		panic(err)
	}
	return deployment
}

// Guards against slots without an owner, uneven shares, shares in other
// regions, shares that do not add up, a change of hosts that moves far more
// slots than necessary, and owners from ForRevision that differ from those of
// Assign. The log line reports stranded slots: those that crashed hosts own
// until a revision removes the hosts.
func TestAssignmentIsCompleteBalancedAndStable(t *testing.T) {
	cases := []struct{ regions, endpoints, hosts, crashed int }{
		{3, 16, 12, 1}, {3, 12, 12, 1}, {4, 2720, 680, 44}, {2, 12, 3, 1},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%d of %d hosts", test.crashed, test.hosts), func(t *testing.T) {
			deployment := deploy(1, test.regions, test.endpoints, 3, test.hosts, func(int) bool { return false })
			isCrashed := func(i int) bool {
				return i%(test.hosts/test.crashed) == 0 && i/(test.hosts/test.crashed) < test.crashed
			}
			before := share.Assign(deployment)
			after := share.Assign(deploy(2, test.regions, test.endpoints, 3, test.hosts, isCrashed))

			total, remote, stranded, moved, connections := 0, 0, 0, 0, 0
			counts := make(map[model.HostName]int)
			inZone := make(map[model.ZoneName][]int)
			for _, host := range deployment.Hosts() {
				for _, slot := range before.SlotsOf(host.Name()) {
					endpoint, _ := deployment.Endpoint(slot.Endpoint)
					total++
					counts[host.Name()]++
					if endpoint.Zone() != host.Zone() {
						remote++
					}
				}
				inZone[host.Zone()] = append(inZone[host.Zone()], counts[host.Name()])
				for _, endpoint := range deployment.Endpoints() {
					connections += before.Connections(host.Name(), endpoint.Name())
				}
			}
			assert.Equal(t, total, 3*test.endpoints)
			assert.Equal(t, connections, 361*test.endpoints)
			var bits int64
			for i, host := range deployment.Hosts() {
				bits += before.LinkBitsPerSecond(host.Name(), deployment.Links()[0])
				if isCrashed(i) {
					stranded += counts[host.Name()]
				}
				for _, slot := range before.SlotsOf(host.Name()) {
					if after.Owner(slot) != host.Name() {
						moved++
					}
				}
			}
			for zone, shares := range inZone {
				assert.Assert(t, slices.Max(shares)-slices.Min(shares) <= 1, "%s: %v", zone, shares)
			}
			assert.Equal(t, bits, int64(1_000_003))
			assert.Equal(t, remote, 0)
			unchanged := before.ForRevision(deploy(3, test.regions, test.endpoints, 3, test.hosts, func(int) bool { return false }))
			assert.Equal(t, unchanged.Revision(), uint64(3))
			assert.DeepEqual(t, unchanged.SlotsOf("host-002"), before.SlotsOf("host-002"))
			changed := before.ForRevision(deploy(4, test.regions, test.endpoints, 3, test.hosts, isCrashed))
			assert.DeepEqual(t, changed.SlotsOf("host-002"), after.SlotsOf("host-002"))
			t.Logf("slots %d, stranded %.1f%%, moved by the revision that removes the crashed hosts %.1f%%",
				total, 100*float64(stranded)/float64(total), 100*float64(moved)/float64(total))
			assert.Assert(t, moved <= 3*stranded, "%d slots moved, %d stranded", moved, stranded)
		})
	}
}
