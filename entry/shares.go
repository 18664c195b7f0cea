package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"filberthold/model"
	"filberthold/place"
	"filberthold/share"

	"golang.org/x/sync/errgroup"
)

// applyShares assigns the slots and links of a deployment to hosts, and applies
// this host's shares outside placement: the link share of exports and the
// endpoints whose load reports are read.
func (h *Host) applyShares(deployment *model.Deployment) {
	if h.assignment == nil {
		h.assignment = share.Assign(deployment)
	} else {
		h.assignment = h.assignment.ForRevision(deployment)
	}
	host := model.HostName(h.base.Settings().Host)
	if bits := linkShare(h.assignment, deployment, host); bits > 0 {
		h.upstreams.SetLinkShare(bits)
		h.base.Log().Info("link share", "revision", deployment.Revision(), "bitsPerSecond", bits)
	}
	owned := ownEndpoints(h.assignment, deployment, host)
	h.prober.owned.Store(&owned)
}

// linkShare returns the smallest of a host's shares of its region's links in bits
// per second, or 0 if there is no link. All exports of a host share one token
// bucket, whichever link they use. A higher rate could exceed the host's share of
// a link.
func linkShare(assignment *share.Assignment, deployment *model.Deployment, name model.HostName) int64 {
	smallest := int64(0)
	for _, link := range deployment.Links() {
		bits := assignment.LinkBitsPerSecond(name, link)
		if bits > 0 && (smallest == 0 || bits < smallest) {
			smallest = bits
		}
	}
	return smallest
}

// ownEndpoints returns the endpoints on which a host owns slots.
func ownEndpoints(assignment *share.Assignment, deployment *model.Deployment, host model.HostName) []model.Endpoint {
	var endpoints []model.Endpoint
	for _, slot := range assignment.SlotsOf(host) {
		endpoint, exists := deployment.Endpoint(slot.Endpoint)
		if exists && !slices.Contains(endpoints, endpoint) {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// loadLoop reads load reports every second. It is separate from healthLoop because
// an endpoint that does not respond would delay the detection of leaving endpoints.
func (p *Prober) loadLoop(ctx context.Context) error {
	for {
		if err := p.probeLoads(ctx); err != nil {
			return fmt.Errorf("probe loads: %w", err)
		}
		select {
		case <-time.After(membershipInterval):
		case <-ctx.Done():
			return fmt.Errorf("probe loads: %w", ctx.Err())
		}
	}
}

func (p *Prober) probeLoads(ctx context.Context) error {
	owned := p.owned.Load()
	if owned == nil {
		return nil
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, endpoint := range *owned {
		group.Go(func() error { return p.runLoadProbe(ctx, endpoint) })
	}
	return group.Wait()
}

// runLoadProbe reads a load report and reports it to placement. After a missing
// or invalid report, the previous one stays in use, because placement uses load
// reports only to break ties.
func (p *Prober) runLoadProbe(ctx context.Context, endpoint model.Endpoint) error {
	load, err := p.probeLoad(ctx, endpoint.Address())
	if err != nil {
		return nil
	}
	return p.membership.report(ctx, place.LoadReported{Endpoint: endpoint.Name(), BusySlots: load.BusySlots})
}
