package local

import (
	"fmt"
	"net"
	"time"

	"filberthold/entry"
	"filberthold/model"
)

// RestartHost aborts an entry host and starts its next incarnation at the same
// addresses. It does not wait until the host is ready.
func (c *Cluster) RestartHost(name model.HostName) error {
	c.hosts[name].host.Abort()
	if err := c.StopHost(name); err != nil {
		return fmt.Errorf("stop host %q: %w", name, err)
	}
	host, _ := c.deployment.Host(name)
	callers, err := net.Listen("tcp", host.CallerAddress())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", host.OperatorAddress())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	peerConn, err := net.ListenPacket("udp", host.PeerAddress())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	return c.startHost(name, entry.Listeners{Callers: callers, Operators: operators, Peers: peerConn})
}

// AcceptsRequests reports whether an entry host accepts new requests.
func (c *Cluster) AcceptsRequests(name model.HostName, now time.Time) bool {
	return c.hosts[name].host.AcceptsRequests(now)
}
