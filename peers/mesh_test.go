package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/revise"
	"filberthold/share"

	"gotest.tools/v3/assert"
)

// newLoopbackDeployment returns a deployment of hosts on free loopback sockets.
func newLoopbackDeployment(t testing.TB, count int) (*model.Deployment, []net.PacketConn) {
	spec := model.DeploymentSpec{Name: "test", Revision: 1, Zones: []model.Zone{model.NewZone("z", "r")}}
	var conns []net.PacketConn
	for i := range count {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		conns = append(conns, conn)
		name := model.HostName(fmt.Sprintf("host-%03d", i))
		spec.Hosts = append(spec.Hosts, model.NewHost(model.HostSpec{Name: name, Zone: "z", PeerAddress: conn.LocalAddr().String()}))
	}
	deployment, err := model.NewDeployment(spec)
	assert.NilError(t, err)
	return deployment, conns
}

func runMesh(t testing.TB, host model.Host, conn net.PacketConn, seeds ...string) *peers.Mesh {
	mesh := peers.NewMesh(peers.Options{
		Log: slog.New(slog.DiscardHandler), Host: host.Name(), Incarnation: "1", Secret: "secret", Seeds: seeds,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- mesh.Run(ctx, conn) }()
	t.Cleanup(func() { cancel(); assert.Check(t, <-done) })
	return mesh
}

// Guards against frames that do not reach all hosts. A host that starts with
// one seed receives the body of the current revision, and marks and releases
// reach hosts that are not peers of their sender.
func TestRevisionsMarksAndReleasesReachAllHosts(t *testing.T) {
	deployment, conns := newLoopbackDeployment(t, 9)
	body := []byte("name = 'test'\n")
	id := revise.RevisionIDOf(1, body)
	hosts := deployment.Hosts()
	meshes := []*peers.Mesh{runMesh(t, hosts[0], conns[0])}
	meshes[0].Publish(id, body, deployment)
	for i := 1; i < len(hosts); i++ {
		mesh := runMesh(t, hosts[i], conns[i], hosts[0].PeerAddress())
		event, err := mesh.Events().Get(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, event.(peers.RevisionReceived).Body, body)
		assert.Equal(t, event.(peers.RevisionReceived).ID, id)
		mesh.Publish(id, body, deployment)
		meshes = append(meshes, mesh)
	}
	mark := peers.LeavingMark{Endpoint: "e", Incarnation: "1"}
	// Publish removes marks of endpoints outside the deployment; Mark accepts
	// them.
	meshes[8].Mark(mark)
	for _, mesh := range meshes[:8] {
		event, err := mesh.Events().Get(t.Context())
		for err == nil {
			if marked, isMarked := event.(peers.EndpointsMarked); isMarked {
				assert.DeepEqual(t, marked.Marks, []peers.LeavingMark{mark})
				break
			}
			event, err = mesh.Events().Get(t.Context())
		}
		assert.NilError(t, err)
	}
	releases := []share.Release{{Host: hosts[8].Name(), Slot: share.Slot{Endpoint: "e"}, Revision: 2}}
	meshes[8].AnnounceReleases(releases)
	for _, mesh := range meshes[:8] {
		event, err := mesh.Events().Get(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, event, peers.SlotsReleased{Releases: releases})
	}
}

// waitConnected waits until every host is connected with all its peers.
func waitConnected(t testing.TB, meshes []*peers.Mesh, hosts []model.Host) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i, mesh := range meshes {
		for len(mesh.ConnectedHosts()) < len(peers.Subset(hosts[i].Name(), hosts)) {
			assert.NilError(t, ctx.Err())
			time.Sleep(10 * time.Millisecond)
		}
	}
}
