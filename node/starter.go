package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/relay"
)

const (
	// holderAnswerTime is the time in which the hosts that the store names must answer. It
	// is longer than a round trip between regions.
	holderAnswerTime = 300 * time.Millisecond
	// holderWait bounds the wait for a host that can tell what it knows if the rows of the
	// hosts cannot be read. It covers the answers of the seeds.
	holderWait = 700 * time.Millisecond
	// maxStartWait bounds the start if hosts do not answer, or answer slowly.
	maxStartWait = 3 * time.Second
	// holderCheckInterval is how often a host that starts looks for such a host.
	holderCheckInterval = 10 * time.Millisecond
)

// starter gets what another host knows before this host uses the store. The store may
// have returned from an older copy, in which removed entries are back, and evacuations
// and configurations are missing; only hosts that ran before know that. Without another
// host the rows of the store are used as they are.
type starter struct {
	log       *slog.Logger
	replica   *storeReplica
	intervals intervals
	// holders returns the hosts to ask in order of preference.
	holders func() []member.Heartbeat
	poll    pollFunc
	// asked holds the hosts that were asked for what they know.
	asked map[model.HostName]bool
	// hostsAskedAt is when the hosts that the store names were first asked to announce
	// themselves, or nil.
	hostsAskedAt atomic.Pointer[time.Time]
	// over is closed when the host no longer waits for another one.
	over chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// isStoreComplete is true if the store has answered and lost nothing.
	isStoreComplete bool
	// learnedAt is when another host has told what it knows, or zero.
	learnedAt time.Time
}

// markEra records the era of the store after an answer. A store that returns from older
// copies states its era, so one without an era has lost nothing.
func (s *starter) markEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isStoreComplete = era == 0
}

// needsHost reports whether another host may know what the store lost.
func (s *starter) needsHost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isStoreComplete
}

// markHostsAsked records that the hosts that the store names were asked to announce
// themselves.
func (s *starter) markHostsAsked(now time.Time) { s.hostsAskedAt.CompareAndSwap(nil, &now) }

// run returns after a host has answered, if there is none or none answers, or if the store
// has lost nothing.
func (s *starter) run(ctx context.Context) {
	defer close(s.over)
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(maxStartWait))
	defer cancel()
	for ctx.Err() == nil && s.needsHost() {
		holder, exists := s.nextHolder()
		switch {
		case exists && s.ask(ctx, holder):
			return
		case exists:
		case s.isWaitOver(startedAt):
			s.log.Info("no other host tells what it knows", "asked", len(s.asked))
			return
		default:
			sleep(ctx, holderCheckInterval)
		}
	}
}

// isWaitOver reports whether the hosts that can tell what they know would have been heard
// by now.
func (s *starter) isWaitOver(startedAt time.Time) bool {
	askedAt := s.hostsAskedAt.Load()
	return time.Since(startedAt) >= holderWait || askedAt != nil && time.Since(*askedAt) >= holderAnswerTime
}

// await waits until rows of the store may be used that were read from readAt on, in an era.
// It reports whether the host has learned something meanwhile, which may be newer.
func (s *starter) await(ctx context.Context, era uint64, readAt time.Time) bool {
	s.markEra(era)
	if era > 0 {
		select {
		case <-s.over:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learnedAt.After(readAt)
}

// nextHolder returns the preferred host that was not asked yet.
func (s *starter) nextHolder() (member.Heartbeat, bool) {
	for _, holder := range s.holders() {
		if !s.asked[holder.Host] {
			return holder, true
		}
	}
	return member.Heartbeat{}, false
}

// ask asks a host for all that it knows and reports whether it knew anything.
func (s *starter) ask(ctx context.Context, holder member.Heartbeat) bool {
	if s.asked == nil {
		s.asked = make(map[model.HostName]bool)
	}
	s.asked[holder.Host] = true
	startedAt := time.Now()
	update, err := s.poll(ctx, holder.ControlAddress, platform.Version{}, platform.Version{})
	if err != nil {
		s.log.Warn("host does not tell what it knows", "peer", holder.Host, "elapsed", time.Since(startedAt), "error", err)
		return false
	}
	if update.Operator.Version.IsZero() || update.Endpoints.Version.IsZero() {
		return false
	}
	if !s.learn(update, holder.Host) {
		return true
	}
	s.log.Info("learned from a host", "peer", holder.Host, "elapsed", time.Since(startedAt), "removals", len(update.Removals),
		"operatorVersion", update.Operator.Version, "operatorAge", update.Operator.Age,
		"endpointsVersion", update.Endpoints.Version, "age", update.Endpoints.Age)
	return true
}

// learn applies what a host knows, unless the rows of the store may be in use already.
func (s *starter) learn(update relay.Update, source model.HostName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStoreComplete {
		return false
	}
	s.replica.learn(update, source, s.intervals)
	s.learnedAt = time.Now()
	return true
}
