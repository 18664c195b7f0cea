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
	// operatorWait is how long one call waits for a change of the operator's
	// rows. They change rarely, so that a long wait costs little.
	operatorWait = 3 * time.Second
	// idlePause is how often a host that does not read the store looks whether
	// it has to.
	idlePause = 300 * time.Millisecond
	// probeInterval is how often a host that the store turns away tries again
	// while another host keeps it up to date.
	probeInterval = time.Second
	// renewalTime is how long after an outage endpoints need to renew entries
	// that lapsed meanwhile.
	renewalTime = 2 * time.Second
	// lapseBeats is the number of heartbeats for which the store must be away
	// for entries to lapse; they do after three.
	lapseBeats = 2
)

// reader reads the store.
type reader struct {
	log   *slog.Logger
	store *platform.Store
	known *knowledge
	pace  pace
	// isActive reports whether this host should read the store now.
	isActive func() bool
	// probePause is how long to wait before the store is tried again.
	probePause func() time.Duration
	link       dependency
	heartbeat  time.Duration
	// outageEnded is when the store came back after an outage in which entries
	// may have lapsed.
	outageEnded time.Time
	// hasStore is false while the store does not answer this host.
	hasStore atomic.Bool
	// wake ends the present wait for a change of the operator's rows.
	wake chan struct{}
}

func newReader(log *slog.Logger, store *platform.Store, known *knowledge, pace pace, heartbeat time.Duration,
	isActive func() bool, probePause func() time.Duration) *reader {
	made := &reader{
		log: log, store: store, known: known, pace: pace, isActive: isActive, probePause: probePause, heartbeat: heartbeat,
		link: dependency{log: log, name: "store"}, wake: make(chan struct{}, 1),
	}
	made.hasStore.Store(true)
	return made
}

// endpointLoop follows the entries of the endpoints. It is also what notices
// that the store is away.
func (r *reader) endpointLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.isActive() {
			wait(ctx, idlePause)
			continue
		}
		started := time.Now()
		if err := r.readEndpoints(ctx, started); err != nil {
			r.lose(err)
			wait(ctx, r.retryPause())
			continue
		}
		r.regain()
		wait(ctx, r.pace.entryInterval-time.Since(started))
	}
	return nil
}

func (r *reader) retryPause() time.Duration {
	if r.known.endpoints.Age(time.Now()) < probeInterval {
		return max(probeInterval, r.probePause())
	}
	return r.probePause()
}

func (r *reader) lose(err error) {
	r.hasStore.Store(false)
	r.link.lost(err)
}

// regain makes the operator's rows be read at once: their call may hang on a
// connection that went silent in the outage.
func (r *reader) regain() {
	away := r.link.regained()
	r.hasStore.Store(true)
	if away == 0 {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// doubtUntil returns until when entries may be missing only because the store
// was away. A host that the store turned away while others read it knows what
// has happened meanwhile: an entry that is missing then is gone. Nor do entries
// lapse while one host takes the reading over from another.
func (r *reader) doubtUntil(now time.Time) time.Time {
	if r.known.endpoints.Version() > 0 && r.known.endpoints.Age(now) > lapseBeats*r.heartbeat {
		r.outageEnded = now
	}
	return r.outageEnded.Add(renewalTime)
}

// readEndpoints reads what changed, or the whole table if that is not known.
func (r *reader) readEndpoints(ctx context.Context, at time.Time) error {
	after := r.known.endpoints.Version()
	if after > 0 {
		rows, err := r.store.Watch(ctx, platform.EndpointTable, after, 0)
		if err == nil {
			r.known.takeEndpoints(rows.Rows, rows.Version, at, r.doubtUntil(time.Now()))
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
	r.known.takeEndpointTable(rows, at, r.doubtUntil(time.Now()))
	return nil
}

func (r *reader) isHistoryLost(err error, table platform.Table, after uint64) bool {
	var lost *platform.HistoryError
	if !errors.As(err, &lost) {
		return false
	}
	r.log.Warn("history of the store is gone, reading the whole table", "table", table, "after", after)
	return true
}

// operatorLoop follows what the operator writes.
func (r *reader) operatorLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.isActive() {
			wait(ctx, idlePause)
			continue
		}
		if err := r.readOperatorOrWake(ctx); err != nil && ctx.Err() == nil {
			r.log.Debug("operator rows not read", "error", err)
			wait(ctx, r.retryPause())
		}
	}
	return nil
}

// readOperatorOrWake ends early when the store has come back.
func (r *reader) readOperatorOrWake(ctx context.Context) error {
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
	after := r.known.operator.Version()
	if after > 0 {
		// While the store is away a call that waits would hang for long.
		patience := operatorWait
		if !r.hasStore.Load() {
			patience = 0
		}
		rows, err := r.store.Watch(ctx, platform.OperatorTable, after, patience)
		if err == nil {
			r.known.takeOperator(rows.Rows, rows.Version, time.Now())
			return nil
		}
		if !r.isHistoryLost(err, platform.OperatorTable, after) {
			return err
		}
	}
	started := time.Now()
	rows, err := r.store.List(ctx, platform.OperatorTable)
	if err != nil {
		return err
	}
	r.known.takeOperatorTable(rows, started)
	return nil
}

// wait pauses until ctx ends at the latest.
func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
