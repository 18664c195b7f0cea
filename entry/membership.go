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
	// membershipInterval is the time between two reads of the host list and
	// between two probes. A leaving endpoint must stop getting requests within
	// 3 s; the interval leaves 2 s for the host list's own delay and for the
	// messages between peers.
	membershipInterval = time.Second
	// maxPastIncarnations bounds the earlier incarnations that are kept for an
	// endpoint. They identify a stale host list.
	maxPastIncarnations = 4
)

// memberSource reads the host list: the platform's list of hosts and endpoints.
type memberSource interface {
	Members(ctx context.Context) (store.MemberList, error)
}

// markBroadcaster sends leaving marks to peers.
type markBroadcaster interface {
	Mark(marks ...peers.LeavingMark) []peers.LeavingMark
}

// Membership tracks which endpoints are leaving, as reported by the host list,
// endpoints and peers, and reports changes to placement. A leaving mark holds
// for one incarnation of an endpoint. A stale host list that still shows it as
// live does not remove the mark.
type Membership struct {
	log         *slog.Logger
	source      memberSource
	broadcaster markBroadcaster
	state       *peers.State
	directory   *Directory
	report      func(context.Context, place.Event) error

	mu        sync.Mutex
	endpoints map[model.EndpointName]*endpointState
}

// endpointState holds the incarnations of an endpoint and whether it is leaving.
type endpointState struct {
	// incarnation is the newest one in the host list, or "" if no list has
	// contained the endpoint yet.
	incarnation string
	// past holds earlier incarnations, newest last.
	past []string
	// marked is true if the newest incarnation is leaving.
	marked bool
}

func newMembership(log *slog.Logger, source memberSource, mesh *peers.Mesh, directory *Directory,
	report func(context.Context, place.Event) error) *Membership {
	return &Membership{
		log: log, source: source, broadcaster: mesh, state: mesh.State(), directory: directory, report: report,
		endpoints: make(map[model.EndpointName]*endpointState),
	}
}

// hostListLoop polls the host list until ctx ends.
func (m *Membership) hostListLoop(ctx context.Context) error {
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
	pollCtx, cancel := context.WithTimeout(ctx, membershipInterval)
	defer cancel()
	list, err := m.source.Members(pollCtx)
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
			if err := m.applyMember(ctx, member); err != nil {
				return fmt.Errorf("update endpoint %q: %w", member.Name, err)
			}
		}
	}
	m.directory.setLeavingHosts(leavingHosts)
	return nil
}

// applyMember updates an endpoint from the host list.
func (m *Membership) applyMember(ctx context.Context, member store.Member) error {
	name := model.EndpointName(member.Name)
	m.mu.Lock()
	state := m.stateOf(name)
	if slices.Contains(state.past, member.Incarnation) {
		m.mu.Unlock()
		return nil
	}
	isNewIncarnation := state.incarnation != member.Incarnation
	wasMarked := state.marked
	if isNewIncarnation {
		// A mark that came before the first list applies to the incarnation in
		// that list.
		state.marked = state.marked && state.incarnation == ""
		if state.incarnation != "" {
			state.past = append(state.past, state.incarnation)
			state.past = state.past[max(0, len(state.past)-maxPastIncarnations):]
		}
		state.incarnation = member.Incarnation
	}
	isMarked := state.marked
	m.mu.Unlock()
	mark := peers.LeavingMark{Endpoint: name, Incarnation: member.Incarnation}
	if member.State == store.Leaving || isNewIncarnation && slices.Contains(m.state.Marks(), mark) || isNewIncarnation && isMarked {
		return m.mark(ctx, mark, "host list")
	}
	if wasMarked && !isMarked {
		return m.report(ctx, place.Unmarked{Endpoint: name, Incarnation: member.Incarnation})
	}
	return nil
}

// MarkLeaving marks the current incarnation of an endpoint that reported that it
// is leaving. The source is written to the log and to audit records.
func (m *Membership) MarkLeaving(ctx context.Context, endpoint model.EndpointName, source string) error {
	m.mu.Lock()
	incarnation := m.stateOf(endpoint).incarnation
	m.mu.Unlock()
	return m.mark(ctx, peers.LeavingMark{Endpoint: endpoint, Incarnation: incarnation}, source)
}

// markFromPeer applies leaving marks from a peer. Marks of past incarnations have
// no effect. Marks of incarnations that are not yet in the host list take effect
// when the list shows them. A mark from a peer without a host list has no
// incarnation and applies to the current one.
func (m *Membership) markFromPeer(ctx context.Context, marks []peers.LeavingMark) error {
	for _, mark := range marks {
		m.mu.Lock()
		state := m.stateOf(mark.Endpoint)
		isCurrent := state.incarnation == mark.Incarnation || state.incarnation == "" || mark.Incarnation == ""
		m.mu.Unlock()
		if !isCurrent {
			continue
		}
		if err := m.mark(ctx, mark, "peer"); err != nil {
			return err
		}
	}
	return nil
}

// mark adds a leaving mark to those that are sent to peers, and reports it to
// placement unless the endpoint is already marked.
func (m *Membership) mark(ctx context.Context, mark peers.LeavingMark, source string) error {
	m.broadcaster.Mark(mark)
	m.mu.Lock()
	state := m.stateOf(mark.Endpoint)
	wasMarked := state.marked
	state.marked = true
	m.mu.Unlock()
	if wasMarked {
		return nil
	}
	m.log.Info("endpoint is leaving", "endpoint", mark.Endpoint, "incarnation", mark.Incarnation, "source", source)
	event := place.Marked{Endpoint: mark.Endpoint, Incarnation: mark.Incarnation, Source: source}
	if err := m.report(ctx, event); err != nil {
		return fmt.Errorf("report leaving endpoint: %w", err)
	}
	return nil
}

// stateOf returns the state of an endpoint, and creates it if there is none. The
// mutex must be held.
func (m *Membership) stateOf(name model.EndpointName) *endpointState {
	state, exists := m.endpoints[name]
	if !exists {
		state = &endpointState{}
		m.endpoints[name] = state
	}
	return state
}
