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
	// releasePrefix starts the keys of the rows that hold the releases of hosts.
	releasePrefix = "releases/"
	// releaseInterval is the time between two readings of the rows, and before a
	// failed write is repeated. Peers bring a release sooner; the rows are for
	// hosts that were not connected then.
	releaseInterval = 10 * time.Second
	// releaseCapacity bounds the decisions whose releases wait to be stored.
	releaseCapacity = 256
)

// releaseStore is the part of the table that holds releases.
type releaseStore interface {
	Get(ctx context.Context, key string) (store.Row, error)
	List(ctx context.Context, prefix string) ([]store.Row, error)
	Commit(ctx context.Context, writes ...store.Write) ([]uint64, error)
}

// releaseRows keeps the releases of this host in its row of the table, and
// reports those in the rows of other hosts.
type releaseRows struct {
	log    *slog.Logger
	host   model.HostName
	store  releaseStore
	report func(context.Context, place.Event) error
	fresh  *ring.Ring[[]share.Release]
	// unstored is used by loopWrite only.
	unstored []share.Release
	// read holds the version of each row that was reported. It is used by
	// loopRead only.
	read map[string]uint64
}

func newReleaseRows(log *slog.Logger, host model.HostName, rows releaseStore,
	report func(context.Context, place.Event) error) *releaseRows {
	return &releaseRows{
		log: log, host: host, store: rows, report: report,
		fresh: ring.New[[]share.Release](releaseCapacity), read: make(map[string]uint64),
	}
}

// meshAndRows carries loans over the mesh, and releases over it and the table.
type meshAndRows struct {
	*peers.Mesh
	rows *releaseRows
}

// AnnounceReleases implements loanCarrier.
func (c meshAndRows) AnnounceReleases(releases []share.Release) {
	c.Mesh.AnnounceReleases(releases)
	if !c.rows.fresh.TryPut(releases) {
		c.rows.log.Error("releases not stored: too many wait", "releases", len(releases))
	}
}

// loopWrite stores releases until ctx ends.
func (r *releaseRows) loopWrite(ctx context.Context) error {
	for {
		var again <-chan time.Time
		if len(r.unstored) > 0 {
			again = time.After(releaseInterval)
		}
		select {
		case fresh := <-r.fresh.Items():
			r.unstored = mergeReleases(r.unstored, fresh)
		case <-again:
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

// write adds the releases to the row. The row may hold releases of an earlier
// process under the name of this host, which stay true.
func (r *releaseRows) write(ctx context.Context) error {
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

// mergeReleases returns the latest release of each slot.
func mergeReleases(old, fresh []share.Release) []share.Release {
	merged := slices.Clone(old)
	for _, release := range fresh {
		index := slices.IndexFunc(merged, func(known share.Release) bool { return known.Slot == release.Slot })
		if index < 0 {
			merged = append(merged, release)
			continue
		}
		merged[index].Revision = max(merged[index].Revision, release.Revision)
	}
	return merged
}

// loopRead reads the rows of other hosts until ctx ends.
func (r *releaseRows) loopRead(ctx context.Context) error {
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

func (r *releaseRows) readRows(ctx context.Context) error {
	asking, cancel := context.WithTimeout(ctx, releaseInterval)
	defer cancel()
	rows, err := r.store.List(asking, releasePrefix)
	if err != nil {
		return fmt.Errorf("list rows of releases: %w", err)
	}
	for _, row := range rows {
		host := model.HostName(row.Key[len(releasePrefix):])
		if host == r.host || r.read[row.Key] == row.Version {
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
		r.read[row.Key] = row.Version
	}
	return nil
}
