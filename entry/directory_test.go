package entry

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/model"
	"filberthold/peers"

	"gotest.tools/v3/assert"
)

// Guards against a lookup that returns a leaving host, whether the host list, a
// peer or the host itself reports it, or an unreachable host before a reachable
// one.
func TestLookupOmitsLeavingHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := model.DeploymentSpec{Name: "test", Zones: []model.Zone{model.NewZone("z", "r")}}
		for i := range 5 {
			spec.Hosts = append(spec.Hosts, model.NewHost(model.HostSpec{Name: model.HostName(fmt.Sprint("h", i)), Zone: "z", Site: "s"}))
		}
		deployment, err := model.NewDeployment(spec)
		assert.NilError(t, err)
		state := peers.NewState("h0", "1")
		directory := NewDirectory("h0", state)
		client := netip.MustParseAddr("192.0.2.1")
		assert.Equal(t, len(directory.EntryHosts(client)), 0)
		directory.Adopt(deployment)
		state.SetSubset(deployment.Hosts(), time.Now())
		assert.Equal(t, len(directory.EntryHosts(client)), 5)

		time.Sleep(5 * time.Second)
		for _, digest := range []peers.Digest{{Host: "h1"}, {Host: "h2", Leaving: true}, {Host: "h3"}} {
			state.ReceiveDigest(digest, time.Now())
		}
		hosts := directory.EntryHosts(client)
		assert.Equal(t, len(hosts), 4)
		assert.Equal(t, hosts[3].Name(), model.HostName("h4"), "h4 is unreachable")
		directory.setLeavingHosts(map[model.HostName]bool{"h3": true})
		state.Leave()
		hosts = directory.EntryHosts(client)
		assert.Equal(t, len(hosts), 2)
		assert.Equal(t, hosts[0].Name(), model.HostName("h1"))
	})
}
