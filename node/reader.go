package node

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"filberthold/platform"
	"filberthold/relay"
)

const (
	// activeCheckInterval is how often a host that does not read the store
	// checks whether it should.
	activeCheckInterval = 300 * time.Millisecond
	// followerProbeInterval is the shortest pause between the probes of a host that
	// the store refuses while another host keeps its replica up to date. The replica
	// counts as up to date while it is younger than this interval.
	followerProbeInterval = time.Second
	// maxAnswerTimeout bounds the time in which the store must begin to answer a call
	// for the operator's rows, in addition to the wait for a change.
	maxAnswerTimeout = 1500 * time.Millisecond
)

// awaitFunc is the type of starter.await.
type awaitFunc func(ctx context.Context, era uint64, readAt time.Time) bool

// reader updates the replica from the store while this host is a store reader.
type reader struct {
	log       *slog.Logger
	store     *platform.Store
	replica   *storeReplica
	intervals intervals
	// isActive reports whether this host should read a table of the store now.
	isActive func(platform.Table) bool
	// awaitStart waits until rows may be used that were read from readAt on, in an era. It
	// reports whether they must be read again.
	awaitStart awaitFunc
	// probeInterval returns the pause before an unreachable store is probed
	// again.
	probeInterval func() time.Duration
	dependency    dependency
	// operatorRows logs when the operator's rows cannot be read. The store may be
	// reachable meanwhile.
	operatorRows dependency
	// unansweredCalls counts the calls for the operator's rows that ended without an
	// answer since the last answer. Only operatorLoop uses it.
	unansweredCalls int
	// operatorListedAt is when the operator's table was last read as a whole. Only
	// operatorLoop uses it.
	operatorListedAt time.Time
	// loggedEra is the last era of the store that was logged.
	loggedEra atomic.Uint64
	// isStoreReachable is false while the store does not serve this host.
	isStoreReachable atomic.Bool
}

func newReader(log *slog.Logger, store *platform.Store, replica *storeReplica, intervals intervals,
	isActive func(platform.Table) bool, awaitStart awaitFunc, probeInterval func() time.Duration) *reader {
	r := &reader{
		log: log, store: store, replica: replica, intervals: intervals, isActive: isActive,
		awaitStart: awaitStart, probeInterval: probeInterval,
		dependency: dependency{log: log, name: "store"}, operatorRows: dependency{log: log, name: "operatorRows"},
	}
	r.isStoreReachable.Store(true)
	return r
}

// endpointLoop reads the entries of the endpoints. It also detects that the
// store is unreachable.
func (r *reader) endpointLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.isActive(platform.EndpointTable) {
			sleep(ctx, activeCheckInterval)
			continue
		}
		startedAt := time.Now()
		if err := r.readEndpoints(ctx, startedAt); err != nil {
			r.markStoreLost(err)
			sleep(ctx, r.retryPause(r.replica.endpoints))
			continue
		}
		r.markStoreRegained()
		sleep(ctx, r.intervals.endpoints.readInterval-time.Since(startedAt))
	}
	return nil
}

// retryPause returns the pause after a failed read of a table. It is at least
// followerProbeInterval while another host keeps the table up to date.
func (r *reader) retryPause(table *relay.Cache) time.Duration {
	if table.Age(time.Now()) < followerProbeInterval {
		return max(followerProbeInterval, r.probeInterval())
	}
	return r.probeInterval()
}

func (r *reader) markStoreLost(err error) {
	r.isStoreReachable.Store(false)
	r.dependency.markLost(err)
}

func (r *reader) markStoreRegained() {
	r.dependency.markRegained()
	r.isStoreReachable.Store(true)
	r.logEra()
}

// readEndpoints reads the changed entries, or the whole table if the replica has
// no version yet or the store no longer has the history after it. The replica is
// then complete as of startedAt.
func (r *reader) readEndpoints(ctx context.Context, startedAt time.Time) error {
	after := r.replica.endpoints.Version()
	if !after.IsZero() {
		rows, err := r.store.Watch(ctx, platform.EndpointTable, after, 0, 0)
		if err == nil {
			r.replica.applyEndpointRows(rows.Rows, rows.Version, startedAt)
			return nil
		}
		if !r.isHistoryLost(err, platform.EndpointTable, after) {
			return err
		}
	}
	listedAt := time.Now()
	rows, err := r.store.List(ctx, platform.EndpointTable)
	if err != nil {
		return err
	}
	if r.awaitStart(ctx, rows.Version.Era, listedAt) {
		return r.readEndpoints(ctx, time.Now())
	}
	r.replica.applyEndpointTable(rows, startedAt)
	return nil
}

