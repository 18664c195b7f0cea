package soak

import (
	"errors"

	"golang.org/x/sys/unix"
)

// waitStopped waits until a child process is stopped. WNOWAIT leaves its state to be read
// again, by a wait for a process that is stopped already.
func waitStopped(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
