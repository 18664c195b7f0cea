package entry

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"filberthold/conns"
	"filberthold/model"
	"filberthold/upstrm"

	"golang.org/x/sync/errgroup"
)

const (
	// probersPerEndpoint is the number of hosts that probe an endpoint. Hosts send
	// each other leaving marks, so not every host has to probe. Three hosts cover
	// the crash of two.
	probersPerEndpoint = 3
	// maxConcurrentProbes bounds the connections of health probes, and those of
	// load probes.
	maxConcurrentProbes = 8
	// maxProbeBytes bounds the part of a response body that is read. A connection
	// is reused only if the body was read to its end.
	maxProbeBytes = 4096
)

// Prober requests the health and the load report of endpoints, and marks those
// that report that they are leaving. A mark lasts until the endpoint restarts,
// so a probe without a response does not set it.
type Prober struct {
	host       model.HostName
	directory  *Directory
	membership *Membership
	client     *http.Client
	// probeLoad reads the load report of the endpoint at an address.
	probeLoad func(ctx context.Context, address string) (upstrm.LoadReport, error)
	// owned holds the endpoints whose load reports are read: those with slots of
	// this host. It is nil until a revision is adopted.
	owned atomic.Pointer[[]model.Endpoint]
}

func newProber(host model.HostName, directory *Directory, membership *Membership, upstreams *upstrm.Client) *Prober {
	return &Prober{
		host: host, directory: directory, membership: membership, probeLoad: upstreams.ProbeLoad,
		client: &http.Client{Timeout: membershipInterval, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: conns.MaxHeadBytes}},
	}
}

// healthLoop probes the health of endpoints every second.
func (p *Prober) healthLoop(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	for {
		if err := p.probeAll(ctx); err != nil {
			return fmt.Errorf("probe endpoints: %w", err)
		}
		select {
		case <-time.After(membershipInterval):
		case <-ctx.Done():
			return fmt.Errorf("probe endpoints: %w", ctx.Err())
		}
	}
}

func (p *Prober) probeAll(ctx context.Context) error {
	deployment := p.directory.Deployment()
	if deployment == nil {
		return nil
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, endpoint := range deployment.Endpoints() {
		if isProber(p.host, endpoint.Name(), deployment.Hosts()) {
			group.Go(func() error { return p.runProbe(ctx, endpoint) })
		}
	}
	return group.Wait()
}

func (p *Prober) runProbe(ctx context.Context, endpoint model.Endpoint) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address()+"/healthz", nil)
	if err != nil {
		return fmt.Errorf("make probe: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil // Placement detects an unreachable endpoint by its failed attempts.
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, maxProbeBytes)
	if response.Header.Get(upstrm.LeavingHeader) != "true" || conns.CheckHead(response) != nil {
		return nil
	}
	return p.membership.MarkLeaving(ctx, endpoint.Name(), "health")
}

// isProber reports whether a host probes an endpoint: whether it is among the
// probersPerEndpoint hosts with the highest rendezvous weights for it.
func isProber(self model.HostName, endpoint model.EndpointName, hosts []model.Host) bool {
	own := probeWeight(self, endpoint)
	better := 0
	for _, host := range hosts {
		if !host.Stopped() && cmp.Compare(probeWeight(host.Name(), endpoint), own) > 0 {
			better++
		}
	}
	return better < probersPerEndpoint && slices.ContainsFunc(hosts, func(host model.Host) bool { return host.Name() == self })
}

func probeWeight(host model.HostName, endpoint model.EndpointName) uint64 {
	digest := sha256.Sum256([]byte(string(host) + "\x00" + string(endpoint)))
	return binary.BigEndian.Uint64(digest[:])
}
