package limits

import (
	"runtime/debug"
	"syscall"
)

// maxFields bounds the fields of a head. Ordinary requests have fewer than 40.
const maxFields = 256

const (
	// These divide the descriptors of a process. Requests at other listeners than that for
	// callers need none of their own. The rest is left for the store, other hosts, listeners
	// and files.
	connectionsPercent = 60
	requestsPercent    = 20
	controlPercent     = 12
	idlePercent        = 12
	// minDescriptors keeps a process usable whose settings name very few.
	minDescriptors = 100
)

// Shares are the numbers of connections and requests that a number of descriptors allows.
type Shares struct {
	// Connections bounds the connections of clients at all listeners.
	Connections int
	// Requests bounds the requests of callers that are handled at once: each may need a
	// connection to an endpoint. ControlRequests bounds those at each other listener.
	Requests        int
	ControlRequests int
	// IdleUpstream bounds the idle connections to endpoints.
	IdleUpstream int
}

// Descriptors divides the descriptors of the process: at most the given number, or, if it is
// 0, those that the system allows.
func Descriptors(most int) Shares {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur <= 1<<30 {
		allowed := int(limit.Cur)
		if most <= 0 || allowed < most {
			most = allowed
		}
	}
	return divide(most)
}

// divide divides a number of descriptors. If it is 0, nothing is bounded.
func divide(descriptors int) Shares {
	if descriptors <= 0 {
		return Shares{}
	}
	descriptors = max(descriptors, minDescriptors)
	return Shares{
		Connections: descriptors * connectionsPercent / 100,
		Requests:    descriptors * requestsPercent / 100, ControlRequests: descriptors * controlPercent / 100,
		IdleUpstream: descriptors * idlePercent / 100,
	}
}

// HostMemory returns the memory that a process without a limit in its settings may use, in
// bytes: the limit of the runtime (GOMEMLIMIT), or the memory of the machine if that is less.
func HostMemory() int64 {
	memory := debug.SetMemoryLimit(-1)
	if system := systemBytes(); system > 0 {
		memory = min(memory, system)
	}
	return memory
}
