package entry

import (
	"testing"

	"filberthold/model"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

// Guards against exports of all hosts that together exceed the smaller of two
// links.
func TestLinkShareFitsEachLink(t *testing.T) {
	links := []model.Link{model.NewLink("north", "south", 100_000_000), model.NewLink("north", "west", 10_000_000)}
	spec := model.DeploymentSpec{Links: links}
	for _, region := range []model.RegionName{"north", "south", "west"} {
		spec.Zones = append(spec.Zones, model.NewZone(model.ZoneName(region), region))
		spec.Hosts = append(spec.Hosts, model.NewHost(model.HostSpec{Name: model.HostName(region), Zone: model.ZoneName(region)}))
	}
	deployment, err := model.NewDeployment(spec)
	assert.NilError(t, err)
	for i, host := range spec.Hosts {
		bits := linkShare(share.Assign(deployment), deployment, host.Name())
		assert.Equal(t, bits, []int64{5_000_000, 50_000_000, 5_000_000}[i], host.Name())
	}
}
