package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/proxy"
	"filberthold/roster"
)

// entryInterval is how often the changes of the endpoints' entries are read.
// An endpoint that drains must be left within about two seconds.
const entryInterval = 700 * time.Millisecond

// entryWatch follows the entries of the endpoints.
type entryWatch struct {
	log   *slog.Logger
	store *platform.Store
	core  *proxy.Core
	link  dependency
	// read is the version of the store up to which changes are known; 0 means
	// that the whole table has to be read.
	read uint64
	// outage is how long the store was away until outageEnded.
	outageEnded time.Time
	heartbeat   time.Duration
	// unreadable holds the entries that could not be decoded, so that each is
	// logged once.
	unreadable map[string]bool
}

func newEntryWatch(log *slog.Logger, store *platform.Store, core *proxy.Core, heartbeat time.Duration) *entryWatch {
	return &entryWatch{
		log: log, store: store, core: core, heartbeat: heartbeat, unreadable: make(map[string]bool),
		link: dependency{log: log, name: "endpoint entries"},
	}
}

func (w *entryWatch) run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := w.step(ctx); err != nil {
			w.link.lost(err)
			wait(ctx, storeRetry)
			continue
		}
		if away := w.link.regained(); away > w.heartbeat {
			w.outageEnded = time.Now()
		}
		wait(ctx, entryInterval-time.Since(started))
	}
	return nil
}

// renewalTime is how long after an outage endpoints need to renew entries that
// lapsed meanwhile.
const renewalTime = 2 * time.Second

func (w *entryWatch) isAfterOutage() bool {
	return w.link.isLost || time.Since(w.outageEnded) < renewalTime
}

func (w *entryWatch) step(ctx context.Context) error {
	if w.read == 0 {
		return w.readAll(ctx)
	}
	rows, err := w.store.Watch(ctx, platform.EndpointTable, w.read, 0)
	var lostHistory *platform.HistoryError
	if errors.As(err, &lostHistory) {
		w.log.Warn("history of the store is gone, reading the whole table", "table", platform.EndpointTable, "after", w.read)
		return w.readAll(ctx)
	}
	if err != nil {
		return err
	}
	for _, row := range rows.Rows {
		w.take(row)
	}
	w.read = max(w.read, rows.Version)
	return nil
}

func (w *entryWatch) readAll(ctx context.Context) error {
	rows, err := w.store.List(ctx, platform.EndpointTable)
	if err != nil {
		return err
	}
	var entries []roster.Entry
	for _, row := range rows.Rows {
		if entry, isReadable := w.decode(row); isReadable {
			entries = append(entries, entry)
		}
	}
	w.core.ReplaceEntries(entries, w.isAfterOutage())
	w.read = rows.Version
	w.log.Info("endpoints read", "count", len(entries), "storeVersion", rows.Version)
	return nil
}

func (w *entryWatch) take(row platform.Row) {
	if row.IsRemoved {
		if w.core.RemoveEntry(model.EndpointName(row.Key), w.isAfterOutage()) {
			w.log.Info("endpoint is gone", "endpoint", row.Key, "rowVersion", row.Version)
		}
		return
	}
	entry, isReadable := w.decode(row)
	if !isReadable {
		return
	}
	switch change := w.core.ApplyEntry(entry); change {
	case roster.Added, roster.Left, roster.Updated:
		w.log.Info("endpoint changed", "endpoint", entry.Endpoint, "service", entry.Service, "zone", entry.Zone,
			"state", entry.State, "coldFor", entry.ColdFor, "sequence", entry.Sequence, "born", entry.Born, "rowVersion", row.Version)
	case roster.Unchanged, roster.Stale:
	}
}

// decode decodes an entry. One that cannot be read names no endpoint to use.
func (w *entryWatch) decode(row platform.Row) (roster.Entry, bool) {
	entry, err := platform.DecodeEntry(row)
	if err == nil {
		delete(w.unreadable, row.Key)
		return entry, true
	}
	if !w.unreadable[row.Key] {
		w.unreadable[row.Key] = true
		w.log.Warn("entry not understood", "key", row.Key, "rowVersion", row.Version, "error", err)
	}
	return roster.Entry{}, false
}
