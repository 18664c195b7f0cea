package entry

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/place"
	"filberthold/store"
)

const (
	// membershipInterval leaves 2 s of the 3 s in which a leaving endpoint has
	// to stop getting work for the host list and the way between peers.
	membershipInterval = time.Second
	// pastIncarnations bounds the earlier incarnations that are remembered of
	// an endpoint, to recognise a host list that shows one of them again.
	pastIncarnations = 4
)

// memberSource gives the platform's list of hosts.
type memberSource interface {
	Members(ctx context.Context) (store.MemberList, error)
}

// marker spreads leaving marks to peers.
type marker interface {
	Mark(marks ...peers.LeavingMark) []peers.LeavingMark
}

// Membership turns what the host list, endpoints and peers say about endpoints
// into events for placement. A mark holds for one incarnation of an endpoint:
// a list that lags and still shows it as live does not end it.
type Membership struct {
	log       *slog.Logger
	source    memberSource
	spread    marker
	state     *peers.State
	directory *Directory
	report    func(context.Context, place.Event) error

	mu        sync.Mutex
	endpoints map[model.EndpointName]*endpointRun
}

// endpointRun is what is known about the runs of an endpoint.
type endpointRun struct {
	// incarnation is the newest one on the host list, or "" before the first
	// list.
	incarnation string
	// past holds earlier incarnations, newest last.
	past   []string
	marked bool
}

func newMembership(log *slog.Logger, source memberSource, mesh *peers.Mesh, directory *Directory,
	report func(context.Context, place.Event) error) *Membership {
	return &Membership{
		log: log, source: source, spread: mesh, state: mesh.State(), directory: directory, report: report,
		endpoints: make(map[model.EndpointName]*endpointRun),
	}
}

// loopMembers polls the host list.
func (m *Membership) loopMembers(ctx context.Context) error {
	for {
		if err := m.pollMembers(ctx); err != nil {
			m.log.Warn("host list not read", "error", err)
		}
		select {
		case <-time.After(membershipInterval):
		case <-ctx.Done():
			return fmt.Errorf("poll host list: %w", ctx.Err())
		}
	}
}

func (m *Membership) pollMembers(ctx context.Context) error {
	asking, cancel := context.WithTimeout(ctx, membershipInterval)
	defer cancel()
	list, err := m.source.Members(asking)
	if err != nil {
		return fmt.Errorf("poll host list: %w", err)
	}
	leavingHosts := make(map[model.HostName]bool)
	for _, member := range list.Members {
		switch member.Kind {
		case store.KindEntry:
			if member.State == store.Leaving {
				leavingHosts[model.HostName(member.Name)] = true
			}
		case store.KindEndpoint:
			if err := m.observe(ctx, member); err != nil {
				return fmt.Errorf("observe endpoint %q: %w", member.Name, err)
			}
		}
	}
	m.directory.setLeavingHosts(leavingHosts)
	return nil
}

// observe takes an endpoint from the host list.
func (m *Membership) observe(ctx context.Context, member store.Member) error {
	name := model.EndpointName(member.Name)
	m.mu.Lock()
	run := m.runOf(name)
	if slices.Contains(run.past, member.Incarnation) {
		m.mu.Unlock()
		return nil
	}
	isNewRun := run.incarnation != member.Incarnation
	wasMarked := run.marked
	if isNewRun {
		// A mark from before the first list is about the run that it shows.
		run.marked = run.marked && run.incarnation == ""
		if run.incarnation != "" {
			run.past = append(run.past, run.incarnation)
			run.past = run.past[max(0, len(run.past)-pastIncarnations):]
		}
		run.incarnation = member.Incarnation
	}
	isMarked := run.marked
	m.mu.Unlock()
	mark := peers.LeavingMark{Endpoint: name, Incarnation: member.Incarnation}
	if member.State == store.Leaving || isNewRun && slices.Contains(m.state.Marks(), mark) || isNewRun && isMarked {
		return m.mark(ctx, mark, "host list")
	}
	if wasMarked && !isMarked {
		return m.report(ctx, place.Unmarked{Endpoint: name, Incarnation: member.Incarnation})
	}
	return nil
}

// MarkLeaving marks the present run of an endpoint that said that it leaves.
func (m *Membership) MarkLeaving(ctx context.Context, endpoint model.EndpointName, source string) error {
	m.mu.Lock()
	incarnation := m.runOf(endpoint).incarnation
	m.mu.Unlock()
	return m.mark(ctx, peers.LeavingMark{Endpoint: endpoint, Incarnation: incarnation}, source)
}

// markFromPeer takes marks that a peer has spread. Those of past runs have no
// effect; those of runs that are not yet on the host list take effect when the
// list shows them. A peer without a host list does not know the run.
func (m *Membership) markFromPeer(ctx context.Context, marks []peers.LeavingMark) error {
	for _, mark := range marks {
		m.mu.Lock()
		run := m.runOf(mark.Endpoint)
		isPresent := run.incarnation == mark.Incarnation || run.incarnation == "" || mark.Incarnation == ""
		m.mu.Unlock()
		if !isPresent {
			continue
		}
		if err := m.mark(ctx, mark, "peer"); err != nil {
			return err
		}
	}
	return nil
}

// mark tells placement and peers that a run of an endpoint leaves, once.
func (m *Membership) mark(ctx context.Context, mark peers.LeavingMark, source string) error {
	m.spread.Mark(mark)
	m.mu.Lock()
	run := m.runOf(mark.Endpoint)
	isKnown := run.marked
	run.marked = true
	m.mu.Unlock()
	if isKnown {
		return nil
	}
	m.log.Info("endpoint is leaving", "endpoint", mark.Endpoint, "incarnation", mark.Incarnation, "source", source)
	event := place.Marked{Endpoint: mark.Endpoint, Incarnation: mark.Incarnation, Source: source}
	if err := m.report(ctx, event); err != nil {
		return fmt.Errorf("report leaving endpoint: %w", err)
	}
	return nil
}

// runOf returns what is known about an endpoint. The mutex must be held.
func (m *Membership) runOf(name model.EndpointName) *endpointRun {
	run, exists := m.endpoints[name]
	if !exists {
		run = &endpointRun{}
		m.endpoints[name] = run
	}
	return run
}
