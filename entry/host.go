// Package entry runs an entry host: it connects the packages for each peer
// with the placement core.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"filberthold/admin"
	"filberthold/caller"
	"filberthold/common"
	"filberthold/model"
	"filberthold/place"
	"filberthold/plat"
	"filberthold/upstrm"

	"golang.org/x/sync/errgroup"
)

// Host is one entry host process.
type Host struct {
	base       *common.Base
	platform   *plat.Client
	committer  *plat.Committer
	dispatcher *Dispatcher
	directory  *Directory
	callers    *caller.Server
	operators  *admin.Server
	upstreams  *upstrm.Client
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
	dispatcher := NewDispatcher(base.Log(), place.New(name))
	directory := NewDirectory(name)
	platform := plat.NewNamedClient(settings.PlatformAddress, settings.Host)
	committer := plat.NewCommitter(platform, plat.DefaultWindow)
	callers := caller.NewServer(base, dispatcher, directory, upstreams)
	callers.UseRegister(plat.NewRegister(platform, committer, name))
	return &Host{
		base:       base,
		platform:   platform,
		committer:  committer,
		dispatcher: dispatcher,
		directory:  directory,
		upstreams:  upstreams,
		callers:    callers,
		operators:  admin.NewServer(func() bool { return directory.Deployment() != nil && !callers.IsLeaving() }),
		aborted:    make(chan struct{}),
	}
}

// Listeners are the open sockets of an entry host.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
}

// Run opens the sockets that the settings name and serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	settings := h.base.Settings()
	callers, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", settings.OperatorAddress)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	return h.Serve(ctx, Listeners{Callers: callers, Operators: operators})
}

// Serve serves until ctx ends, and then stops gracefully: requests in flight
// run to their end.
func (h *Host) Serve(ctx context.Context, listeners Listeners) error {
	working, stopWorking := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorking()
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
	group.Go(func() error { return h.loopConfiguration(working) })
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
func (h *Host) WaitReady(ctx context.Context) error { return h.directory.WaitAdopted(ctx) }
