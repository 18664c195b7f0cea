package local_test

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"filberthold/config"
	"filberthold/local"
	"filberthold/model"

	"gotest.tools/v3/assert"
)

// loanLog is a log writer. Its channels get an item when a host logs that it grants
// or returns a loan.
type loanLog struct{ granted, returned chan struct{} }

func (w loanLog) Write(line []byte) (int, error) {
	for text, logged := range map[string]chan struct{}{"grant loan": w.granted, "return loan": w.returned} {
		if !bytes.Contains(line, []byte(text)) {
			continue
		}
		select {
		case logged <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Guards against a fault in the messages of a loan between two running hosts. A
// loaded host must get slots of an idle one, and no endpoint may get more requests
// at a time than it has slots.
func TestLoadedHostBorrowsFromIdleHost(t *testing.T) {
	text, err := os.ReadFile("../deployments/guild/deployment.toml")
	assert.NilError(t, err)
	document, err := config.ParseDocument("guild", text)
	assert.NilError(t, err)
	log := loanLog{granted: make(chan struct{}, 1), returned: make(chan struct{}, 1)}
	cluster, err := local.Start(local.Options{
		Document: document, Hosts: 2, Log: log, ServiceTime: map[model.Class]time.Duration{model.Read: 50 * time.Millisecond},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, cluster.Close()) })
	assert.NilError(t, cluster.WaitReady(t.Context()))
	loaded := cluster.Deployment().Hosts()[0]
	// Only a host that received a loan returns it. A grant that arrives too late
	// is ignored, so its loan is never returned and the load starts again.
	for hasReturned := false; !hasReturned; {
		loadUntil("http://"+loaded.CallerAddress()+"/s/specbook/x", log.granted)
		select {
		case <-log.returned:
			hasReturned = true
		case <-time.After(5 * time.Second):
		}
	}
	assert.Equal(t, cluster.Counters().Rejected(), 0)
}

// loadUntil sends reads until a loan is granted, which needs a connection between
// the hosts. A third of its callers find no free slot at the loaded host.
func loadUntil(url string, granted <-chan struct{}) {
	var group sync.WaitGroup
	done := make(chan struct{})
	for range 60 {
		group.Go(func() { sendLoop(url, done) })
	}
	<-granted
	close(done)
	group.Wait()
}

// sendLoop sends reads to a service, one after the other, until done is closed.
func sendLoop(url string, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		if response, err := http.Get(url); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}
