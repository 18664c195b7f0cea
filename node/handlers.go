package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"filberthold/member"
	"filberthold/model"
)

const (
	// pageTimeout bounds the time in which a request for a page arrives.
	pageTimeout = 5 * time.Second
	// pageIdle is how long a connection for pages stays open.
	pageIdle = 30 * time.Second
	// lookupLifetime is how long callers use a lookup response. Some use it
	// three times as long, which must end before a stopping host does. The
	// settings may ask for less.
	lookupLifetime = time.Second
	// leastNearest is the number of hosts that a lookup response should name,
	// so that a caller has another one if one fails.
	leastNearest = 2
	// maxAddresses bounds a lookup response.
	maxAddresses = 64
)

// pageServer serves one address until its context ends.
type pageServer struct {
	http     *http.Server
	listener net.Listener
}

func (p *pageServer) run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = p.http.Close() })
	if err := p.http.Serve(p.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve page: %w", err)
	}
	return nil
}

// isReady reports whether callers should use this host.
func (n *Node) isReady() bool { return n.core.IsReady() && !n.isLeaving.Load() }

func (n *Node) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (n *Node) lookupLifetime() time.Duration {
	if limit := n.settings.MaxLookupTTL; limit > 0 {
		return min(lookupLifetime, limit)
	}
	return lookupLifetime
}

type lookupDocument struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttlS"`
}

// handleResolve tells a caller which hosts to use.
func (n *Node) handleResolve(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	zone := model.ZoneName(query.Get("zone"))
	region := model.RegionName(query.Get("region"))
	hosts := n.link.Alive()
	if n.isReady() {
		hosts = append(hosts, n.describe())
	}
	document := lookupDocument{TTL: n.lookupLifetime().Seconds()}
	for _, host := range member.Nearest(hosts, zone, region, leastNearest) {
		if len(document.Addresses) < maxAddresses {
			document.Addresses = append(document.Addresses, host.CallerAddress)
		}
	}
	if len(document.Addresses) == 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(document); err != nil {
		n.log.Debug("lookup response not written", "error", err)
	}
}
