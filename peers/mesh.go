package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"filberthold/model"
	"filberthold/revise"
	"filberthold/ring"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"
)

const (
	digestInterval = time.Second
	// maxLinks bounds the connections that are open at the same time. A host
	// has 6 peers; the rest is room for hosts that start.
	maxLinks = 64
	// eventCapacity bounds the events that wait for the host.
	eventCapacity = 64
)

// Event reports a frame from a peer that the host has to handle. It is one of
// the event types of this package.
type Event interface{ isEvent() }

// RevisionReceived reports the body of a revision that a peer has sent. The
// number may be lower than that of the revision in force.
type RevisionReceived struct {
	ID   revise.RevisionID
	Body []byte
	// At is the time at which the body arrived.
	At time.Time
}

// EndpointsMarked reports new leaving marks that a peer has sent.
type EndpointsMarked struct{ Marks []LeavingMark }

func (RevisionReceived) isEvent() {}
func (EndpointsMarked) isEvent()  {}

// Options describe a mesh.
type Options struct {
	Log         *slog.Logger
	Host        model.HostName
	Incarnation string
	// Secret is shared by all hosts of the deployment.
	Secret string
	// Seeds are the IP addresses and UDP ports of hosts that are dialled while
	// no peer is connected.
	Seeds []string
}

// Mesh exchanges frames with a subset of the other entry hosts.
type Mesh struct {
	log         *slog.Logger
	options     Options
	state       *State
	loanTracker *loanTracker
	events      *ring.Ring[Event]
	// digestRequests holds an item if digests are to be sent before the next
	// interval.
	digestRequests *ring.Ring[struct{}]

	// These are set when the mesh starts to run.
	decoder   decoder
	identity  identity
	transport *quic.Transport

	mu sync.Mutex
	// links holds every open connection. Those whose host is known are also
	// in byHost, which has at most one for each host.
	links  map[*link]struct{}
	byHost map[model.HostName]*link
	subset []model.Host
	// dialling holds the addresses to which a connection is open or being
	// opened by this host.
	dialling map[string]bool
	// retryAt holds the time of the next attempt for addresses whose last
	// connection attempt failed.
	retryAt map[string]time.Time
}

// NewMesh returns a mesh that is not yet running.
func NewMesh(options Options) *Mesh {
	return &Mesh{
		log:            options.Log,
		options:        options,
		state:          NewState(options.Host, options.Incarnation),
		loanTracker:    newLoanTracker(options.Host),
		events:         ring.New[Event](eventCapacity),
		digestRequests: ring.New[struct{}](1),
		links:          make(map[*link]struct{}),
		byHost:         make(map[model.HostName]*link),
		dialling:       make(map[string]bool),
		retryAt:        make(map[string]time.Time),
	}
}

// State returns the state that this host exchanges with its peers.
func (m *Mesh) State() *State { return m.state }

// Events returns the events for the host.
func (m *Mesh) Events() *ring.Ring[Event] { return m.events }

// Run exchanges frames over a socket until ctx ends. It closes the socket.
func (m *Mesh) Run(ctx context.Context, conn net.PacketConn) error {
	defer conn.Close()
	if err := m.prepare(conn); err != nil {
		return err
	}
	defer m.transport.Close()
	listener, err := m.transport.Listen(m.identity.tlsConfig(), quicConfig())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	defer listener.Close()
	var group errgroup.Group
	group.Go(func() error { return m.acceptLoop(ctx, &group, listener) })
	group.Go(func() error { return m.digestLoop(ctx, &group) })
	<-ctx.Done()
	m.closeLinks()
	return group.Wait()
}

func (m *Mesh) prepare(conn net.PacketConn) error {
	var err error
	if m.decoder, err = newDecoder(); err != nil {
		return err
	}
	if m.identity, err = newIdentity(m.options.Secret); err != nil {
		return fmt.Errorf("make peer identity: %w", err)
	}
	m.transport = &quic.Transport{Conn: conn, StatelessResetKey: m.identity.resetKey(m.options.Host)}
	return nil
}

