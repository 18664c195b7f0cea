package node

import (
	"filberthold/orgs"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was started, with the time during which it
// was suspended: Go's monotonic clock lacks that. If the clock cannot be read, no lease is
// valid.
func bootTime() orgs.Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return noInstant
	}
	return orgs.Instant(now.Nano())
}
