package peers

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"filberthold/model"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"
)

// retryInterval is the pause after a failed connection attempt. The packets of
// an attempt are padded to 1,200 bytes; the pause keeps attempts to crashed
// hosts well below the traffic of digests.
const retryInterval = 3 * time.Second

// acceptLoop serves the connections that peers open.
func (m *Mesh) acceptLoop(ctx context.Context, group *errgroup.Group, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		group.Go(func() error { return m.runLink(ctx, conn, false) })
	}
}

// dialMissing connects to the peers without a connection. Of two hosts the one
// with the lower name dials; the other one dials if the first is not alive. A
// host without a connected peer dials its whole subset and the seeds.
func (m *Mesh) dialMissing(ctx context.Context, group *errgroup.Group, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hasNoPeer := len(m.byHost) == 0
	var addresses []string
	for _, host := range m.subset {
		_, isConnected := m.byHost[host.Name()]
		shouldDial := m.options.Host < host.Name() || hasNoPeer || !m.state.HostState(host.Name(), now).Alive
		if !isConnected && shouldDial {
			addresses = append(addresses, host.PeerAddress())
		}
	}
	if hasNoPeer {
		addresses = append(addresses, m.options.Seeds...)
	}
	for _, address := range addresses {
		if !m.dialling[address] && !now.Before(m.retryAt[address]) {
			m.dialling[address] = true
			group.Go(func() error { return m.runDial(ctx, address) })
		}
	}
}

// runDial opens a connection and serves it until it ends.
func (m *Mesh) runDial(ctx context.Context, address string) error {
	err := m.dial(ctx, address)
	if err != nil && ctx.Err() == nil {
		m.log.Debug("peer not reached", "address", address, "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.dialling, address)
	delete(m.retryAt, address)
	if err != nil {
		m.retryAt[address] = time.Now().Add(retryInterval)
	}
	return nil
}

func (m *Mesh) dial(ctx context.Context, address string) error {
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("parse peer address: %w", err)
	}
	conn, err := m.transport.Dial(ctx, remote, m.identity.tlsConfig(), quicConfig())
	if err != nil {
		return fmt.Errorf("dial peer: %w", err)
	}
	return m.runLink(ctx, conn, true)
}

// runLink serves a connection until it ends.
func (m *Mesh) runLink(ctx context.Context, conn *quic.Conn, dialled bool) error {
	link := newLink(m, conn, dialled)
	if !m.addLink(link) {
		link.close("too many peers")
		return nil
	}
	defer m.removeLink(link)
	if dialled {
		link.send(m.state.Digest(time.Now()))
	}
	group, ctx := errgroup.WithContext(ctx)
	// A cancelled context does not end a read from a stream; a closed
	// connection does.
	stop := context.AfterFunc(ctx, func() { link.close("link ended") })
	defer stop()
	group.Go(func() error { return link.sendLoop(ctx) })
	group.Go(func() error { return link.streamLoop(ctx) })
	group.Go(func() error { return link.datagramLoop(ctx) })
	err := group.Wait()
	m.log.Debug("peer link ended", "peer", conn.RemoteAddr(), "error", err)
	return nil
}

func (m *Mesh) addLink(link *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) >= maxLinks {
		return false
	}
	m.links[link] = struct{}{}
	return true
}

func (m *Mesh) removeLink(link *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, link)
	if m.byHost[link.host] == link {
		delete(m.byHost, link.host)
	}
}

// identifyLink records the host at the other end of a link. It reports true at
// the first digest of a link, unless it closes the link as a duplicate. If this
// host and the current incarnation of the other have dialled each other, both
// keep the link that the host with the lower name dialled. In all other cases
// the new link replaces the old one.
func (m *Mesh) identifyLink(link *link, digest Digest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if link.host != "" {
		return false
	}
	link.host, link.incarnation = digest.Host, digest.Incarnation
	old, exists := m.byHost[digest.Host]
	isPreferred := link.dialled == (m.options.Host < digest.Host)
	if exists && old.incarnation == digest.Incarnation && old.dialled != link.dialled && !isPreferred {
		go link.runClose("second link")
		return false
	}
	if exists {
		go old.runClose("replaced")
	}
	m.byHost[digest.Host] = link
	return true
}

// runClose closes the link. It runs in a goroutine of its own, because its
// callers hold the mutex of the mesh.
func (l *link) runClose(reason string) { l.close(reason) }

// openLinks returns all open links. It includes links whose host is not known
// yet, so that they receive further digests if the first one is lost.
func (m *Mesh) openLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.links))
	for link := range m.links {
		links = append(links, link)
	}
	return links
}

func (m *Mesh) closeLinks() {
	for _, link := range m.openLinks() {
		link.close("host stops")
	}
}

// ConnectedHosts returns the hosts to which a connection is open, sorted.
func (m *Mesh) ConnectedHosts() []model.HostName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.byHost))
}