// quicConfig limits the memory of connections. A host has few connections, and
// all frames are small except for the rare body of a revision.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           2 * time.Second,
		MaxIdleTimeout:                 5 * time.Second,
		InitialStreamReceiveWindow:     64 << 10,
		MaxStreamReceiveWindow:         1 << 20,
		InitialConnectionReceiveWindow: 96 << 10,
		MaxConnectionReceiveWindow:     3 << 19,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          4,
		EnableDatagrams:                true,
	}
}

// Publish announces a revision to the peers that it selects from the hosts of
// the revision's deployment. It sends them a digest at once, and they request
// the body, so that the body crosses each link at most once. It does nothing if
// the revision is not higher than the published one.
func (m *Mesh) Publish(id revise.RevisionID, body []byte, deployment *model.Deployment) {
	if !m.state.Publish(id, body) {
		return
	}
	subset := Subset(m.options.Host, deployment.Hosts())
	m.state.RetainMarks(deployment)
	m.state.SetSubset(subset, time.Now())
	m.mu.Lock()
	m.subset = subset
	m.mu.Unlock()
	m.requestDigests()
}

// Leave announces to peers that this host accepts no new requests.
func (m *Mesh) Leave() {
	m.state.Leave()
	m.requestDigests()
}

// Mark adds leaving marks, sends the new ones to all peers and returns them.
func (m *Mesh) Mark(marks ...LeavingMark) []LeavingMark {
	added := m.state.Mark(marks...)
	m.broadcastMarks(added, nil)
	return added
}

func (m *Mesh) requestDigests() { m.digestRequests.TryPut(struct{}{}) }

// broadcastMarks sends marks on all open links but one.
func (m *Mesh) broadcastMarks(marks []LeavingMark, except *link) {
	if len(marks) == 0 {
		return
	}
	for _, link := range m.openLinks() {
		if link != except {
			link.send(LeavingMarks{Marks: marks})
		}
	}
}

func (m *Mesh) receive(ctx context.Context, from *link, frame Frame) error {
	switch frame := frame.(type) {
	case Digest:
		m.receiveDigest(from, frame)
	case Revision:
		event := RevisionReceived{ID: revise.NewRevisionID(frame.Number, frame.Digest), Body: frame.Body, At: time.Now()}
		if err := m.events.Put(ctx, event); err != nil {
			return fmt.Errorf("report revision: %w", err)
		}
	case LeavingMarks:
		added, responses := m.state.ReceiveMarks(frame)
		m.broadcastMarks(added, from)
		for _, response := range responses {
			from.send(response)
		}
		if len(added) > 0 {
			if err := m.events.Put(ctx, EndpointsMarked{Marks: added}); err != nil {
				return fmt.Errorf("report marks: %w", err)
			}
		}
	case LoanRequest, LoanGrant, LoanReturn, Releases:
		return m.receiveLoan(ctx, from, frame)
	}
	return nil
}

func (m *Mesh) receiveDigest(from *link, digest Digest) {
	if digest.Host == m.options.Host {
		from.close("own address") // The seeds may include this host.
		return
	}
	now := time.Now()
	if m.identifyLink(from, digest) {
		from.send(m.state.Digest(now))
	}
	responses, isFirstReport := m.state.ReceiveDigest(digest, now)
	for _, response := range responses {
		from.send(response)
	}
	if isFirstReport {
		m.requestDigests()
	}
}

// digestLoop sends digests to all peers every second, and opens missing
// connections.
func (m *Mesh) digestLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		m.dialMissing(ctx, group, time.Now())
		digest := m.state.Digest(time.Now())
		for _, link := range m.openLinks() {
			link.send(digest)
		}
		select {
		case <-ticker.C:
		case <-m.digestRequests.Items():
		case <-ctx.Done():
			return nil
		}
	}
}
