package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"filberthold/member"
	"filberthold/model"
	"filberthold/platform"
	"filberthold/relay"
)

const (
	// noSourcePause is the pause before the next attempt if there is no host to
	// follow.
	noSourcePause = 100 * time.Millisecond
	// sourceBackoff is how long a host is not polled after a poll failed, returned no
	// endpoints or left this host behind.
	sourceBackoff = time.Second
)

// pollFunc polls the host at an address for the rows that changed after the given
// versions, and for the renewals of the watched entries.
type pollFunc func(ctx context.Context, address string, operatorAfter, endpointsAfter platform.Version, watched ...string) (relay.Update, error)

// follower keeps the replica up to date by polling another host.
type follower struct {
	log       *slog.Logger
	replica   *storeReplica
	intervals intervals
	poll      pollFunc
	// sources returns the hosts to follow in order of preference. It returns
	// none if this host reads the store.
	sources func() []member.Heartbeat
	// isBehind reports whether this host has for too long lacked a version that others have.
	isBehind func(now time.Time) bool
	// retryAt holds the time before which a host is not polled again.
	retryAt map[model.HostName]time.Time
	// polls are those that run.
	polls sync.WaitGroup
	// currentSource is the last host that was polled successfully.
	currentSource model.HostName
}

func newFollower(log *slog.Logger, replica *storeReplica, intervals intervals, sources func() []member.Heartbeat, isBehind func(time.Time) bool, poll pollFunc) *follower {
	return &follower{log: log, replica: replica, intervals: intervals, poll: poll, sources: sources, isBehind: isBehind, retryAt: make(map[model.HostName]time.Time)}
}

// loop polls other hosts until ctx ends.
func (f *follower) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		source, exists := f.pickSource(time.Now())
		if !exists {
			sleep(ctx, noSourcePause)
			continue
		}
		f.pollSource(ctx, source)
	}
	return nil
}

func (f *follower) pickSource(now time.Time) (member.Heartbeat, bool) {
	for _, source := range f.sources() {
		if !now.Before(f.retryAt[source.Host]) {
			return source, true
		}
	}
	return member.Heartbeat{}, false
}

// finishPoll applies the update of a poll and reports whether there was one.
func (f *follower) finishPoll(poll *runningPoll) bool {
	now := time.Now()
	poll.cancel()
	host := poll.source.Host
	if poll.err != nil {
		f.retryAt[host] = now.Add(sourceBackoff)
		f.logNotFollowed(poll, poll.err)
		return false
	}
	delete(f.retryAt, host)
	if host != f.currentSource {
		f.currentSource = host
		f.log.Info("following a host", "peer", host, "age", poll.update.Endpoints.Age, "operatorAge", poll.update.Operator.Age)
	}
	if poll.update.Endpoints.Version.IsZero() {
		f.retryAt[host] = now.Add(sourceBackoff)
		return false
	}
	f.replica.applyUpdate(poll.update, host)
	if f.isUseless(poll.update, now) {
		f.retryAt[host] = now.Add(sourceBackoff)
	}
	return true
}

func (f *follower) logNotFollowed(poll *runningPoll, err error) {
	f.log.Warn("host not followed", "peer", poll.source.Host, "elapsed", time.Since(poll.startedAt), "error", err)
}

// isUseless reports whether an update, which was applied, leaves this host behind: its rows
// or the proof of its keys are too old, or it lacks what others have had for long.
func (f *follower) isUseless(update relay.Update, now time.Time) bool {
	isOld := update.Operator.Age > f.intervals.operator.maxAge || update.Endpoints.Age > f.intervals.endpoints.maxAge
	return isOld || f.replica.needsProof() || f.isBehind(now)
}
