package member

import (
	"time"

	"filberthold/platform"
)

// lagMemory is how long a version counts after it was last announced. Its host may only be
// cut off; if it is gone and the store lost the version, nobody has it any more.
const lagMemory = time.Minute

// Announced is a version that a host or the store has.
type Announced struct {
	// By is the name of the host, or that of the store.
	By      string
	Version platform.Version
}

// Newest returns the newest of the versions that hosts announced, or the zero value.
func Newest(hosts []Heartbeat, versionOf func(Heartbeat) platform.Version) Announced {
	var newest Announced
	for _, host := range hosts {
		newest = newest.Later(Announced{By: string(host.Host), Version: versionOf(host)})
	}
	return newest
}

// Later returns the later one of two versions.
func (a Announced) Later(other Announced) Announced {
	if other.Version.Compare(a.Version) > 0 {
		return other
	}
	return a
}

// Lag tracks how long this host has lacked a version that others have. It is not safe for
// concurrent use.
type Lag struct {
	// bound is how long the host may be behind before that is reported.
	bound time.Duration
	// missing is the first announced version that the host lacks. It is the zero value if
	// the host lacks none.
	missing Announced
	// since is when missing was first announced.
	since time.Time
	// newest is the last of the announced versions, first announced at newestSince and
	// last at newestAt.
	newest      Announced
	newestSince time.Time
	newestAt    time.Time
	// reportedSince is the since of the last report that the host is behind. It is zero
	// after it has caught up.
	reportedSince time.Time
}

// NewLag returns the state of a host that has heard of no version. Its Observe reports a
// host that has been behind for longer than bound.
func NewLag(bound time.Duration) *Lag { return &Lag{bound: bound} }

// LagReport is a change that Lag reports: Behind or CaughtUp.
type LagReport interface{ isLagReport() }

// Behind means that the host has been behind for longer than the bound.
type Behind struct {
	// Missing is the first version that the host lacks, and Own the one that it has.
	Missing Announced
	Own     platform.Version
	// Newest is the newest version that was announced.
	Newest Announced
	Since  time.Time
}

// CaughtUp means that a host which was reported behind has the missing version, or that
// nobody has it any more, and lacks none for longer than the bound.
type CaughtUp struct {
	Own   platform.Version
	Since time.Time
}

func (Behind) isLagReport()   {}
func (CaughtUp) isLagReport() {}

// Observe records the version that this host has and the newest one that is announced, and
// returns what is to be reported, or nil.
func (l *Lag) Observe(own platform.Version, announced Announced, now time.Time) LagReport {
	l.hear(announced, now)
	if !l.isMissing(own) {
		l.missing, l.since = Announced{}, time.Time{}
		// The host has reached the version, and others have gone on meanwhile.
		if l.newest.Version.Compare(own) > 0 {
			l.missing, l.since = l.newest, l.newestSince
		}
	}
	isBehind := l.Behind(now) >= l.bound
	switch {
	case isBehind && l.reportedSince.IsZero():
		l.reportedSince = l.since
		return Behind{Missing: l.missing, Own: own, Newest: l.newest, Since: l.since}
	case !isBehind && !l.reportedSince.IsZero():
		since := l.reportedSince
		l.reportedSince = time.Time{}
		return CaughtUp{Own: own, Since: since}
	}
	return nil
}

// hear records the newest announced version.
func (l *Lag) hear(announced Announced, now time.Time) {
	switch compared := announced.Version.Compare(l.newest.Version); {
	case compared > 0 || now.Sub(l.newestAt) >= lagMemory:
		l.newest, l.newestSince, l.newestAt = announced, now, now
	case compared == 0:
		l.newestAt = now
	}
}

// isMissing reports whether the host still lacks the version that it was found to lack.
func (l *Lag) isMissing(own platform.Version) bool {
	isKnown := !l.missing.Version.IsZero() && l.newest.Version.Compare(l.missing.Version) >= 0
	return isKnown && l.missing.Version.Compare(own) > 0
}

// Behind returns how long the host has been behind, or 0.
func (l *Lag) Behind(now time.Time) time.Duration {
	if l.missing.Version.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}

// IsBehind reports whether a host that has a version by now has been behind for longer than
// a time.
func (l *Lag) IsBehind(own platform.Version, longerThan time.Duration, now time.Time) bool {
	return l.isMissing(own) && l.Behind(now) > longerThan
}