// isHistoryLost reports whether a Watch failed because the store no longer has the
// changes after a version. If so, it logs that.
func (r *reader) isHistoryLost(err error, table platform.Table, after platform.Version) bool {
	var lost *platform.HistoryError
	if !errors.As(err, &lost) {
		return false
	}
	r.log.Warn("history of the store was dropped, reading the whole table", "table", table, "after", after, "storeEra", r.store.Era())
	return true
}

// logEra logs a change of the store's era: the store has returned from an older copy
// of its rows.
func (r *reader) logEra() {
	era := r.store.Era()
	if before := r.loggedEra.Swap(era); before != era && before != 0 {
		r.log.Warn("store returned from an older copy", "storeEra", era, "before", before)
	}
}

// operatorLoop reads the operator's rows and waits for their changes.
func (r *reader) operatorLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.isActive(platform.OperatorTable) {
			sleep(ctx, activeCheckInterval)
			continue
		}
		startedAt := time.Now()
		err := r.readOperator(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			r.operatorRows.markLost(err)
			if errors.Is(err, context.DeadlineExceeded) {
				r.unansweredCalls++
			}
			// A call that hung has already taken the time of the pause.
			sleep(ctx, r.retryPause(r.replica.operator)-time.Since(startedAt))
			continue
		}
		r.operatorRows.markRegained()
		r.unansweredCalls = 0
	}
	return nil
}

// readOperator reads the operator's rows. It returns at their next change, or
// after the read interval if there is none.
func (r *reader) readOperator(ctx context.Context) error {
	after := r.replica.operator.Version()
	calledAt := r.replica.trust.Now()
	if !after.IsZero() && !r.mustListOperator() {
		rows, confirmedAt, err := r.watchOperator(ctx, after)
		if err == nil {
			r.replica.missConfigRow(rows.IsPartial)
			r.replica.applyOperatorRows(rows.Rows, rows.Version, confirmedAt)
			r.replica.proveByStore(rows, calledAt, false)
			return nil
		}
		if !r.isHistoryLost(err, platform.OperatorTable, after) {
			return err
		}
	}
	startedAt := time.Now()
	calledAt = r.replica.trust.Now()
	r.operatorListedAt = startedAt
	rows, err := r.store.List(ctx, platform.OperatorTable)
	if err != nil {
		return err
	}
	if r.awaitStart(ctx, rows.Version.Era, startedAt) {
		return r.readOperator(ctx)
	}
	r.replica.missConfigRow(rows.IsPartial)
	r.replica.applyOperatorTable(rows, startedAt)
	r.replica.proveByStore(rows, calledAt, true)
	return nil
}

// mustListOperator reports whether the whole table of the operator's rows is read to learn
// the row of the configuration, which came from a host that may have replaced its value.
func (r *reader) mustListOperator() bool {
	return r.replica.needsConfigRow() && time.Since(r.operatorListedAt) > r.intervals.operator.readInterval
}

// watchOperator waits for changes of the operator's rows, unless the rows are older
// than the read interval or a proof is needed. The wait for an answer is short, because a
// call can hang on a connection that went silent while the store answers on others. It also
// returns when the store had the rows: the response may have been in transit for long.
func (r *reader) watchOperator(ctx context.Context, after platform.Version) (platform.Rows, time.Time, error) {
	wait := r.intervals.operator.readInterval
	startedAt := time.Now()
	// Without the row of the configuration an answer proves nothing.
	if r.replica.operator.Age(startedAt) > wait || r.replica.needsProof() && !r.replica.needsConfigRow() {
		wait = 0
	}
	rows, err := r.store.Watch(ctx, platform.OperatorTable, after, wait, r.answerTimeout())
	if len(rows.Rows) > 0 {
		// The store may have answered at once.
		wait = 0
	}
	confirmedAt := startedAt.Add(wait)
	if confirmedAt.After(rows.ReceivedAt) {
		confirmedAt = rows.ReceivedAt
	}
	return rows, confirmedAt, err
}

// answerTimeout returns the time in which the store must begin to answer a call for
// the operator's rows, in addition to the wait for a change. It doubles with each call
// without an answer, so that the answers of a slow store arrive too.
func (r *reader) answerTimeout() time.Duration {
	timeout := r.intervals.operator.answerTimeout
	for range r.unansweredCalls {
		if timeout >= maxAnswerTimeout {
			break
		}
		timeout *= 2
	}
	return min(timeout, maxAnswerTimeout)
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
