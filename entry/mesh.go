package entry

import (
	"context"
	"fmt"

	"filberthold/common"
	"filberthold/model"
	"filberthold/peers"
)

// newMesh returns the connection to other entry hosts.
func newMesh(base *common.Base, incarnation string) *peers.Mesh {
	settings := base.Settings()
	if settings.PeerSecret == "" {
		base.Log().Warn("peerSecret is not set: any process that reaches the peer address can act as a peer")
	}
	return peers.NewMesh(peers.Options{
		Log:         base.Log(),
		Host:        model.HostName(settings.Host),
		Incarnation: incarnation,
		Secret:      settings.PeerSecret,
		Seeds:       settings.PeerSeeds,
	})
}

// loopPeers passes on what peers report.
func (h *Host) loopPeers(ctx context.Context) error {
	for {
		event, err := h.mesh.Events().Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for peers: %w", err)
		}
		switch event := event.(type) {
		case peers.RevisionReceived:
			err = h.configuration.offers.Put(ctx, offer{head: event.ID, body: event.Body, at: event.At})
		case peers.EndpointsMarked:
			err = h.membership.markFromPeer(ctx, event.Marks)
		default:
			err = h.takeLoan(ctx, event)
		}
		if err != nil {
			return fmt.Errorf("pass on event of peer: %w", err)
		}
	}
}
