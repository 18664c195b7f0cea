package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthold/platform"
	"filberthold/roster"

	"gotest.tools/v3/assert"
)

// at returns a version of era 1.
func at(number uint64) platform.Version { return platform.Version{Era: 1, Number: number} }

func row(key string, number uint64) platform.Row {
	return platform.Row{Key: key, Value: []byte(key), Version: at(number)}
}

// Guards against relaying every renewal of an endpoint's entry, which is most of
// what the store sends, and against withholding renewed rows from a host that
// has none yet.
func TestOnlySignificantChangesAreRelayed(t *testing.T) {
	cache := NewCache()
	cache.Put(row("a", 1), true)
	cache.Confirm(at(1), time.Now())
	cache.Put(row("b", 2), true)
	cache.Put(row("a", 3), false)
	cache.Confirm(at(3), time.Now())
	changes, _ := cache.Since(platform.Version{})
	assert.Equal(t, len(changes.Rows), 2)
	changes, _ = cache.Since(at(2))
	assert.Equal(t, len(changes.Rows), 0)
	assert.Equal(t, changes.Version, at(3))
	cache.Put(row("a", 4), true)
	changes, _ = cache.Since(at(3))
	assert.Equal(t, changes.Rows[0].Key, "a")
}

// Guards against an older row, received from another host, that replaces a newer
// one.
func TestOlderRowIsIgnored(t *testing.T) {
	cache := NewCache()
	cache.Put(platform.Row{Key: "a", Version: at(5), IsRemoved: true}, true)
	cache.Put(row("a", 4), true)
	changes, _ := cache.Since(platform.Version{})
	assert.Assert(t, changes.Rows[0].IsRemoved)
}

// Guards against rows that stay in use although they are missing from a complete
// read of the table, and against reporting removed rows again.
func TestMissingReturnsKeysAbsentFromTable(t *testing.T) {
	cache := NewCache()
	cache.Put(row("a", 1), true)
	cache.Put(row("b", 2), true)
	cache.Put(platform.Row{Key: "c", Version: at(3), IsRemoved: true}, true)
	assert.DeepEqual(t, cache.Missing([]platform.Row{row("b", 2)}), []string{"a"})
}

// Guards against an older confirmation, received from another host, that resets
// the version or the age.
func TestVersionNeverDecreases(t *testing.T) {
	cache := NewCache()
	now := time.Now()
	cache.Confirm(at(7), now)
	cache.Confirm(at(5), now.Add(-time.Hour))
	assert.Equal(t, cache.Version(), at(7))
	assert.Assert(t, cache.Age(now) < time.Second)
}

// noRemovals is a host that remembers no removals.
func noRemovals() []roster.Removal { return nil }

// maxHeadBytes is the limit that hosts set for the head of a poll.
const maxHeadBytes = 16 << 10

func startHandler(t *testing.T) (*Cache, *Cache, string) {
	t.Helper()
	operator, endpoints := NewCache(), NewCache()
	server := httptest.NewUnstartedServer(NewHandler(slog.New(slog.DiscardHandler), operator, endpoints, noRemovals, time.Second))
	server.Config.MaxHeaderBytes = maxHeadBytes
	server.Start()
	t.Cleanup(server.Close)
	return operator, endpoints, strings.TrimPrefix(server.URL, "http://")
}

// Guards against a new host that gets no rows, or no version, from its first
// poll.
func TestPollReturnsExistingRowsAtOnce(t *testing.T) {
	operator, endpoints, address := startHandler(t)
	operator.Put(row("config", 4), true)
	operator.Confirm(at(9), time.Now())
	endpoints.Confirm(at(9), time.Now())
	update, err := NewClient(time.Second).Poll(context.Background(), address, platform.Version{}, platform.Version{})
	assert.NilError(t, err)
	assert.Equal(t, string(update.Operator.Rows[0].Value), "config")
	assert.Equal(t, update.Operator.Version, at(9))
}

// Guards against a change that reaches a polling host only with its next poll.
func TestPollReturnsOnChange(t *testing.T) {
	operator, endpoints, address := startHandler(t)
	operator.Confirm(at(1), time.Now())
	time.AfterFunc(20*time.Millisecond, func() { endpoints.Put(row("i-1", 2), true) })
	update, err := NewClient(time.Second).Poll(context.Background(), address, at(1), at(1))
	assert.NilError(t, err)
	assert.Equal(t, len(update.Endpoints.Rows), 1)
}

// Guards against a poll of an unreachable host that returns no error.
func TestPollReportsUnreachableHost(t *testing.T) {
	_, err := NewClient(time.Second).Poll(context.Background(), "127.0.0.1:1", platform.Version{}, platform.Version{})
	assert.Assert(t, err != nil)
}

// FuzzDecodeUpdate guards against a panic while an update is decoded.
func FuzzDecodeUpdate(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte("hello"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		// Any input must return an update or an error without a panic.
		_, _ = DecodeUpdate(content)
	})
}

// Guards against a replica that stays at the versions of an earlier era, or takes a
// late confirmation from that era for one of its own.
func TestVersionOfLaterEraIsLater(t *testing.T) {
	cache := NewCache()
	now := time.Now()
	cache.Put(row("a", 50), true)
	cache.Confirm(at(50), now)
	later := platform.Version{Era: 2, Number: 4}
	cache.Put(platform.Row{Key: "a", IsRemoved: true, Version: later}, true)
	cache.Confirm(later, now)
	cache.Put(row("a", 51), true)
	cache.Confirm(at(51), now.Add(time.Second))
	assert.Equal(t, cache.Version(), later)
	assert.Equal(t, cache.Age(now), time.Duration(0))
	changes, _ := cache.Since(at(50))
	assert.Assert(t, changes.Rows[0].IsRemoved)
}

