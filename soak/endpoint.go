package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"filberthold/platform/fake"
)

// EndpointCommand is the command of the program that runs an endpoint as a process.
const EndpointCommand = "soak-endpoint"

// endpointStarted is the first line that the process of an endpoint writes. Events follow.
type endpointStarted struct {
	Address string `json:"address"`
}

// RunEndpoint runs an endpoint on an address. It reads plans, one a line, and ends only at
// the end of the input: with the soak that started it, and not by a signal to all processes
// of a terminal. It writes the address on which it listens and then a line for each event.
func RunEndpoint(address string, in io.Reader, out io.Writer) error {
	plans := json.NewDecoder(in)
	var plan fake.Plan
	if err := plans.Decode(&plan); err != nil {
		return fmt.Errorf("read plan: %w", err)
	}
	endpoint, err := fake.StartEndpoint(plan.ID, address)
	if err != nil {
		return fmt.Errorf("run endpoint: %w", err)
	}
	endpoint.Apply(plan)
	var mu sync.Mutex
	lines := json.NewEncoder(out)
	if err := lines.Encode(endpointStarted{endpoint.Address()}); err != nil {
		return fmt.Errorf("write address: %w", err)
	}
	endpoint.Observe(func(event fake.Event) {
		mu.Lock()
		defer mu.Unlock()
		// Without its reader, the record is lost, and the end of the input ends the process.
		_ = lines.Encode(event)
	})
	go endpoint.Run()
	for {
		if err := plans.Decode(&plan); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("read plan: %w", err)
		}
		endpoint.Apply(plan)
	}
}

// endpointProcess runs an endpoint as a process, which can be paused, killed and started
// again. Its record stays here.
type endpointProcess struct {
	program string
	output  io.Writer
	record  *fake.Endpoint
	mu      sync.Mutex
	// address is where the next process listens.
	address string
	command *exec.Cmd
	plans   io.WriteCloser
	// ended is closed when the current process has ended and its events are recorded.
	ended chan struct{}
	// endErr tells how the last process ended.
	endErr error
	// interruptions holds the signals to the processes.
	interruptions []interruption
}

func newEndpointProcess(options Options, record *fake.Endpoint, address string) *endpointProcess {
	return &endpointProcess{program: options.EndpointProgram, output: options.Log, record: record, address: address}
}

// start starts a process with the plan of the record. The next one listens on the same
// address.
func (p *endpointProcess) start() error {
	command := exec.Command(p.program, EndpointCommand, "--address", p.address)
	command.Stderr = p.output
	command.SysProcAttr = ownGroup()
	plans, err := command.StdinPipe()
	if err != nil {
		return fmt.Errorf("start endpoint: %w", err)
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("start endpoint: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start endpoint: %w", err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.plans, p.ended = command, plans, ended
	p.mu.Unlock()
	p.sendPlan()
	lines := json.NewDecoder(bufio.NewReader(out))
	var started endpointStarted
	if err := lines.Decode(&started); err != nil {
		close(ended)
		return fmt.Errorf("start endpoint on %s: %w", p.address, errors.Join(err, command.Wait()))
	}
	p.address = started.Address
	p.record.SetAddress(started.Address)
	go func() {
		defer close(ended)
		readErr := p.readEvents(lines)
		waitErr := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.endErr = errors.Join(readErr, waitErr)
	}()
	return nil
}

// readEvents records events until the process ends. A line that the end of the process cut
// off is of a request that had no effect yet.
func (p *endpointProcess) readEvents(lines *json.Decoder) error {
	for {
		var event fake.Event
		if err := lines.Decode(&event); err != nil {
			return fmt.Errorf("read event: %w", err)
		}
		p.record.Record(event)
	}
}

// sendPlan sends the plan of the record to the current process. A process that is paused
// applies it when it continues; one that was killed is given the plan of the record when it
// is started again.
func (p *endpointProcess) sendPlan() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(p.plans).Encode(p.record.Plan())
}

func (p *endpointProcess) signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interruptions = append(p.interruptions, interruption{at: time.Now(), signal: signal})
	if err := signalProcess(p.command.Process, signal); err != nil {
		return fmt.Errorf("signal endpoint on %s: %w", p.address, errors.Join(err, p.endErr))
	}
	return nil
}

// kill ends the current process and waits until its events are recorded.
func (p *endpointProcess) kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.ended
	return err
}

// close ends the process, if there is one.
func (p *endpointProcess) close() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		_ = p.kill()
	}
}
