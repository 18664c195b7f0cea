package node

import (
	"context"
	"errors"
	"time"

	"filberthold/member"
	"filberthold/platform"
	"filberthold/relay"
)

const (
	// slowPollTime is how much longer than the wait for a change a poll may take before
	// another host is polled beside it. Longer ones are transfers over small links, or of
	// a host that hardly sends.
	slowPollTime = time.Second
	// slowSourceBackoff is how long a host is not polled after a slow poll. Each one delays
	// the rows by slowPollTime.
	slowSourceBackoff = 4 * time.Second
)

// errSlowerSource is the error of a poll that was given up.
var errSlowerSource = errors.New("another host answered first, or is polled instead")

// runningPoll is a poll of a host. update and err are set when it has ended.
type runningPoll struct {
	source    member.Heartbeat
	startedAt time.Time
	cancel    context.CancelFunc
	update    relay.Update
	err       error
}

// run polls the host and reports the end, unless ctx ends before.
func (p *runningPoll) run(ctx context.Context, poll pollFunc, operatorAfter, endpointsAfter platform.Version, watched []string, ended chan<- *runningPoll) {
	p.update, p.err = poll(ctx, p.source.ControlAddress, operatorAfter, endpointsAfter, watched...)
	select {
	case ended <- p:
	case <-ctx.Done():
	}
}

func (f *follower) startPoll(ctx context.Context, source member.Heartbeat, ended chan<- *runningPoll) *runningPoll {
	ctx, cancel := context.WithCancel(ctx)
	started := &runningPoll{source: source, startedAt: time.Now(), cancel: cancel}
	operatorAfter, endpointsAfter := f.replica.operator.Version(), f.replica.endpoints.Version()
	watched := f.replica.revivedKeys(started.startedAt)
	f.polls.Go(func() { started.run(ctx, f.poll, operatorAfter, endpointsAfter, watched, ended) })
	return started
}

// pollSource polls a host. While that takes long and the rows are too old, it polls one of
// the others beside it, one after the other: more of them would divide a small link. The
// first update counts. The other poll is then cancelled, because its rows may be older.
func (f *follower) pollSource(ctx context.Context, source member.Heartbeat) {
	ctx, cancel := context.WithCancel(ctx)
	defer f.polls.Wait()
	defer cancel()
	ended := make(chan *runningPoll)
	first := f.startPoll(ctx, source, ended)
	var second *runningPoll
	ticker := time.NewTicker(f.intervals.pollWait + slowPollTime)
	defer ticker.Stop()
	for first != nil || second != nil {
		select {
		case poll := <-ended:
			switch poll {
			case first:
				first = nil
			case second:
				second = nil
			default:
				// It ended while it was given up.
				continue
			}
			if f.finishPoll(poll) {
				f.giveUp(first)
				f.giveUp(second)
				return
			}
		case now := <-ticker.C:
			f.postpone(first, now)
			second = f.pollBeside(ctx, second, ended, now)
		case <-ctx.Done():
			return
		}
	}
}

// pollBeside replaces the second poll by one of the next host, if there is one, and returns
// it.
func (f *follower) pollBeside(ctx context.Context, second *runningPoll, ended chan<- *runningPoll, now time.Time) *runningPoll {
	next, exists := f.pickSource(now)
	if !exists || !f.isOutdated(now) {
		return second
	}
	f.giveUp(second)
	started := f.startPoll(ctx, next, ended)
	f.postpone(started, now)
	return started
}

// isOutdated reports whether the rows of a table or the proof of the keys are too old.
func (f *follower) isOutdated(now time.Time) bool {
	return f.replica.needsProof() || f.replica.isOutdated(platform.OperatorTable, f.intervals, now) || f.replica.isOutdated(platform.EndpointTable, f.intervals, now)
}

// postpone lets other hosts be picked before that of a poll, unless the poll delivers.
func (f *follower) postpone(poll *runningPoll, now time.Time) {
	if poll != nil {
		f.retryAt[poll.source.Host] = now.Add(slowSourceBackoff)
	}
}

// giveUp cancels a poll, if it runs.
func (f *follower) giveUp(poll *runningPoll) {
	if poll == nil {
		return
	}
	poll.cancel()
	f.logNotFollowed(poll, errSlowerSource)
}