// Guards against an era that is lost between hosts, in the request or the response.
func TestPollCarriesEra(t *testing.T) {
	operator, endpoints, address := startHandler(t)
	later := platform.Version{Era: 2, Number: 4}
	operator.Put(platform.Row{Key: "config", Version: later}, true)
	operator.Confirm(later, time.Now())
	endpoints.Confirm(later, time.Now())
	client := NewClient(time.Second)
	update, err := client.Poll(context.Background(), address, at(50), at(50))
	assert.NilError(t, err)
	assert.Equal(t, update.Operator.Version, later)
	assert.Equal(t, update.Operator.Rows[0].Version, later)
	update, err = client.Poll(context.Background(), address, update.Operator.Version, update.Endpoints.Version)
	assert.NilError(t, err)
	assert.Equal(t, len(update.Operator.Rows), 0)
}

// Guards against a removal that a follower never gets: the host that it follows began with
// a whole table, read it anew after its history was lost, or dropped removals, and does
// not know what was removed before. A host that started anew hid the removal of an
// endpoint from another one for more than the drain time.
func TestWholeTableForHostsFromBeforeTheHistory(t *testing.T) {
	cache := NewCache()
	cache.Put(row("a", 3), true)
	cache.Confirm(at(10), time.Now())
	for after, isWhole := range map[uint64]bool{9: true, 10: false, 11: false} {
		changes, _ := cache.Since(at(after))
		assert.Equal(t, changes.IsWhole, isWhole, "after %d", after)
	}
	cache.Put(row("b", 12), true)
	cache.Confirm(at(12), time.Now())
	changes, _ := cache.Since(at(10))
	assert.Assert(t, !changes.IsWhole)
	cache.ForgetHistory(at(20))
	cache.Confirm(at(20), time.Now())
	changes, _ = cache.Since(at(12))
	assert.Assert(t, changes.IsWhole)
	for i := range maxCachedRows {
		cache.Put(platform.Row{Key: fmt.Sprint("r", i), Version: at(uint64(21 + i)), IsRemoved: true}, true)
	}
	cache.Confirm(at(9000), time.Now())
	changes, _ = cache.Since(at(30))
	assert.Assert(t, changes.IsWhole)
	changes, _ = cache.Since(at(9000))
	assert.Assert(t, !changes.IsWhole)
}

// Guards against a whole table for each follower after a return of the store, where
// their rows are those of this host, and against missing rows where they are not.
func TestWholeTableOnlyForHostsWithUnknownRows(t *testing.T) {
	cache := NewCache()
	cache.Put(row("a", 40), true)
	cache.Confirm(at(45), time.Now())
	cache.Confirm(platform.Version{Era: 3, Number: 30}, time.Now())
	for _, test := range []struct {
		name    string
		after   platform.Version
		isWhole bool
	}{
		{"new host", platform.Version{}, false},
		{"known version", at(45), false},
		{"version that this host never had", at(46), true},
		{"era that this host never had", platform.Version{Era: 2, Number: 10}, true},
		{"version of this era that this host never had", platform.Version{Era: 3, Number: 29}, true},
		{"first version of this era", platform.Version{Era: 3, Number: 30}, false},
		{"later era", platform.Version{Era: 4, Number: 1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			changes, _ := cache.Since(test.after)
			assert.Equal(t, changes.IsWhole, test.isWhole)
			assert.Equal(t, len(changes.Rows) == 1, test.isWhole || test.after.IsZero())
		})
	}
}

// Guards against a host that never gets the row that the store has in a new era because
// the cache had its value before, and against relaying each renewal in that era.
func TestFirstRenewalOfEraIsRelayedOnce(t *testing.T) {
	cache := NewCache()
	cache.Put(row("a", 50), true)
	cache.Confirm(at(50), time.Now())
	cache.Confirm(platform.Version{Era: 2, Number: 20}, time.Now())
	renew := func(number uint64) {
		version := platform.Version{Era: 2, Number: number}
		cache.Put(platform.Row{Key: "a", Value: []byte("a"), Version: version}, false)
		cache.Confirm(version, time.Now())
	}
	renew(30)
	renew(41)
	renew(44)
	for after, isRelayed := range map[platform.Version]bool{
		at(50): false, {Era: 2, Number: 29}: true, {Era: 2, Number: 30}: false, {Era: 2, Number: 43}: false,
	} {
		changes, _ := cache.Since(after)
		assert.Assert(t, !changes.IsWhole)
		assert.Equal(t, len(changes.Rows) == 1, isRelayed, "after %s", after)
	}
}

// Guards against a renewal that a host awaits and does not get, against one that is sent
// again with each poll, and against names of endpoints that make the poll too long.
func TestWatchedRenewalsAreRelayed(t *testing.T) {
	operator, endpoints, address := startHandler(t)
	operator.Confirm(at(9), time.Now())
	endpoints.Confirm(at(2), time.Now())
	for _, key := range []string{"a", "b"} {
		endpoints.Put(row(key, 3), true)
		endpoints.Put(row(key, 5), false)
	}
	endpoints.Confirm(at(9), time.Now())
	poll := func(after uint64, watched ...string) []platform.Row {
		update, err := NewClient(time.Second).Poll(context.Background(), address, at(9), at(after), watched...)
		assert.NilError(t, err)
		return update.Endpoints.Rows
	}
	rows := poll(4, "a")
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "a")
	assert.Equal(t, len(poll(9, "a")), 0)
	longest := []string{"a"}
	for i := range MaxWatched - 1 {
		longest = append(longest, fmt.Sprint(i)+strings.Repeat("ü", 99))
	}
	assert.Equal(t, len(poll(4, longest...)), 1)
}
