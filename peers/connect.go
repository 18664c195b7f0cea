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

// retryInterval keeps connection attempts to dead hosts, which are padded to
// 1,200 bytes, well below the traffic of digests.
const retryInterval = 3 * time.Second

// loopAccept serves the connections that peers open.
func (m *Mesh) loopAccept(ctx context.Context, group *errgroup.Group, listener *quic.Listener) error {
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

// dialMissing opens connections to peers that have none. Of two hosts the one
// with the lower name dials, or the other after it has not heard the first for
// seconds. A host that knows nobody tries its whole subset and the seeds.
func (m *Mesh) dialMissing(ctx context.Context, group *errgroup.Group, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isAlone := len(m.byHost) == 0
	var addresses []string
	for _, host := range m.subset {
		_, isLinked := m.byHost[host.Name()]
		isMine := m.options.Host < host.Name() || isAlone || !m.state.HostState(host.Name(), now).Alive
		if !isLinked && isMine {
			addresses = append(addresses, host.PeerAddress())
		}
	}
	if isAlone {
		addresses = append(addresses, m.options.Seeds...)
	}
	for _, address := range addresses {
		if !m.dialling[address] && !now.Before(m.retryAt[address]) {
			m.dialling[address] = true
			group.Go(func() error { return m.runDial(ctx, address) })
		}
	}
}

// runDial opens a connection and serves it to its end.
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

// runLink serves a connection to its end.
func (m *Mesh) runLink(ctx context.Context, conn *quic.Conn, dialled bool) error {
	link := newLink(m, conn, dialled)
	if !m.add(link) {
		link.close("too many peers")
		return nil
	}
	defer m.remove(link)
	if dialled {
		link.send(m.state.Digest(time.Now()))
	}
	group, ctx := errgroup.WithContext(ctx)
	// Reads of a stream do not end with the context, only with the connection.
	stop := context.AfterFunc(ctx, func() { link.close("link ended") })
	defer stop()
	group.Go(func() error { return link.loopSend(ctx) })
	group.Go(func() error { return link.loopStreams(ctx) })
	group.Go(func() error { return link.loopDatagrams(ctx) })
	err := group.Wait()
	m.log.Debug("peer link ended", "peer", conn.RemoteAddr(), "error", err)
	return nil
}

func (m *Mesh) add(link *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) >= maxLinks {
		return false
	}
	m.links[link] = struct{}{}
	return true
}

func (m *Mesh) remove(link *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, link)
	if m.byHost[link.host] == link {
		delete(m.byHost, link.host)
	}
}

// register notes which host a link leads to. It reports true at the first
// digest of a link. Of two links to one run of a host, the one that the host
// with the lower name dialled stays, so that both sides keep the same one.
func (m *Mesh) register(link *link, digest Digest) bool {
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

// runClose closes the link without the mutex of the mesh.
func (l *link) runClose(reason string) { l.close(reason) }

// open returns all links. Those whose host is not yet known are among them,
// because the first digest may be lost.
func (m *Mesh) open() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.links))
	for link := range m.links {
		links = append(links, link)
	}
	return links
}

func (m *Mesh) closeLinks() {
	for _, link := range m.open() {
		link.close("host stops")
	}
}

// ConnectedHosts returns the hosts to which a connection is open.
func (m *Mesh) ConnectedHosts() []model.HostName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.byHost))
}
