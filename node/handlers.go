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
	"filberthold/proxy"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// headerTimeout bounds the time for reading the headers of a readiness,
	// lookup, control or metrics request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection for such requests stays open.
	idleTimeout = 30 * time.Second
	// defaultLookupTTL is the time to live of a lookup response. Some callers
	// use a response for three times as long, and a stopping host must serve
	// until then. The settings may require a shorter time.
	defaultLookupTTL = time.Second
	// minLookupHosts is the number of hosts that a lookup response should list.
	// A caller can then use another host if one fails.
	minLookupHosts = 2
	// maxLookupAddresses bounds the number of addresses in a lookup response.
	maxLookupAddresses = 64
)

// httpServer serves HTTP on one address until its context ends.
type httpServer struct {
	http     *http.Server
	listener net.Listener
}

func (s *httpServer) run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = s.http.Close() })
	if err := s.http.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve HTTP: %w", err)
	}
	return nil
}

// isReady reports whether callers should use this host.
func (n *Node) isReady() bool { return n.core.IsReady() && !n.isLeaving.Load() }

// freshness returns how current the data from the store is.
func (n *Node) freshness() proxy.Freshness {
	return proxy.Freshness{
		OperatorAge:  func() time.Duration { return n.replica.operator.Age(time.Now()) },
		EndpointAge:  func() time.Duration { return n.replica.endpoints.Age(time.Now()) },
		NewestConfig: n.newestConfig, IsTrusted: n.replica.trust.isTrusted, ApplyTime: operatorEffectTime(n.settings),
	}
}

// newestConfig returns the version of the newest configuration that another host has
// in force, or 0.
func (n *Node) newestConfig() uint64 {
	newest := uint64(0)
	for _, alive := range n.transport.Alive() {
		newest = max(newest, alive.ConfigVersion)
	}
	return newest
}

// operatorHandler returns the handler of the address for operators.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+proxy.ExplainPath, n.server.HandleExplain)
	return mux
}

func (n *Node) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (n *Node) lookupTTL() time.Duration {
	if limit := n.settings.MaxLookupTTL; limit > 0 {
		return min(defaultLookupTTL, limit)
	}
	return defaultLookupTTL
}

type lookupResponse struct {
	Addresses []string `json:"addresses"`
	// TTL is in seconds.
	TTL float64 `json:"ttlS"`
}

// handleLookup responds with the caller addresses of the hosts that a caller
// should use. The query names the caller's availability zone and region. A host that
// refuses requests for lack of trust in their keys and hears no other host names nobody,
// so that callers ask another one.
func (n *Node) handleLookup(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	zone := model.ZoneName(query.Get("zone"))
	region := model.RegionName(query.Get("region"))
	hosts := n.transport.Alive()
	if n.isReady() && (len(hosts) > 0 || !n.replica.lacksTrust()) {
		hosts = append(hosts, n.heartbeat())
	}
	response := lookupResponse{TTL: n.lookupTTL().Seconds()}
	nearest := member.Nearest(hosts, zone, region, minLookupHosts)
	for _, host := range member.Limit(nearest, maxLookupAddresses, n.lookups.Add(1)) {
		response.Addresses = append(response.Addresses, host.CallerAddress)
	}
	if len(response.Addresses) == 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(response); err != nil {
		n.log.Debug("lookup response not written", "error", err)
	}
}
