package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"filberthold/model"
	"filberthold/peers"
	"filberthold/place"
	"filberthold/ring"
	"filberthold/share"
	"filberthold/store"

	"github.com/fxamacker/cbor/v2"
)

const (
	// releasePrefix is the key prefix of the rows that hold releases, one row for
	// each host.
	releasePrefix = "releases/"
	// releaseInterval is the time between two reads of the rows, and the wait
	// before a failed write is repeated. Peers receive a release sooner from the
	// mesh; the rows are for hosts that were not connected at that time.
	releaseInterval = 10 * time.Second
	// releaseCapacity bounds the Announce decisions whose releases wait to be
	// stored.
	releaseCapacity = 256
)

// releaseStore is the part of the platform's table that releaseSync uses.
type releaseStore interface {
	Get(ctx context.Context, key string) (store.Row, error)
	List(ctx context.Context, prefix string) ([]store.Row, error)
	Commit(ctx context.Context, writes ...store.Write) ([]uint64, error)
}

// releaseSync stores the slot releases of this host in its row of the table. It
// reports the releases in the rows of other hosts to placement.
type releaseSync struct {
	log     *slog.Logger
	host    model.HostName
	store   releaseStore
	report  func(context.Context, place.Event) error
	pending *ring.Ring[[]share.Release]
	// unstored holds the releases that are not yet in the row. Only writeLoop uses
	// it.
	unstored []share.Release
	// reportedVersions holds the version of each row whose releases were
	// reported, by key. Only readLoop uses it.
	reportedVersions map[string]uint64
}

func newReleaseSync(log *slog.Logger, host model.HostName, rows releaseStore,
	report func(context.Context, place.Event) error) *releaseSync {
	return &releaseSync{
		log: log, host: host, store: rows, report: report,
		pending: ring.New[[]share.Release](releaseCapacity), reportedVersions: make(map[string]uint64),
	}
}

// meshAndTable sends loans over the mesh, and releases over the mesh and the
// table.
type meshAndTable struct {
	*peers.Mesh
	table *releaseSync
}

// AnnounceReleases implements peerSender.
func (m meshAndTable) AnnounceReleases(releases []share.Release) {
	m.Mesh.AnnounceReleases(releases)
	if !m.table.pending.TryPut(releases) {
		m.table.log.Error("releases not stored: too many wait", "releases", len(releases))
	}
}

// writeLoop stores releases until ctx ends.
func (r *releaseSync) writeLoop(ctx context.Context) error {
	for {
		var retry <-chan time.Time
		if len(r.unstored) > 0 {
			retry = time.After(releaseInterval)
		}
		select {
		case added := <-r.pending.Items():
			r.unstored = mergeReleases(r.unstored, added)
		case <-retry:
		case <-ctx.Done():
			return fmt.Errorf("wait for releases: %w", ctx.Err())
		}
		if err := r.write(ctx); err != nil {
			r.log.Warn("releases not stored", "error", err)
			continue
		}
		r.unstored = nil
	}
}

// write adds the releases to this host's row. The row may hold releases of an
// earlier incarnation of this host, which are still valid.
func (r *releaseSync) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseInterval)
	defer cancel()
	row, err := r.store.Get(ctx, releasePrefix+string(r.host))
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return fmt.Errorf("read row of releases: %w", err)
	}
	var stored []share.Release
	if row.Version > 0 {
		if err := cbor.Unmarshal(row.Value, &stored); err != nil {
			return fmt.Errorf("decode row of releases: %w", err)
		}
	}
	value, err := cbor.Marshal(mergeReleases(stored, r.unstored))
	if err != nil {
		return fmt.Errorf("encode row of releases: %w", err)
	}
	write := store.Write{Key: releasePrefix + string(r.host), IfVersion: row.Version, Value: value}
	if _, err := r.store.Commit(ctx, write); err != nil {
		return fmt.Errorf("write row of releases: %w", err)
	}
	return nil
}

// mergeReleases returns one release for each slot, with the highest revision.
func mergeReleases(existing, added []share.Release) []share.Release {
	merged := slices.Clone(existing)
	for _, release := range added {
		index := slices.IndexFunc(merged, func(other share.Release) bool { return other.Slot == release.Slot })
		if index < 0 {
			merged = append(merged, release)
			continue
		}
		merged[index].Revision = max(merged[index].Revision, release.Revision)
	}
	return merged
}

// readLoop reads the rows of other hosts every releaseInterval until ctx ends.
func (r *releaseSync) readLoop(ctx context.Context) error {
	for {
		if err := r.readRows(ctx); err != nil {
			r.log.Warn("releases not read", "error", err)
		}
		select {
		case <-time.After(releaseInterval):
		case <-ctx.Done():
			return fmt.Errorf("read releases: %w", ctx.Err())
		}
	}
}

func (r *releaseSync) readRows(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, releaseInterval)
	defer cancel()
	rows, err := r.store.List(listCtx, releasePrefix)
	if err != nil {
		return fmt.Errorf("list rows of releases: %w", err)
	}
	for _, row := range rows {
		host := model.HostName(row.Key[len(releasePrefix):])
		if host == r.host || r.reportedVersions[row.Key] == row.Version {
			continue
		}
		var releases []share.Release
		if err := cbor.Unmarshal(row.Value, &releases); err != nil {
			return fmt.Errorf("decode row %q: %w", row.Key, err)
		}
		for _, release := range releases {
			if release.Host != host {
				return fmt.Errorf("row %q has a release of host %q", row.Key, release.Host)
			}
			if err := r.report(ctx, place.ReleaseHeard{Release: release}); err != nil {
				return fmt.Errorf("report release: %w", err)
			}
		}
		r.reportedVersions[row.Key] = row.Version
	}
	return nil
}
