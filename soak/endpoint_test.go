package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// startProcess starts an endpoint as a process and a caller of it.
func startProcess(t *testing.T) (*endpointProcess, *client) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "filberthold")
	output, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	process := newEndpointProcess(Options{EndpointProgram: program, Log: io.Discard}, fake.NewRecord("i-0"), "127.0.0.1:0")
	assert.NilError(t, process.start())
	t.Cleanup(process.close)
	return process, &client{address: process.address}
}

func callOf(attempt string) call {
	return call{method: "POST", path: "/submit/1", attempt: attempt, body: bodyOf(attempt, minBodyBytes), patience: proxyTimeout}
}

// Guards against a soak whose endpoints lose what the system holds for them while they are
// paused, or whose record ends with their process.
func TestEndpointProcessKeepsRecordAndQueues(t *testing.T) {
	process, caller := startProcess(t)
	assert.Equal(t, caller.send(callOf("a-1")).status, 200)
	assert.NilError(t, process.signal(syscall.SIGSTOP))
	left := callOf("a-2")
	left.patience, left.isLeaving = heldTime, true
	assert.ErrorIs(t, caller.send(left).err, errLeft)
	assert.Equal(t, process.record.Runs("a-2"), 0)
	assert.NilError(t, process.signal(syscall.SIGCONT))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if process.record.Runs("a-2") == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not run")
	}, poll.WithTimeout(proxyTimeout))

	assert.NilError(t, process.kill())
	process.record.Rename("i-0-new")
	assert.NilError(t, process.start())
	assert.Equal(t, caller.send(callOf("a-3")).body, "i-0-new")
	assert.NilError(t, process.kill())
	assert.Equal(t, process.record.Runs("a-1"), 1)
	exchanges := process.record.Exchanges()
	assert.Equal(t, len(exchanges), 3)
	for i, id := range []string{"i-0", "i-0", "i-0-new"} {
		request := callOf(exchanges[i].Attempt)
		assert.Equal(t, exchanges[i].ID, id)
		assert.Equal(t, exchanges[i].Digest, request.digest())
	}
}

// Guards against a pause that begins some time after the soak believes in it, while the
// process still answers.
func TestPausedEndpointAnswersNothing(t *testing.T) {
	process, caller := startProcess(t)
	for number := range 40 {
		assert.Equal(t, caller.send(callOf(fmt.Sprint("a-", number))).status, 200)
		assert.NilError(t, process.signal(syscall.SIGSTOP))
		left := callOf(fmt.Sprint("b-", number))
		left.patience, left.isLeaving = 20*time.Millisecond, true
		assert.ErrorIs(t, caller.send(left).err, errLeft)
		assert.NilError(t, process.signal(syscall.SIGCONT))
	}
}

// Guards against a change of the plan that does not reach the process of an endpoint.
func TestEndpointProcessAppliesPlan(t *testing.T) {
	process, caller := startProcess(t)
	process.record.SetBehaviour(fake.Shed)
	process.sendPlan()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if result := caller.send(callOf("a-1")); result.status == 503 {
			return poll.Success()
		}
		return poll.Continue("the endpoint serves")
	}, poll.WithTimeout(proxyTimeout), poll.WithDelay(time.Millisecond))
}

// Guards against two faults that use the same target.
func TestFaultsExcludeEachOther(t *testing.T) {
	var locks lockSet
	b := &testbed{endpoints: make([]*fake.Endpoint, endpointCount)}
	assert.Assert(t, locks.tryLock(b.lockNames("hold", 1)))
	assert.Assert(t, !locks.tryLock(b.lockNames("hold", 2)))
	assert.Assert(t, !locks.tryLock(b.lockNames("endpointLink", 1)))
	assert.Assert(t, locks.tryLock(b.lockNames("endpointLink", 2)))
	assert.Assert(t, locks.tryLock(b.lockNames("endpointPause", 1)))
	assert.Assert(t, !locks.tryLock(b.lockNames("endpointKill", 1)))
	locks.unlock(b.lockNames("hold", 1))
	assert.Assert(t, locks.tryLock(b.lockNames("hold", 1)))
}

// Guards against times of holds that leave out short or long ones, or exceed the limit.
func TestRandomHoldCoversAllOrders(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var short, long int
	for range 1000 {
		hold := randomHold(random, time.Hour)
		assert.Assert(t, hold >= minHold && hold <= maxHold, hold)
		assert.Assert(t, randomHold(random, time.Second) <= time.Second)
		if hold < 200*time.Millisecond {
			short++
		}
		if hold > 15*time.Second {
			long++
		}
	}
	assert.Assert(t, short > 100 && long > 100, "%d short and %d long ones", short, long)
}
