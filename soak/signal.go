package soak

import (
	"fmt"
	"os"
	"syscall"
)

// signalProcess sends a signal to a child process. A signal is delivered some time after
// the call that sends it, so SIGSTOP is followed by a wait until no thread runs any more.
func signalProcess(process *os.Process, signal syscall.Signal) error {
	if err := process.Signal(signal); err != nil {
		return fmt.Errorf("send %s: %w", signal, err)
	}
	if signal != syscall.SIGSTOP {
		return nil
	}
	if err := waitStopped(process.Pid); err != nil {
		return fmt.Errorf("wait until the process is stopped: %w", err)
	}
	return nil
}
