package entry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"filberthold/model"
)

// Directory answers from the configuration that is in force.
type Directory struct {
	host       model.HostName
	deployment atomic.Pointer[model.Deployment]
	// adopted is closed when the first configuration is put into force.
	adopted     chan struct{}
	adoptedOnce sync.Once
}

// NewDirectory returns a directory without a configuration.
func NewDirectory(host model.HostName) *Directory {
	return &Directory{host: host, adopted: make(chan struct{})}
}

// Adopt puts a deployment into force.
func (d *Directory) Adopt(deployment *model.Deployment) {
	d.deployment.Store(deployment)
	d.adoptedOnce.Do(func() { close(d.adopted) })
}

// WaitAdopted waits until a configuration is in force.
func (d *Directory) WaitAdopted(ctx context.Context) error {
	select {
	case <-d.adopted:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for configuration: %w", ctx.Err())
	}
}

// Deployment returns the deployment in force, or nil.
func (d *Directory) Deployment() *model.Deployment { return d.deployment.Load() }

// Service returns a service of the deployment in force.
func (d *Directory) Service(name model.ServiceName) (model.Service, bool) {
	deployment := d.deployment.Load()
	if deployment == nil {
		return model.Service{}, false
	}
	return deployment.Service(name)
}

// Locate returns the home region and the block hash of a client address.
func (d *Directory) Locate(netip.Addr) (model.RegionName, uint64) {
	deployment := d.deployment.Load()
	if deployment == nil {
		return "", 0
	}
	host, _ := deployment.Host(d.host)
	return deployment.RegionOf(host.Zone()), 0
}

// Entries returns the entry hosts that a client should use.
func (d *Directory) Entries(netip.Addr) []model.Host {
	deployment := d.deployment.Load()
	if deployment == nil {
		return nil
	}
	return deployment.Hosts()
}
