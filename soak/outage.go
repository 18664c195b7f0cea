package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"filberthold/platform/fake"
)

const (
	// outageHosts is the number of hosts, and outageSlack their retry limit's slack, which
	// counts more than the requests at outageRate.
	outageHosts = 3
	outageSlack = 6
	// outageRate is the number of requests a second before the outage and during it.
	outageRate = 3
	// savingRate and savingTime are those of the first requests, by which each host saves up
	// credit for outageSlack retries.
	savingRate = 120
	savingTime = 2 * time.Second
	// forgettingTime is the time after which these requests are in no window that counts.
	forgettingTime = 2 * retryWindow
	// failingTime is how long the endpoints fail before the hosts are started again.
	failingTime = 6 * time.Second
	// outageStarts is the number of starts of each host, and requestsOfStart that of the
	// requests for each.
	outageStarts    = 7
	requestsOfStart = 2
	// readyInterval is the time between two checks of readiness.
	readyInterval = 30 * time.Millisecond
)

// playOutage checks the retry limit of hosts of its own with few requests, while all
// endpoints fail and the hosts are killed and started again in series. At the rate of the
// other callers, the part of the limit that follows the requests hides the slack.
func (b *testbed) playOutage(ctx context.Context) {
	options := b.options
	options.Hosts, options.Directory, options.Subnet = outageHosts, filepath.Join(options.Directory, "outage"), ""
	// The endpoints are not disturbed, so they need no processes.
	options.EndpointProgram = ""
	if err := os.Mkdir(options.Directory, 0o700); err != nil {
		b.recordViolation("outage: %v", err)
		return
	}
	outage := newTestbed(ctx, options)
	outage.retrySlack = outageSlack
	server := httptest.NewServer(outage.store)
	defer server.Close()
	defer outage.close()
	if err := outage.start(strings.TrimPrefix(server.URL, "http://")); err != nil {
		b.recordViolation("outage: %v", err)
		return
	}
	if !outage.waitUntilServing(ctx) {
		b.recordViolation("outage: the hosts do not serve")
		return
	}
	if err := newCallers(outage).playOutage(); err != nil {
		b.recordViolation("outage: %v", err)
	}
	for _, violation := range outage.report.Violations {
		b.recordViolation("outage: %s", violation)
	}
}

// playOutage sends requests before and during the outage, restarts the hosts and checks the
// attempts and the retries.
func (c *callers) playOutage() error {
	var group sync.WaitGroup
	c.sendEvenly(&group, "saving", savingRate, savingTime)
	c.sendEvenly(&group, "forgetting", outageRate, forgettingTime)
	for _, endpoint := range c.testbed.endpoints {
		endpoint.SetBehaviour(fake.Fail)
	}
	c.sendEvenly(&group, "failing", outageRate, failingTime)
	errs := make([]error, len(c.testbed.hosts))
	for i, host := range c.testbed.hosts {
		group.Go(func() { errs[i] = c.restartInSeries(host) })
	}
	group.Wait()
	c.checkAttempts()
	c.checkRetries()
	return errors.Join(errs...)
}

// sendEvenly sends reads to all hosts in turn, for a time. It uses POST, because net/http
// repeats a GET by itself if its connection breaks.
func (c *callers) sendEvenly(group *sync.WaitGroup, phase string, perSecond int, duration time.Duration) {
	for number := range perSecond * int(duration/time.Second) {
		if c.testbed.isInterrupted() {
			return
		}
		host := c.testbed.hosts[number%len(c.testbed.hosts)]
		group.Go(func() { c.sendRead(host, fmt.Sprintf("%s-%d", phase, number), number) })
		c.testbed.sleep(time.Second / time.Duration(perSecond))
	}
}

// sendRead sends a read and records that it was sent.
func (c *callers) sendRead(host *hostProcess, attempt string, object int) {
	c.mu.Lock()
	c.ended = append(c.ended, endedRequest{attempt: attempt, sentAt: time.Now()})
	c.mu.Unlock()
	send(context.Background(), host, "POST", fmt.Sprint("/read/", object%40), attempt)
}

// restartInSeries kills and starts a host again and again, and sends it a few requests each
// time.
func (c *callers) restartInSeries(host *hostProcess) error {
	for start := 0; start < outageStarts && !c.testbed.isInterrupted(); start++ {
		if err := host.kill(); err != nil {
			return err
		}
		if err := host.start(); err != nil {
			return err
		}
		if !c.testbed.waitUntilReady(host) && !c.testbed.isInterrupted() {
			return fmt.Errorf("%s is not ready %s after its start", host.settings.Name, recoveryTimeout)
		}
		for number := range requestsOfStart {
			c.sendRead(host, fmt.Sprintf("started-%s-%d-%d", host.settings.Name, start, number), number)
		}
	}
	return nil
}

// waitUntilReady waits until a host says that it is ready, without a request to an endpoint.
// It returns false if that takes longer than recoveryTimeout.
func (b *testbed) waitUntilReady(host *hostProcess) bool {
	checker := http.Client{Timeout: time.Second}
	defer checker.CloseIdleConnections()
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && !b.isInterrupted(); b.sleep(readyInterval) {
		response, err := checker.Get(host.settings.ReadyURL())
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
