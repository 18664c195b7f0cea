//go:build !linux

package node

import (
	"time"

	"filberthold/orgs"
)

// processStart is the start of the clock of bootTime.
var processStart = time.Now()

// bootTime returns the time since the start of the process. On some systems it lacks the
// time during which the machine was suspended; hosts run on Linux.
func bootTime() orgs.Instant { return orgs.Instant(time.Since(processStart)) }
