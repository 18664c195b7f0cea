package soak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"
)

// stopGrace is how long a host may take to stop. A process that takes longer
// by stopSlack breaks a promise.
const (
	stopGrace = 4 * time.Second
	stopSlack = 3 * time.Second
	// startup is how long a process may need until it handles SIGTERM. One that
	// gets the signal earlier is ended by it and has served nobody.
	startup = time.Second
)

// host is a process of the program under test.
type host struct {
	program string
	file    fake.HostSettings
	path    string
	output  io.Writer
	mu      sync.Mutex
	command *exec.Cmd
	// startedAt is when the present process was started.
	startedAt time.Time
	exited    chan struct{}
	// exitErr is set before exited is closed.
	exitErr error
	// disturbedAt is when the process was last killed, paused or continued.
	disturbedAt time.Time
}

func newHost(options Options, file fake.HostSettings) (*host, error) {
	path := filepath.Join(options.Directory, file.Name+".toml")
	if err := os.WriteFile(path, []byte(file.Text()), 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", file.Name, err)
	}
	return &host{program: options.Program, file: file, path: path, output: options.Log}, nil
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	command := exec.Command(h.program, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.path)
	command.Stdout, command.Stderr = h.output, h.output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.file.Name, err)
	}
	exited := make(chan struct{})
	h.command, h.exited, h.startedAt = command, exited, time.Now()
	go func() {
		err := command.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.exitErr = err
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this host started.
func (h *host) signal(sent syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent != syscall.SIGTERM && sent != syscall.SIGHUP {
		h.disturbedAt = time.Now()
	}
	if err := h.command.Process.Signal(sent); err != nil {
		return fmt.Errorf("signal %s: %w", h.file.Name, err)
	}
	return nil
}

func (h *host) kill() error {
	err := h.signal(syscall.SIGKILL)
	<-h.exited
	return err
}

// stop asks the process to stop and returns what was wrong with its end.
func (h *host) stop() error {
	age := time.Since(h.startedAt)
	if err := h.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-h.exited:
		if h.exitErr != nil && (age >= startup || !isTerminated(h.exitErr)) {
			return fmt.Errorf("%s stopped with an error: %w", h.file.Name, h.exitErr)
		}
		return nil
	case <-time.After(stopGrace + stopSlack):
		return fmt.Errorf("%s did not stop in %s", h.file.Name, stopGrace+stopSlack)
	}
}

// isTerminated reports whether a process ended by SIGTERM without handling it.
func isTerminated(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, isWait := exit.Sys().(syscall.WaitStatus)
	return isWait && status.Signal() == syscall.SIGTERM
}

// wasDisturbed reports whether the process was killed or paused since a time.
func (h *host) wasDisturbed(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disturbedAt.After(since)
}
