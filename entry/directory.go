package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"filberthold/lookup"
	"filberthold/model"
	"filberthold/peers"
)

// maxEntries bounds the hosts in a lookup response.
const maxEntries = 8

// Directory answers from the configuration that is in force.
type Directory struct {
	host  model.HostName
	state *peers.State
	view  atomic.Pointer[view]
	// leavingHosts holds the entry hosts that the host list shows as leaving.
	leavingHosts atomic.Pointer[map[model.HostName]bool]
	// adopted is closed when the first configuration is in force and confirmed.
	adopted     chan struct{}
	adoptedOnce sync.Once
}

// view is a deployment with its table. It is replaced as a whole.
type view struct {
	deployment *model.Deployment
	table      *lookup.Table
}

// NewDirectory returns a directory without a configuration.
func NewDirectory(host model.HostName, state *peers.State) *Directory {
	return &Directory{host: host, state: state, adopted: make(chan struct{})}
}

// Adopt puts a deployment into force.
func (d *Directory) Adopt(deployment *model.Deployment) {
	d.view.Store(&view{deployment: deployment, table: lookup.New(deployment, d.host)})
}

// SetReady ends the wait of WaitReady.
func (d *Directory) SetReady() { d.adoptedOnce.Do(func() { close(d.adopted) }) }

// WaitReady waits until a configuration is in force and confirmed. Before it
// is confirmed, callers are refused.
func (d *Directory) WaitReady(ctx context.Context) error {
	select {
	case <-d.adopted:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for configuration: %w", ctx.Err())
	}
}

// Deployment returns the deployment in force, or nil.
func (d *Directory) Deployment() *model.Deployment {
	view := d.view.Load()
	if view == nil {
		return nil
	}
	return view.deployment
}

// Service returns a service of the deployment in force.
func (d *Directory) Service(name model.ServiceName) (model.Service, bool) {
	deployment := d.Deployment()
	if deployment == nil {
		return model.Service{}, false
	}
	return deployment.Service(name)
}

// Locate returns the home region and the block hash of a client address.
func (d *Directory) Locate(client netip.Addr) (model.RegionName, uint64) {
	view := d.view.Load()
	if view == nil {
		return "", 0
	}
	place := view.table.Locate(client)
	return place.Region(), place.BlockHash()
}

// EntryHosts returns the entry hosts that a client should use, nearest first.
// Leaving hosts are absent, and silent ones come last.
func (d *Directory) EntryHosts(client netip.Addr) []model.Host {
	view := d.view.Load()
	if view == nil {
		return nil
	}
	now := time.Now()
	return view.table.NearestHosts(client, maxEntries, func(host model.HostName) lookup.Status {
		return d.standing(host, now)
	})
}

func (d *Directory) standing(host model.HostName, now time.Time) lookup.Status {
	presence := d.state.HostState(host, now)
	leaving := d.leavingHosts.Load()
	switch {
	case presence.Leaving, leaving != nil && (*leaving)[host]:
		return lookup.Unusable
	case !presence.Alive:
		return lookup.Suspect
	default:
		return lookup.Usable
	}
}

func (d *Directory) setLeavingHosts(hosts map[model.HostName]bool) { d.leavingHosts.Store(&hosts) }

// Confirmed reports whether the store or a peer has confirmed the revision in
// force within the last seconds. A host that is not confirmed takes no new
// work.
func (d *Directory) Confirmed(now time.Time) bool { return d.state.Confirmed(now) }

// Leaving reports whether this host is stopping.
func (d *Directory) Leaving() bool { return d.state.Leaving() }
