// Command standin runs the cases of the review: it starts the store, endpoints and
// clients of a small deployment as stand-ins, and the hosts as processes of the system.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record is the file in which a case writes what was sent, answered and run. It is safe
// for concurrent use.
type record struct {
	mu        sync.Mutex
	file      *os.File
	writer    *bufio.Writer
	startedAt time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("make record: %w", err)
	}
	return &record{file: file, writer: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

// caseFunc runs a case and returns the number of breaks of its rule.
type caseFunc func(d *deployment, r *record, isTroubled bool) (int, error)

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]caseFunc{"long-body": runLongBody, "stop": runStop, "drain": runDrain, "cold": runCold}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitFailed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	d, err := newDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	time.AfterFunc(110*time.Second, func() {
		for _, h := range d.hosts {
			_ = h.command.Process.Kill()
		}
		os.Exit(exitFailed)
	})
	isTroubled := os.Getenv("TROUBLE") != "0"
	breaks, err := cases[os.Args[1]](d, r, isTroubled)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r.add("disruption: %t, breaks of the rule: %d", isTroubled, breaks)
	fmt.Printf("disruption: %t, breaks of the rule: %d\n", isTroubled, breaks)
	if breaks > 0 {
		return exitBroken
	}
	return exitHeld
}
