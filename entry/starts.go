package entry

import (
	"context"
	"time"

	"filberthold/model"
	"filberthold/store"
)

const (
	// startPrefix is the key prefix of the rows that record the first start of each
	// host.
	startPrefix = "starts/"
	// startTimeout bounds the write of such a row, which delays the first adoption of
	// a configuration.
	startTimeout = time.Second
)

// recordFirstStart creates the row of a host and reports whether it was absent. It returns
// false if the store does not confirm that: the host may have been started before.
func recordFirstStart(ctx context.Context, rows releaseStore, host model.HostName, incarnation string) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, err := rows.Commit(ctx, store.Write{Key: startPrefix + string(host), Value: []byte(incarnation)})
	return err == nil
}
