package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// stopGrace is how long a host may take to stop. A process that takes more than
// stopMargin longer violates a guarantee.
const (
	stopGrace  = 4 * time.Second
	stopMargin = 3 * time.Second
	// startupTime is how long a process may take until it handles SIGTERM. The
	// signal terminates a process that gets it earlier, which has not served any
	// request.
	startupTime = time.Second
)

// hostProcess runs one host as a process of the program under test. It can be
// started again after its end.
type hostProcess struct {
	program  string
	settings fake.HostSettings
	path     string
	output   io.Writer
	mu       sync.Mutex
	command  *exec.Cmd
	// startedAt is when the current process was started.
	startedAt time.Time
	exited    chan struct{}
	// exitErr is set before exited is closed.
	exitErr error
	// disturbedAt is when the process was last killed, paused or continued.
	disturbedAt time.Time
	// storeProxy forwards the connections of the host to the store.
	storeProxy *faultProxy
	// interruptions holds the starts of processes and the signals to them.
	interruptions []interruption
}

// interruption is the start of a process, or a signal to it.
type interruption struct {
	at time.Time
	// signal is 0 for a start.
	signal syscall.Signal
}

// isDisturbance reports whether a process cannot prepare for it.
func (i interruption) isDisturbance() bool {
	return i.signal != syscall.SIGTERM && i.signal != syscall.SIGHUP
}

// isPause reports whether a pause begins or ends.
func (i interruption) isPause() bool {
	return i.signal == syscall.SIGSTOP || i.signal == syscall.SIGCONT
}

func newHostProcess(options Options, settings fake.HostSettings) (*hostProcess, error) {
	path := filepath.Join(options.Directory, settings.Name+".toml")
	if err := os.WriteFile(path, []byte(settings.Text()), 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", settings.Name, err)
	}
	return &hostProcess{program: options.Program, settings: settings, path: path, output: options.Log}, nil
}

// ownGroup lets a process lead a process group of its own. The system sends SIGHUP to all
// processes of a group that has a paused one and loses its last parent outside, which may
// be the shell of the soak.
func ownGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

func (h *hostProcess) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	command := exec.Command(h.program, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.path)
	command.Stdout, command.Stderr = h.output, h.output
	command.SysProcAttr = ownGroup()
	// The host inherits that SIGHUP is ignored until it handles the signal, which would end
	// it in the first milliseconds.
	signal.Ignore(syscall.SIGHUP)
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.settings.Name, err)
	}
	exited := make(chan struct{})
	h.command, h.exited, h.startedAt = command, exited, time.Now()
	h.interruptions = append(h.interruptions, interruption{at: h.startedAt})
	go func() {
		err := command.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.exitErr = err
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process.
func (h *hostProcess) signal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := interruption{at: time.Now(), signal: signal}
	if next.isDisturbance() {
		h.disturbedAt = next.at
	}
	h.interruptions = append(h.interruptions, next)
	if err := signalProcess(h.command.Process, signal); err != nil {
		return fmt.Errorf("signal %s: %w", h.settings.Name, err)
	}
	return nil
}

func (h *hostProcess) kill() error {
	err := h.signal(syscall.SIGKILL)
	<-h.exited
	return err
}

// stop sends SIGTERM and waits for the end of the process. It returns an error
// if the process fails or does not end in time.
func (h *hostProcess) stop() error {
	age := time.Since(h.startedAt)
	if err := h.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-h.exited:
		if h.exitErr != nil && (age >= startupTime || !isTerminated(h.exitErr)) {
			return fmt.Errorf("%s stopped with an error: %w", h.settings.Name, h.exitErr)
		}
		return nil
	case <-time.After(stopGrace + stopMargin):
		return fmt.Errorf("%s did not stop in %s", h.settings.Name, stopGrace+stopMargin)
	}
}

// isTerminated reports whether SIGTERM terminated a process that did not handle
// it.
func isTerminated(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, isWait := exit.Sys().(syscall.WaitStatus)
	return isWait && status.Signal() == syscall.SIGTERM
}

// wasDisturbed reports whether the process was killed, paused or continued after
// a time.
func (h *hostProcess) wasDisturbed(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbedAt.After(since)
}
