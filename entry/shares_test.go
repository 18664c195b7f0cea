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
	parts := model.DeploymentParts{Links: links}
	for _, region := range []model.RegionName{"north", "south", "west"} {
		parts.Zones = append(parts.Zones, model.NewZone(model.ZoneName(region), region))
		parts.Hosts = append(parts.Hosts, model.NewHost(model.HostParts{Name: model.HostName(region), Zone: model.ZoneName(region)}))
	}
	deployment, err := model.NewDeployment(parts)
	assert.NilError(t, err)
	for i, host := range parts.Hosts {
		bits := linkShare(share.Assign(deployment), deployment, host.Name())
		assert.Equal(t, bits, []int64{5_000_000, 50_000_000, 5_000_000}[i], host.Name())
	}
}
