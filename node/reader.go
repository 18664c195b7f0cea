package node

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"filberthold/platform"
)

const (
	// operatorPollWait is how long one call waits for a change of the operator's
	// rows. They change rarely, so a long wait costs little.
	operatorPollWait = 3 * time.Second
	// activeCheckInterval is how often a host that does not read the store
	// checks whether it should.
	activeCheckInterval = 300 * time.Millisecond
	// followerProbeInterval is the shortest pause between the probes of a host that
	// the store refuses while another host keeps its replica up to date. The replica
	// counts as up to date while it is younger than this interval.
	followerProbeInterval = time.Second
	// renewalGrace is the grace period after a store outage in which endpoints
	// write entries again that expired during the outage.
	renewalGrace = 2 * time.Second
	// minOutageHeartbeats is the length of a store outage, in heartbeat intervals,
	// from which entries may have expired. An entry expires three heartbeat
	// intervals after its last renewal.
	minOutageHeartbeats = 2
)

// reader updates the replica from the store while this host is a store reader.
type reader struct {
	log       *slog.Logger
	store     *platform.Store
	replica   *storeReplica
	intervals intervals
	// isActive reports whether this host should read the store now.
	isActive func() bool
	// probeInterval returns the pause before an unreachable store is probed
	// again.
	probeInterval func() time.Duration
	dependency    dependency
	// operatorRows logs when the operator's rows cannot be read. The store may be
	// reachable meanwhile.
	operatorRows      dependency
	heartbeatInterval time.Duration
	// outageEndedAt is the end of the last store outage in which entries may
	// have expired. graceUntil sets it at the first successful read after the
	// outage.
	outageEndedAt time.Time
	// isStoreReachable is false while the store does not serve this host.
	isStoreReachable atomic.Bool
	// wake ends the current wait for a change of the operator's rows.
	wake chan struct{}
}

func newReader(log *slog.Logger, store *platform.Store, replica *storeReplica, intervals intervals, heartbeatInterval time.Duration,
	isActive func() bool, probeInterval func() time.Duration) *reader {
	r := &reader{
		log: log, store: store, replica: replica, intervals: intervals, isActive: isActive, probeInterval: probeInterval, heartbeatInterval: heartbeatInterval,
		dependency: dependency{log: log, name: "store"}, operatorRows: dependency{log: log, name: "operatorRows"}, wake: make(chan struct{}, 1),
	}
	r.isStoreReachable.Store(true)
	return r
}

// endpointLoop reads the entries of the endpoints. It also detects that the
// store is unreachable.
func (r *reader) endpointLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.isActive() {
			sleep(ctx, activeCheckInterval)
			continue
		}
		startedAt := time.Now()
		if err := r.readEndpoints(ctx, startedAt); err != nil {
			r.markStoreLost(err)
			sleep(ctx, r.retryPause())
			continue
		}
		r.markStoreRegained()
		sleep(ctx, r.intervals.entryInterval-time.Since(startedAt))
	}
	return nil
}

// retryPause returns the pause after a failed read of the store. It is at least
// followerProbeInterval while another host keeps the replica up to date.
func (r *reader) retryPause() time.Duration {
	if r.replica.endpoints.Age(time.Now()) < followerProbeInterval {
		return max(followerProbeInterval, r.probeInterval())
	}
	return r.probeInterval()
}

func (r *reader) markStoreLost(err error) {
	r.isStoreReachable.Store(false)
	r.dependency.markLost(err)
}

// markStoreRegained records that the store serves this host. After an outage it
// has the operator's rows read at once, because the current call may hang on a
// connection that broke during the outage.
func (r *reader) markStoreRegained() {
	outage := r.dependency.markRegained()
	r.isStoreReachable.Store(true)
	if outage == 0 {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// graceUntil returns the end of the grace period, in which an entry may be
// missing only because of a store outage. Only an outdated replica starts a
// grace period: then graceUntil sets outageEndedAt to now. There is none if the
// store refused this host while other hosts read it and kept the replica up to
// date, nor while one host takes over as store reader from another.
func (r *reader) graceUntil(now time.Time) time.Time {
	if r.replica.endpoints.Version() > 0 && r.replica.endpoints.Age(now) > minOutageHeartbeats*r.heartbeatInterval {
		r.outageEndedAt = now
	}
	return r.outageEndedAt.Add(renewalGrace)
}

// readEndpoints reads the changed entries, or the whole table if the replica has
// no version yet or the store no longer has the history after it. The replica is
// then complete as of startedAt.
func (r *reader) readEndpoints(ctx context.Context, startedAt time.Time) error {
	after := r.replica.endpoints.Version()
	if after > 0 {
		rows, err := r.store.Watch(ctx, platform.EndpointTable, after, 0)
		if err == nil {
			r.replica.applyEndpointRows(rows.Rows, rows.Version, startedAt, r.graceUntil(time.Now()))
			return nil
		}
		if !r.isHistoryLost(err, platform.EndpointTable, after) {
			return err
		}
	}
	rows, err := r.store.List(ctx, platform.EndpointTable)
	if err != nil {
		return err
	}
	r.replica.applyEndpointTable(rows, startedAt, r.graceUntil(time.Now()))
	return nil
}

// isHistoryLost reports whether a Watch failed because the store no longer has the
// changes after a version. If so, it logs that.
func (r *reader) isHistoryLost(err error, table platform.Table, after uint64) bool {
	var lost *platform.HistoryError
	if !errors.As(err, &lost) {
		return false
	}
	r.log.Warn("history of the store was dropped, reading the whole table", "table", table, "after", after)
	return true
}

// operatorLoop reads the operator's rows and waits for their changes.
func (r *reader) operatorLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.isActive() {
			sleep(ctx, activeCheckInterval)
			continue
		}
		err := r.readOperatorUntilWake(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.operatorRows.markLost(err)
			sleep(ctx, r.retryPause())
			continue
		}
		r.operatorRows.markRegained()
	}
	return nil
}

// readOperatorUntilWake reads the operator's rows. It returns early when the
// store is reachable again after an outage.
func (r *reader) readOperatorUntilWake(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.readOperator(ctx) }()
	select {
	case err := <-done:
		return err
	case <-r.wake:
		cancel()
		<-done
		return nil
	}
}

func (r *reader) readOperator(ctx context.Context) error {
	after := r.replica.operator.Version()
	if after > 0 {
		// While the store is unreachable, a call with a wait would hang for the
		// whole wait.
		pollWait := operatorPollWait
		if !r.isStoreReachable.Load() {
			pollWait = 0
		}
		rows, err := r.store.Watch(ctx, platform.OperatorTable, after, pollWait)
		if err == nil {
			r.replica.applyOperatorRows(rows.Rows, rows.Version, time.Now(), storeSource)
			return nil
		}
		if !r.isHistoryLost(err, platform.OperatorTable, after) {
			return err
		}
	}
	startedAt := time.Now()
	rows, err := r.store.List(ctx, platform.OperatorTable)
	if err != nil {
		return err
	}
	r.replica.applyOperatorTable(rows, startedAt)
	return nil
}

// sleep pauses for a duration, or until ctx ends if that is earlier.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
