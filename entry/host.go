// Package entry runs an entry host: it connects the packages for each peer
// with the placement core.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"filberthold/admin"
	"filberthold/caller"
	"filberthold/common"
	"filberthold/model"
	"filberthold/peers"
	"filberthold/place"
	"filberthold/revise"
	"filberthold/ring"
	"filberthold/share"
	"filberthold/store"
	"filberthold/upstrm"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"
)

// Host is one entry host process.
type Host struct {
	base          *common.Base
	incarnation   string
	platform      *store.Client
	committer     *store.Committer
	bound         *store.BoundKeys
	dispatcher    *Dispatcher
	directory     *Directory
	callers       *caller.Server
	operators     *admin.Server
	upstreams     *upstrm.Client
	mesh          *peers.Mesh
	configuration *ConfigWatcher
	membership    *Membership
	prober        *Prober
	// assignment is that of the revision in force. It is used by settle only.
	assignment *share.Assignment
	releases   *releaseRows
	// aborted is closed when the host must end without a graceful stop.
	aborted   chan struct{}
	abortOnce sync.Once
}

// NewHost returns an entry host that is not yet running.
func NewHost(base *common.Base) *Host {
	return newHost(base, upstrm.NewClient(model.ZoneName(base.Settings().AvailabilityZone)))
}

func newHost(base *common.Base, upstreams *upstrm.Client) *Host {
	settings := base.Settings()
	name := model.HostName(settings.Host)
	incarnation := ulid.Make().String()
	mesh := newMesh(base, incarnation)
	dispatcher := NewDispatcher(base.Log(), place.New(name, place.WithMode(settings.Placement)))
	directory := NewDirectory(name, mesh.State())
	platform := store.NewNamedClient(settings.PlatformAddress, settings.Host)
	committer := store.NewCommitter(platform, store.DefaultBatchWindow)
	callers := caller.NewServer(base, dispatcher, directory, upstreams)
	bound := store.NewBoundKeys(platform, committer, name, incarnation)
	callers.UseRegister(store.NewRegister(platform, committer, name), bound)
	membership := newMembership(base.Log(), platform, mesh, directory, dispatcher.Report)
	host := &Host{
		base:        base,
		incarnation: incarnation,
		platform:    platform,
		committer:   committer,
		bound:       bound,
		dispatcher:  dispatcher,
		directory:   directory,
		upstreams:   upstreams,
		callers:     callers,
		mesh:        mesh,
		membership:  membership,
		prober:      newProber(name, directory, membership, upstreams),
		aborted:     make(chan struct{}),
	}
	host.operators = admin.NewServer(host.Status)
	host.releases = newReleaseRows(base.Log(), name, platform, dispatcher.Report)
	dispatcher.carrier = meshAndRows{Mesh: mesh, rows: host.releases}
	dispatcher.metrics = host.operators.Metrics()
	callers.SetAcceptCheck(func() bool { return directory.Confirmed(time.Now()) })
	callers.ObserveRequests(host.operators.Metrics().ObserveRequest)
	host.configuration = &ConfigWatcher{
		log: base.Log(), store: platform, state: mesh.State(), offers: ring.New[offer](offerCapacity),
		adopt: host.adopt, confirmed: host.settle,
	}
	return host
}

// Listeners are the open sockets of an entry host.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	// Peers is the UDP socket for other entry hosts. It is nil for a host that
	// talks to none.
	Peers net.PacketConn
}

// Run opens the sockets that the settings name and serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	return h.Serve(ctx, listeners)
}

func (h *Host) listen() (Listeners, error) {
	settings := h.base.Settings()
	callers, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return Listeners{}, fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", settings.OperatorAddress)
	if err != nil {
		_ = callers.Close()
		return Listeners{}, fmt.Errorf("listen for operators: %w", err)
	}
	peerConn, err := net.ListenPacket("udp", settings.PeerAddress)
	if err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return Listeners{}, fmt.Errorf("listen for peers: %w", err)
	}
	return Listeners{Callers: callers, Operators: operators, Peers: peerConn}, nil
}

// Serve serves until ctx ends, and then stops gracefully: requests in flight
// run to their end.
func (h *Host) Serve(ctx context.Context, listeners Listeners) error {
	working, stopWorking := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorking()
	defer h.platform.Close()
	group, working := errgroup.WithContext(working)
	archive, err := h.openArchive()
	if err != nil {
		return fmt.Errorf("open archive: %w", err)
	}
	group.Go(func() error {
		defer archive.Close()
		return h.dispatcher.loop(working)
	})
	group.Go(archive.loop)
	group.Go(func() error { return h.committer.Loop(working) })
	group.Go(func() error { return h.bound.Loop(working) })
	group.Go(func() error { return h.configuration.loopPoll(working) })
	group.Go(func() error { return h.configuration.loopOffers(working) })
	group.Go(func() error { return h.membership.loopMembers(working) })
	group.Go(func() error { return h.prober.loop(working) })
	group.Go(func() error { return h.prober.loopLoads(working) })
	group.Go(func() error { return h.loopLeavingAnswers(working) })
	group.Go(func() error { return h.loopPeers(working) })
	group.Go(func() error { return h.releases.loopWrite(working) })
	group.Go(func() error { return h.releases.loopRead(working) })
	if listeners.Peers != nil {
		group.Go(func() error { return h.mesh.Run(working, listeners.Peers) })
	}
	group.Go(func() error { return h.callers.Run(listeners.Callers) })
	group.Go(func() error { return h.operators.Run(listeners.Operators) })
	group.Go(func() error { return h.runStop(ctx, working, stopWorking) })
	group.Go(func() error { return h.runAbort(working, archive, stopWorking) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run entry host: %w", err)
	}
	return nil
}

// WaitReady waits until the host takes work.
func (h *Host) WaitReady(ctx context.Context) error { return h.directory.WaitReady(ctx) }

// AcceptsRequests reports whether the host takes new work: it has a configuration
// that is confirmed, and it is not stopping.
func (h *Host) AcceptsRequests(now time.Time) bool {
	return h.directory.Confirmed(now) && !h.callers.IsLeaving()
}

// adopt puts a deployment into force in all parts of the host.
func (h *Host) adopt(ctx context.Context, deployment *model.Deployment, head revise.RevisionID, body []byte) error {
	// Placement comes first: events keep their order, so no request that finds
	// the directory ready reaches placement before the revision does.
	event := place.Adopted{Deployment: deployment, Revision: head.Number()}
	if err := h.dispatcher.Report(ctx, event); err != nil {
		return fmt.Errorf("report revision: %w", err)
	}
	h.directory.Adopt(deployment)
	h.mesh.Publish(head, body, deployment)
	return nil
}

// settle ends the adoption of a deployment. The shares come last: at 680 hosts
// the assignment takes long enough to delay the confirmation.
func (h *Host) settle(deployment *model.Deployment) {
	h.directory.SetReady()
	h.adoptShares(deployment)
}
