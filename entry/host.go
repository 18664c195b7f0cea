// Package entry runs an entry host: it connects the servers for callers and
// operators and the clients of upstreams, peers and the platform with the
// placement core.
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
	"filberthold/limits"
	"filberthold/memory"
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

// Host is the process of one entry host.
type Host struct {
	base        *common.Base
	incarnation string
	platform    *store.Client
	committer   *store.Committer
	boundKeys   *store.BoundKeys
	dispatcher  *Dispatcher
	directory   *Directory
	callers     *caller.Server
	operators   *admin.Server
	// guard bounds what callers and operators use.
	guard         *limits.Guard
	upstreams     *upstrm.Client
	mesh          *peers.Mesh
	configWatcher *ConfigWatcher
	membership    *Membership
	prober        *Prober
	// assignment maps slots and link shares to hosts for the revision in force.
	// Only finishAdoption uses it.
	assignment *share.Assignment
	// hasAdopted is true after the first adoption of a revision. Only adopt uses it.
	hasAdopted bool
	releases   *releaseSync
	// aborted is closed when the host must end without a graceful shutdown.
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
	boundKeys := store.NewBoundKeys(platform, committer, name, incarnation)
	callers.UseRegister(store.NewRegister(platform, committer, name), boundKeys)
	membership := newMembership(base.Log(), platform, mesh, directory, dispatcher.Report)
	host := &Host{
		base:        base,
		incarnation: incarnation,
		platform:    platform,
		committer:   committer,
		boundKeys:   boundKeys,
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
	host.releases = newReleaseSync(base.Log(), name, platform, dispatcher.Report)
	dispatcher.peers = meshAndTable{Mesh: mesh, table: host.releases}
	dispatcher.metrics = host.operators.Metrics()
	host.setGuard()
	callers.SetAcceptCheck(func() bool { return directory.Confirmed(time.Now()) })
	callers.ObserveRequests(host.operators.Metrics().ObserveRequest)
	host.configWatcher = &ConfigWatcher{
		log: base.Log(), store: platform, state: mesh.State(), candidates: ring.New[candidate](candidateCapacity),
		adopt: host.adopt, onConfirmed: host.finishAdoption,
	}
	return host
}

// memoryPercent is the percentage of the host's memory for what clients cause to be kept.
const memoryPercent = 25

// setGuard bounds what callers and operators use.
func (h *Host) setGuard() {
	bytes := limits.HostMemory() / 100 * memoryPercent
	memory, shares := memory.NewLimit(bytes), limits.Descriptors(0)
	h.guard = limits.NewGuard(h.base.Log(), limits.Bounds{MaxConnections: shares.Connections, MaxConnectionBytes: bytes / 2}, memory)
	h.guard.Register(h.operators.Registry())
	h.callers.SetGuard(h.guard, shares.Requests, memory)
	h.operators.SetGuard(h.guard, shares.ControlRequests)
}

// Listeners are the open sockets of an entry host.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	// Peers is the UDP socket for other entry hosts. It is nil for a host without
	// peers.
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

// Serve serves until ctx ends. Then it stops gracefully: it waits for the end of
// requests in flight.
func (h *Host) Serve(ctx context.Context, listeners Listeners) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	defer h.platform.Close()
	group, workCtx := errgroup.WithContext(workCtx)
	archive, err := h.openArchive()
	if err != nil {
		return fmt.Errorf("open archive: %w", err)
	}
	group.Go(func() error {
		defer archive.Close()
		return h.dispatcher.loop(workCtx)
	})
	group.Go(archive.loop)
	group.Go(func() error { return h.committer.Loop(workCtx) })
	group.Go(func() error { return h.boundKeys.Loop(workCtx) })
	group.Go(func() error { return h.configWatcher.pollLoop(workCtx) })
	group.Go(func() error { return h.configWatcher.candidateLoop(workCtx) })
	group.Go(func() error { return h.membership.hostListLoop(workCtx) })
	group.Go(func() error { return h.prober.healthLoop(workCtx) })
	group.Go(func() error { return h.prober.loadLoop(workCtx) })
	group.Go(func() error { return h.leavingResponseLoop(workCtx) })
	group.Go(func() error { return h.peerEventLoop(workCtx) })
	group.Go(func() error { return h.releases.writeLoop(workCtx) })
	group.Go(func() error { return h.releases.readLoop(workCtx) })
	if listeners.Peers != nil {
		group.Go(func() error { return h.mesh.Run(workCtx, listeners.Peers) })
	}
	group.Go(func() error { return h.guard.Loop(workCtx) })
	group.Go(func() error { return h.callers.Run(listeners.Callers) })
	group.Go(func() error { return h.operators.Run(listeners.Operators) })
	group.Go(func() error { return h.runStop(ctx, workCtx, stopWork) })
	group.Go(func() error { return h.runAbort(workCtx, archive, stopWork) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run entry host: %w", err)
	}
	return nil
}

// WaitReady waits until the host accepts requests.
func (h *Host) WaitReady(ctx context.Context) error { return h.directory.WaitReady(ctx) }

// AcceptsRequests reports whether the host accepts new requests: it has a
// confirmed configuration and is not leaving.
func (h *Host) AcceptsRequests(now time.Time) bool {
	return h.directory.Confirmed(now) && !h.callers.IsLeaving()
}

// adopt puts a deployment into force in placement, the directory and the mesh.
func (h *Host) adopt(ctx context.Context, deployment *model.Deployment, id revise.RevisionID, body []byte) error {
	// Placement comes first: events keep their order, so placement gets the
	// revision before any request that the new directory accepts.
	event := place.Adopted{Deployment: deployment, Revision: id.Number()}
	if !h.hasAdopted {
		h.hasAdopted = true
		event.IsRestart = !recordFirstStart(ctx, h.platform, model.HostName(h.base.Settings().Host), h.incarnation)
	}
	if err := h.dispatcher.Report(ctx, event); err != nil {
		return fmt.Errorf("report revision: %w", err)
	}
	h.directory.Adopt(deployment)
	h.mesh.Publish(id, body, deployment)
	return nil
}

// finishAdoption makes the host ready and applies its shares of a deployment. The
// shares come after the confirmation: with 680 hosts, the assignment takes long
// enough to delay it.
func (h *Host) finishAdoption(deployment *model.Deployment) {
	h.directory.SetReady()
	h.applyShares(deployment)
}
