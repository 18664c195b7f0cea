package soak

import (
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// programVariable names an executable that the tests play instead of the tree's own, to
// find the commit that began or ended a fault.
const programVariable = "FILBERTHOLD_SOAK_PROGRAM"

// buildProgram returns the path of the executable under test.
func buildProgram(t *testing.T) string {
	t.Helper()
	if program := os.Getenv(programVariable); program != "" {
		return program
	}
	return buildTree(t)
}

// buildTree returns the path of an executable of this tree.
func buildTree(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "filberthold")
	output, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// startTestbed starts hosts as processes, with endpoints for a number of requests at once.
func startTestbed(t *testing.T, hosts, endpoints int) *testbed {
	t.Helper()
	return startTestbedWith(t, Options{Program: buildProgram(t), Hosts: hosts}, endpoints)
}

// startTestbedWith does so with options, and changes the testbed before the start. With an
// EndpointProgram, the endpoints are processes too.
func startTestbedWith(t *testing.T, options Options, endpoints int, changes ...func(*testbed)) *testbed {
	t.Helper()
	options.Directory, options.Log = t.TempDir(), io.Discard
	b := newTestbed(t.Context(), options)
	for _, change := range changes {
		change(b)
	}
	server := httptest.NewServer(b.store)
	t.Cleanup(server.Close)
	t.Cleanup(b.close)
	assert.NilError(t, b.start(strings.TrimPrefix(server.URL, "http://")))
	for i := len(b.endpoints); i < endpoints; i++ {
		assert.NilError(t, b.addEndpoint(fmt.Sprint("i-", i)))
	}
	assert.Assert(t, b.waitUntilServing(t.Context()))
	return b
}

// keepFirstSettings makes the settings of all hosts say at each later start that it is the
// first one.
func (b *testbed) keepFirstSettings(t *testing.T) {
	t.Helper()
	for _, host := range b.hosts {
		host.settings.IsFirstStart = true
		assert.NilError(t, os.WriteFile(host.path, []byte(host.settings.Text()), 0o600))
	}
}

// Guards against hosts that together exceed the retry limit because each of them may retry
// again, before it has earned that, whenever it is started.
func TestRetryLimitHoldsWhileHostsRestartInSeries(t *testing.T) {
	const slowRate = 12
	b := startTestbed(t, 10, 16)
	b.keepFirstSettings(t)
	c := newCallers(b)
	var group sync.WaitGroup
	// The hosts accumulate credit. The requests for it are no longer in the window when the
	// endpoints fail.
	c.sendEvenly(&group, "fast", 100, 8*time.Second)
	c.sendEvenly(&group, "slow", slowRate, 2*retryWindow)
	for _, endpoint := range b.endpoints {
		endpoint.SetBehaviour(fake.Fail)
	}
	const failingFor = 18 * time.Second
	group.Go(func() { c.sendEvenly(&group, "failing", slowRate, failingFor) })
	// A host without a part of the slack loses its credit every 10 s and earns that of a
	// retry in 8.3 s of slowRate, so each host can retry once in this time.
	time.Sleep(retryWindow)
	for range 5 {
		for _, host := range b.hosts {
			assert.NilError(t, host.kill())
		}
		for _, host := range b.hosts {
			assert.NilError(t, host.start())
		}
		time.Sleep(1200 * time.Millisecond)
	}
	group.Wait()
	c.checkRetries()
	assert.Equal(t, len(b.report.Violations), 0, "%q", b.report.Violations)
	failing := make(map[string]bool)
	for number := range slowRate * int(failingFor/time.Second) {
		failing[fmt.Sprintf("failing-%d", number)] = true
	}
	retries := len(c.repeats(failing))
	t.Logf("%d retries of failing requests", retries)
	assert.Assert(t, retries >= len(b.hosts)/2, "%d retries by %d hosts", retries, len(b.hosts))
}
