package limits

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection waits for.
type Phase int

const (
	// Fresh means that no request of the connection has been answered, and that the head of
	// the first one has not arrived.
	Fresh Phase = iota
	// Stalled means that the client sends no more of a body, or reads no more of a response.
	Stalled
	// Idle means that the client has got a response and has sent no complete head since.
	Idle
	// Working means that the host handles a request and does not wait for the client.
	Working
)

// State is the state of a connection.
type State struct {
	Phase Phase
	// Waited is how long the host has waited for the client.
	Waited time.Duration
	// Unfinished is the number of bytes of the body or response that are not yet passed on.
	Unfinished int64
}

// patience is how long a client may take to send a head, to send the next bytes of a
// body or to read the next bytes of a response, before it is slow.
const patience = time.Second

// rank tells which connections are closed first: slow ones, then those that are idle, which
// lose nothing, then new ones, which are about to send a request. It returns false for
// connections that are not closed.
func (s State) rank() (int, bool) {
	isSlow := s.Waited >= patience
	switch {
	case s.Phase == Stalled && isSlow:
		return 0, true
	case s.Phase == Fresh && isSlow:
		return 1, true
	case s.Phase == Idle:
		return 2, true
	case s.Phase == Fresh:
		return 3, true
	}
	return 0, false
}

// Choose returns the indices of the connections, at most count, that are closed to make
// room. No request is lost with them unless its client has stopped sending or reading.
func Choose(states []State, count int) []int {
	var closable []int
	for i, state := range states {
		if _, canClose := state.rank(); canClose {
			closable = append(closable, i)
		}
	}
	slices.SortStableFunc(closable, func(i, j int) int { return compare(states[i], states[j]) })
	return closable[:min(count, len(closable))]
}

// compare orders connections that may be closed, the first one first.
func compare(a, b State) int {
	rankA, _ := a.rank()
	rankB, _ := b.rank()
	return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(b.Unfinished, a.Unfinished), cmp.Compare(b.Waited, a.Waited))
}
