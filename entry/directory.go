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

// maxLookupHosts bounds the entry hosts in a lookup response.
const maxLookupHosts = 8

// Directory provides the services, client blocks and entry hosts of the
// configuration in force.
type Directory struct {
	host     model.HostName
	state    *peers.State
	snapshot atomic.Pointer[snapshot]
	// leavingHosts holds the entry hosts that are leaving according to the host
	// list. It is nil before the first list.
	leavingHosts atomic.Pointer[map[model.HostName]bool]
	// ready is closed when the first configuration is in force and confirmed.
	ready     chan struct{}
	readyOnce sync.Once
}

// snapshot holds a deployment and its lookup table. It is replaced as a whole.
type snapshot struct {
	deployment *model.Deployment
	table      *lookup.Table
}

// NewDirectory returns a directory without a configuration.
func NewDirectory(host model.HostName, state *peers.State) *Directory {
	return &Directory{host: host, state: state, ready: make(chan struct{})}
}

// Adopt puts a deployment into force.
func (d *Directory) Adopt(deployment *model.Deployment) {
	d.snapshot.Store(&snapshot{deployment: deployment, table: lookup.New(deployment, d.host)})
}

// SetReady makes WaitReady return.
func (d *Directory) SetReady() { d.readyOnce.Do(func() { close(d.ready) }) }

// WaitReady waits until a configuration is in force and confirmed. Until then,
// the host refuses callers.
func (d *Directory) WaitReady(ctx context.Context) error {
	select {
	case <-d.ready:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for configuration: %w", ctx.Err())
	}
}

// Deployment returns the deployment in force, or nil before the first one.
func (d *Directory) Deployment() *model.Deployment {
	current := d.snapshot.Load()
	if current == nil {
		return nil
	}
	return current.deployment
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
	current := d.snapshot.Load()
	if current == nil {
		return "", 0
	}
	location := current.table.Locate(client)
	return location.Region(), location.BlockHash()
}

// EntryHosts returns the entry hosts that a client should use, nearest first.
// It leaves out hosts that are leaving and puts unreachable ones last.
func (d *Directory) EntryHosts(client netip.Addr) []model.Host {
	current := d.snapshot.Load()
	if current == nil {
		return nil
	}
	now := time.Now()
	return current.table.NearestHosts(client, maxLookupHosts, func(host model.HostName) lookup.Status {
		return d.lookupStatus(host, now)
	})
}

func (d *Directory) lookupStatus(host model.HostName, now time.Time) lookup.Status {
	state := d.state.HostState(host, now)
	leaving := d.leavingHosts.Load()
	switch {
	case state.Leaving, leaving != nil && (*leaving)[host]:
		return lookup.Unusable
	case !state.Alive:
		return lookup.Suspect
	default:
		return lookup.Usable
	}
}

func (d *Directory) setLeavingHosts(hosts map[model.HostName]bool) { d.leavingHosts.Store(&hosts) }

// Confirmed reports whether the store or a peer has confirmed the revision in
// force in the last seconds; see peers.State.Confirmed. Otherwise the host
// refuses new requests.
func (d *Directory) Confirmed(now time.Time) bool { return d.state.Confirmed(now) }

// Leaving reports whether this host is leaving.
func (d *Directory) Leaving() bool { return d.state.Leaving() }
