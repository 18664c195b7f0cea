package entry

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/config"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/place"
	"filberthold/share"
	"filberthold/upstrm"

	"gotest.tools/v3/assert"
)

// Guards against hosts whose exports together exceed a link, and against load
// reports of endpoints on which the host has no slot.
func TestSharesOfHosts(t *testing.T) {
	parts := model.DeploymentParts{Links: []model.Link{
		model.NewLink("north", "south", 100_000_000), model.NewLink("north", "west", 10_000_000),
	}}
	for _, region := range []string{"north", "south", "west"} {
		zone := model.ZoneName(region + "-a")
		parts.Zones = append(parts.Zones, model.NewZone(zone, model.RegionName(region)))
		parts.Hosts = append(parts.Hosts, model.NewHost(model.HostParts{Name: model.HostName(region + "-1"), Zone: zone}))
	}
	unequal, err := model.NewDeployment(parts)
	assert.NilError(t, err)
	deployments := map[string]*model.Deployment{"unequal links": unequal}
	for _, name := range []string{"guild", "hlukodenik"} {
		text, err := os.ReadFile("../deployments/" + name + "/deployment.toml")
		assert.NilError(t, err)
		deployments[name], err = config.ParseDeployment(name, text, 1)
		assert.NilError(t, err)
	}
	for name, deployment := range deployments {
		assignment := share.Assign(deployment)
		for _, link := range deployment.Links() {
			total, ends := int64(0), link.Between()
			for _, host := range deployment.Hosts() {
				bits := linkShare(assignment, deployment, host.Name())
				assert.Assert(t, bits > 0, "%s of %s", host.Name(), name)
				if region := deployment.RegionOf(host.Zone()); region == ends[0] || region == ends[1] {
					total += bits
				}
			}
			assert.Assert(t, total <= link.BitsPerSecond(), "%s: %d bit/s on the link of %v", name, total, ends)
		}
		for _, host := range deployment.Hosts() {
			for _, endpoint := range ownEndpoints(assignment, deployment, host.Name()) {
				assert.Assert(t, assignment.Connections(host.Name(), endpoint.Name()) > 0)
			}
		}
	}
}

// Guards against a share that is computed and not put into force, and against
// load reports that do not reach placement.
func TestAdoptedSharesAreInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 16 << 20
		host := startStopping(t, fakes.Behaviour{ExportBytes: size})
		start := time.Now()
		got, err := host.get("callers:1/s/patternvault/x")
		assert.NilError(t, err)
		assert.Equal(t, len(got.Body), size)
		deployment := host.host.directory.Deployment()
		bits := linkShare(share.Assign(deployment), deployment, model.HostName(host.host.base.Settings().Host))
		least := time.Duration(float64(size) * 8 / float64(bits) * float64(time.Second))
		assert.Assert(t, time.Since(start) > least, "export took %v, and %v at the whole share", time.Since(start), least)

		dials := host.network.Dials()
		time.Sleep(3 * time.Second)
		owned := len(*host.host.prober.owned.Load())
		assert.Assert(t, owned > 0)
		assert.Assert(t, host.network.Dials()-dials >= 3*owned, "load reports are read every second")
		host.host.Abort()
		assert.NilError(t, <-host.ended)

		var events []place.Event
		host.host.membership.report = func(_ context.Context, event place.Event) error {
			events = append(events, event)
			return nil
		}
		endpoints := deployment.Endpoints()[:2]
		host.host.prober.owned.Store(&endpoints)
		host.host.prober.load = func(_ context.Context, address string) (upstrm.Load, error) {
			if address == endpoints[0].Address() {
				return upstrm.Load{}, errOutage
			}
			return upstrm.Load{BusySlots: 2, Slots: 3}, nil
		}
		assert.NilError(t, host.host.prober.probeLoads(t.Context()))
		assert.DeepEqual(t, events, []place.Event{place.LoadReported{Endpoint: endpoints[1].Name(), BusySlots: 2}})
	})
}
