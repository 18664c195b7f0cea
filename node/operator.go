package node

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/proxy"
)

const (
	// operatorWait is how long one call waits for a change of the operator's
	// rows. They change rarely, so that a long wait costs little.
	operatorWait = 3 * time.Second
	// storeRetry is the pause after a failed call.
	storeRetry = 250 * time.Millisecond
)

// operatorWatch follows what the operator writes: the configuration and the
// evacuations.
type operatorWatch struct {
	log   *slog.Logger
	store *platform.Store
	core  *proxy.Core
	// link tells whether the store could be reached at the last call.
	link dependency

	mu sync.Mutex
	// read is the version of the store up to which changes are known; 0 means
	// that the whole table has to be read.
	read      uint64
	evacuated map[model.ZoneName]bool
}

func newOperatorWatch(log *slog.Logger, store *platform.Store, core *proxy.Core) *operatorWatch {
	return &operatorWatch{
		log: log, store: store, core: core, evacuated: make(map[model.ZoneName]bool),
		link: dependency{log: log, name: "operator rows"},
	}
}

// version returns the version of the store up to which changes are known.
func (w *operatorWatch) version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.read
}

func (w *operatorWatch) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.link.lost(err)
			wait(ctx, storeRetry)
			continue
		}
		w.link.regained()
	}
	return nil
}

// step reads the whole table or waits for its next change.
func (w *operatorWatch) step(ctx context.Context) error {
	after := w.version()
	if after == 0 {
		rows, err := w.store.List(ctx, platform.OperatorTable)
		if err != nil {
			return err
		}
		w.takeAll(rows)
		return nil
	}
	rows, err := w.store.Watch(ctx, platform.OperatorTable, after, operatorWait)
	var lostHistory *platform.HistoryError
	if errors.As(err, &lostHistory) {
		w.log.Warn("history of the store is gone, reading the whole table", "table", platform.OperatorTable, "after", after)
		w.setRead(0)
		return nil
	}
	if err != nil {
		return err
	}
	for _, row := range rows.Rows {
		w.take(row)
	}
	w.apply(rows.Version)
	return nil
}

func (w *operatorWatch) setRead(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.read = version
}

// takeAll replaces what is known by a reading of the whole table.
func (w *operatorWatch) takeAll(rows platform.Rows) {
	w.mu.Lock()
	clear(w.evacuated)
	w.mu.Unlock()
	for _, row := range rows.Rows {
		w.take(row)
	}
	w.apply(rows.Version)
}

func (w *operatorWatch) take(row platform.Row) {
	if zone, isEvacuation := platform.EvacuatedZone(row); isEvacuation {
		w.mu.Lock()
		defer w.mu.Unlock()
		if row.IsRemoved {
			delete(w.evacuated, zone)
			return
		}
		w.evacuated[zone] = true
		return
	}
	if row.Key != platform.ConfigKey || row.IsRemoved {
		return
	}
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		w.log.Error("configuration not understood, the one in force stays", "rowVersion", row.Version, "error", err)
		return
	}
	if w.core.SetConfig(config) {
		w.log.Info("configuration in force", "configVersion", config.Version(), "rowVersion", row.Version)
	}
}

// apply puts the evacuations into force.
func (w *operatorWatch) apply(version uint64) {
	w.mu.Lock()
	w.read = max(w.read, version)
	zones := slices.Sorted(maps.Keys(w.evacuated))
	w.mu.Unlock()
	if w.core.SetEvacuated(zones) {
		w.log.Info("evacuations changed", "zones", zones, "storeVersion", version)
	}
}

// wait pauses until ctx ends at the latest.
func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}
