package member

import (
	"testing"
	"time"

	"filberthold/platform"

	"gotest.tools/v3/assert"
)

func storeVersion(number uint64) platform.Version { return platform.Version{Era: 1, Number: number} }

func announcedBy(by string, number uint64) Announced {
	return Announced{By: by, Version: storeVersion(number)}
}

// Guards against a host that lacks a version and neither tells it nor for how long, nor by
// whose word, and against more than one report.
func TestLagIsReportedOnceAndItsEnd(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	lag := NewLag(2 * time.Second)
	assert.Equal(t, lag.Observe(storeVersion(5), announcedBy("a", 5), now), nil)
	assert.Equal(t, lag.Behind(now), time.Duration(0))
	heardAt := now.Add(time.Second)
	assert.Equal(t, lag.Observe(storeVersion(5), announcedBy("a", 7), heardAt), nil)
	assert.Equal(t, lag.Observe(storeVersion(6), announcedBy("b", 9), heardAt.Add(time.Second)), nil)
	report := lag.Observe(storeVersion(6), announcedBy("b", 9), heardAt.Add(2*time.Second))
	assert.Equal(t, report, Behind{Missing: announcedBy("a", 7), Own: storeVersion(6), Newest: announcedBy("b", 9), Since: heardAt})
	assert.Equal(t, lag.Observe(storeVersion(6), announcedBy("b", 9), heardAt.Add(3*time.Second)), nil)
	assert.Equal(t, lag.Behind(heardAt.Add(3*time.Second)), 3*time.Second)
	report = lag.Observe(storeVersion(9), announcedBy("b", 9), heardAt.Add(4*time.Second))
	assert.Equal(t, report, CaughtUp{Own: storeVersion(9), Since: heardAt})
	assert.Equal(t, lag.Behind(heardAt.Add(4*time.Second)), time.Duration(0))
	assert.Equal(t, lag.Observe(storeVersion(9), announcedBy("b", 9), heardAt.Add(5*time.Second)), nil)
}

// Guards against a host that is reported behind although it only follows a version which
// rises all the time, each of whose values it has within the bound.
func TestLagOfRisingVersionIsNotReported(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	lag := NewLag(2 * time.Second)
	for number := uint64(10); number < 100; number++ {
		now = now.Add(200 * time.Millisecond)
		assert.Equal(t, lag.Observe(storeVersion(number-4), announcedBy("a", number), now), nil)
		assert.Assert(t, lag.Behind(now) < 2*time.Second, lag.Behind(now))
	}
}

// Guards against a host that is taken for one that is behind by the numbers of an earlier
// era, which the store gives out again.
func TestVersionOfEarlierEraIsNotMissing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	lag := NewLag(2 * time.Second)
	own := platform.Version{Era: 2, Number: 3}
	lag.Observe(own, announcedBy("a", 500), now)
	assert.Equal(t, lag.Observe(own, announcedBy("a", 500), now.Add(time.Minute)), nil)
	lag.Observe(storeVersion(500), Announced{By: "b", Version: own}, now.Add(time.Minute))
	assert.Equal(t, lag.Behind(now.Add(time.Minute+time.Second)), time.Second)
}

// Guards against a lag that ends because the host which announced the version is cut off,
// and against one that never ends because that host is gone for good.
func TestUnconfirmedVersionIsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	lag := NewLag(2 * time.Second)
	lag.Observe(storeVersion(5), announcedBy("a", 7), now)
	_, isBehind := lag.Observe(storeVersion(5), announcedBy("b", 5), now.Add(lagMemory-time.Second)).(Behind)
	assert.Assert(t, isBehind)
	_, isOver := lag.Observe(storeVersion(5), announcedBy("b", 5), now.Add(lagMemory)).(CaughtUp)
	assert.Assert(t, isOver)
	assert.Equal(t, lag.Behind(now.Add(lagMemory)), time.Duration(0))
}

func TestNewestNamesItsHost(t *testing.T) {
	hosts := []Heartbeat{{Host: "a", OperatorVersion: storeVersion(3)}, {Host: "b", OperatorVersion: storeVersion(9)}, {Host: "c"}}
	newest := Newest(hosts, func(host Heartbeat) platform.Version { return host.OperatorVersion })
	assert.Equal(t, newest, announcedBy("b", 9))
	assert.Equal(t, newest.Later(announcedBy("store", 9)), announcedBy("b", 9))
	assert.Equal(t, newest.Later(announcedBy("store", 10)), announcedBy("store", 10))
}

// Guards against announcements to all hosts at each tick: the versions of the tables change
// all the time.
func TestChangedVersionsAreNotAnnouncedAtOnce(t *testing.T) {
	before := Heartbeat{Host: "a", OperatorVersion: storeVersion(3)}
	assert.Assert(t, before.sameState(Heartbeat{Host: "a", OperatorVersion: storeVersion(4), EndpointsVersion: storeVersion(5)}))
}
