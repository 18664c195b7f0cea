package entry

import (
	"context"
	"fmt"

	"filberthold/common"
	"filberthold/model"
	"filberthold/peers"
)

// newMesh returns the mesh that connects this host to other entry hosts.
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

// peerEventLoop passes events from peers to the components that handle them.
func (h *Host) peerEventLoop(ctx context.Context) error {
	for {
		event, err := h.mesh.Events().Get(ctx)
		if err != nil {
			return fmt.Errorf("wait for peers: %w", err)
		}
		switch event := event.(type) {
		case peers.RevisionReceived:
			err = h.configWatcher.candidates.Put(ctx, candidate{id: event.ID, body: event.Body, seenAt: event.At})
		case peers.EndpointsMarked:
			err = h.membership.markFromPeer(ctx, event.Marks)
		default:
			err = h.reportLoanEvent(ctx, event)
		}
		if err != nil {
			return fmt.Errorf("pass on event of peer: %w", err)
		}
	}
}
