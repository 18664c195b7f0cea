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

// adoptShares puts this host's parts of a deployment into force that placement
// does not keep.
func (h *Host) adoptShares(deployment *model.Deployment) {
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

// linkShare returns the smallest of a host's parts of the links of its region,
// or 0 if it has none. All exports of a host share one token bucket, whichever
// link they take, so that a greater rate could exceed the host's part of a link.
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

// loopLoads reads load reports every second. It is separate from loop, so that
// endpoints that do not answer cannot delay the news of one that leaves.
func (p *Prober) loopLoads(ctx context.Context) error {
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
	group.SetLimit(probesAtOnce)
	for _, endpoint := range *owned {
		group.Go(func() error { return p.runLoadProbe(ctx, endpoint) })
	}
	return group.Wait()
}

// runLoadProbe reports a load to placement. A report that is missing or not
// plausible leaves the one before it in place; it only breaks ties.
func (p *Prober) runLoadProbe(ctx context.Context, endpoint model.Endpoint) error {
	load, err := p.load(ctx, endpoint.Address())
	if err != nil {
		return nil
	}
	return p.membership.report(ctx, place.LoadReported{Endpoint: endpoint.Name(), BusySlots: load.BusySlots})
}
