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

	"filberthold/model"
	"filberthold/upstrm"

	"golang.org/x/sync/errgroup"
)

const (
	// probersOfEndpoint is the number of hosts that probe an endpoint. Marks
	// spread, so that not every host has to; three cover two dead hosts.
	probersOfEndpoint = 3
	// probesAtOnce bounds the connections of the prober.
	probesAtOnce = 8
	// maxProbeBytes bounds how much of an answer is read to reuse its
	// connection.
	maxProbeBytes = 4096
)

// Prober asks endpoints whether they are leaving, and how loaded they are. An endpoint that does not
// answer is not marked: only its own word is sticky.
type Prober struct {
	host       model.HostName
	directory  *Directory
	membership *Membership
	client     *http.Client
	// load reads the load report of an address.
	load func(ctx context.Context, address string) (upstrm.LoadReport, error)
	// owned holds the endpoints whose load reports are read. It is nil until a
	// revision is adopted.
	owned atomic.Pointer[[]model.Endpoint]
}

func newProber(host model.HostName, directory *Directory, membership *Membership, upstreams *upstrm.Client) *Prober {
	return &Prober{
		host: host, directory: directory, membership: membership, load: upstreams.ProbeLoad,
		client: &http.Client{Timeout: membershipInterval, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// loop probes every second.
func (p *Prober) loop(ctx context.Context) error {
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
	group.SetLimit(probesAtOnce)
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
		return nil // A silent endpoint is judged by its requests.
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, maxProbeBytes)
	if response.Header.Get(upstrm.LeavingHeader) != "true" {
		return nil
	}
	return p.membership.MarkLeaving(ctx, endpoint.Name(), "health")
}

// isProber reports whether a host is among the rendezvous picks of an endpoint.
func isProber(self model.HostName, endpoint model.EndpointName, hosts []model.Host) bool {
	own := probeScore(self, endpoint)
	better := 0
	for _, host := range hosts {
		if !host.Stopped() && cmp.Compare(probeScore(host.Name(), endpoint), own) > 0 {
			better++
		}
	}
	return better < probersOfEndpoint && slices.ContainsFunc(hosts, func(host model.Host) bool { return host.Name() == self })
}

func probeScore(host model.HostName, endpoint model.EndpointName) uint64 {
	digest := sha256.Sum256([]byte(string(host) + "\x00" + string(endpoint)))
	return binary.BigEndian.Uint64(digest[:])
}
