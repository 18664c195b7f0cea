// Package entry runs an entry host: it connects the packages for each peer
// with the placement core.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"filberthold/admin"
	"filberthold/caller"
	"filberthold/common"
	"filberthold/config"
	"filberthold/model"
	"filberthold/place"
	"filberthold/plat"
	"filberthold/upstrm"

	"golang.org/x/sync/errgroup"
)

const (
	// headPollInterval keeps 680 hosts at 227 reads a second of the store.
	headPollInterval = 3 * time.Second
	// firstPollInterval applies until a first revision has been adopted.
	firstPollInterval = 200 * time.Millisecond
	// HeadKey is the row that holds the number of the accepted revision.
	HeadKey = "config/head"
)

// Host is one entry host process.
type Host struct {
	base       *common.Base
	platform   *plat.Client
	dispatcher *Dispatcher
	directory  *Directory
	callers    *caller.Server
	operators  *admin.Server
	upstreams  *upstrm.Client
}

// NewHost returns an entry host that is not yet running.
func NewHost(base *common.Base) *Host {
	settings := base.Settings()
	name := model.HostName(settings.Host)
	dispatcher := NewDispatcher(base.Log(), place.New(name, place.WithMode(settings.Placement)))
	directory := NewDirectory(name)
	upstreams := upstrm.NewClient(model.ZoneName(settings.AvailabilityZone))
	return &Host{
		base:       base,
		platform:   plat.NewClient(settings.PlatformAddress),
		dispatcher: dispatcher,
		directory:  directory,
		upstreams:  upstreams,
		callers:    caller.NewServer(base, dispatcher, directory, upstreams),
		operators:  admin.NewServer(func() bool { return directory.Deployment() != nil }),
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
	group.Go(func() error { return h.dispatcher.loop(working) })
	group.Go(func() error { return h.loopConfiguration(working) })
	group.Go(func() error { return h.callers.Run(listeners.Callers) })
	group.Go(func() error { return h.operators.Run(listeners.Operators) })
	group.Go(func() error { return h.runStop(ctx, working, stopWorking) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("run entry host: %w", err)
	}
	return nil
}

// WaitReady waits until the host takes work.
func (h *Host) WaitReady(ctx context.Context) error { return h.directory.WaitAdopted(ctx) }

// runStop waits for the end of ctx and then stops the servers in order.
func (h *Host) runStop(ctx, working context.Context, stopWorking context.CancelFunc) error {
	select {
	case <-ctx.Done():
	case <-working.Done():
	}
	h.base.Log().Info("stopping")
	err := h.callers.Shutdown(context.WithoutCancel(ctx))
	stopWorking()
	return errors.Join(err, h.operators.Shutdown())
}

// loopConfiguration polls the platform for a newer revision.
func (h *Host) loopConfiguration(ctx context.Context) error {
	for {
		if err := h.refresh(ctx); err != nil {
			h.base.Log().Warn("configuration not refreshed", "error", err)
		}
		interval := headPollInterval
		if h.directory.Deployment() == nil {
			interval = firstPollInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return fmt.Errorf("poll configuration: %w", ctx.Err())
		}
	}
}

func (h *Host) refresh(ctx context.Context) error {
	row, err := h.platform.Get(ctx, HeadKey)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	revision, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return fmt.Errorf("parse head: %w", err)
	}
	if current := h.directory.Deployment(); current != nil && current.Revision() >= revision {
		return nil
	}
	name := "config/" + strconv.FormatUint(revision, 10)
	body, err := h.platform.Object(ctx, name)
	if err != nil {
		return fmt.Errorf("read revision %d: %w", revision, err)
	}
	deployment, err := config.ParseDeployment(name, body, revision)
	if err != nil {
		return fmt.Errorf("parse revision %d: %w", revision, err)
	}
	// Placement comes first: events keep their order, so no request that finds
	// the directory ready reaches placement before the revision does.
	if err := h.dispatcher.Report(ctx, place.Adopted{Deployment: deployment, Revision: revision}); err != nil {
		return fmt.Errorf("adopt revision %d: %w", revision, err)
	}
	h.directory.Adopt(deployment)
	h.base.Log().Info("adopted configuration", "revision", revision)
	return nil
}
