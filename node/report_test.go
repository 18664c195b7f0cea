package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/model"
	"filberthold/platform"
	"filberthold/proxy"

	"gotest.tools/v3/assert"
)

// Guards against a host that may retry before it has earned it, or whose part of the retry
// limit changes, without a line and a metric that say so.
func TestHostReportsItsPartOfRetryLimit(t *testing.T) {
	c := startCluster(t)
	var output syncBuffer
	c.output = &output
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(output.String())
		}
	})
	c.start(141, 142)
	for _, host := range c.hosts {
		c.waitFor("both hosts count two", func() bool {
			return strings.Contains(lastLimitChange(output.String(), host), `"hosts":2,`) &&
				strings.Contains(lastLimitChange(output.String(), host), `"burst":0,`)
		})
	}
	lines := output.String()
	assert.Equal(t, strings.Count(lines, `"retryRatio":0.2,"retrySlack":60}`), 2, lines)
	for _, host := range c.hosts {
		// A host has no part before the store has named the hosts.
		assert.Assert(t, strings.Contains(limitChanges(lines, host)[0], `"hostsBefore":0,`), lines)
		assert.Assert(t, strings.Contains(limitChanges(lines, host)[0], `"burstBefore":0,`), lines)
	}
	content := c.metrics(141)
	assert.Assert(t, strings.Contains(content, "filberthold_retry_hosts 2\n"), content)
	assert.Assert(t, strings.Contains(content, `filberthold_retries_total{decision="chosen",service="s"} 0`), content)
}

// Guards against a host that divides the slack of the retry limit by the hosts that are
// alive only: others that the store names may be cut off from it.
func TestHostCountsNamedHostsInRetryLimit(t *testing.T) {
	c := startCluster(t)
	for _, number := range []int{146, 147, 148} {
		value, err := json.Marshal(hostRow{IP: netip.MustParseAddr(hostIP(t, number)), Incarnation: 1})
		assert.NilError(t, err)
		c.store.Put(platform.HostTable, fmt.Sprintf("h%d", number), string(value))
	}
	c.start(145)
	c.waitFor("the host counts itself and three others", func() bool {
		return strings.Contains(c.metrics(145), "filberthold_retry_hosts 4\n")
	})
}

// metrics returns the metrics of the host with a number.
func (c *cluster) metrics(number int) string {
	response, err := http.Get("http://" + hostIP(c.t, number) + ":9464/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// limitChanges returns the lines in which a host reports changes of the retry limit.
func limitChanges(output string, host *runningHost) []string {
	var changes []string
	for line := range strings.Lines(output) {
		isOfHost := strings.Contains(line, fmt.Sprintf(`"host":%q,`, host.node.settings.Host))
		if isOfHost && strings.Contains(line, `"msg":"retry limit changed"`) {
			changes = append(changes, line)
		}
	}
	return changes
}

func lastLimitChange(output string, host *runningHost) string {
	changes := limitChanges(output, host)
	if len(changes) == 0 {
		return ""
	}
	return changes[len(changes)-1]
}

// slowFirstLine is a handler of log lines that handles the first one after the second one,
// if that comes within 100 ms.
type slowFirstLine struct {
	slog.Handler
	// started is closed when the first line begins, second when the second one does.
	started, second chan struct{}
	isStarted       atomic.Bool
}

func (h *slowFirstLine) Handle(ctx context.Context, record slog.Record) error {
	if h.isStarted.CompareAndSwap(false, true) {
		close(h.started)
		select {
		case <-h.second:
		case <-time.After(100 * time.Millisecond):
		}
		return h.Handler.Handle(ctx, record)
	}
	defer close(h.second)
	return h.Handler.Handle(ctx, record)
}

// Guards against a last line that does not tell the part of the retry limit that the host
// has, because two changes are logged in another order than they are applied.
func TestLinesOfRetryLimitAreInOrder(t *testing.T) {
	node := New(platform.Settings{Host: "h1", Region: "north", RetryRatio: 0.2, RetrySlack: 60}, io.Discard, nil)
	var output syncBuffer
	handler := &slowFirstLine{Handler: slog.NewJSONHandler(&output, nil), started: make(chan struct{}), second: make(chan struct{})}
	node.log = slog.New(handler)
	setHosts := func(hosts int) {
		node.changeRetryLimit(func() proxy.RetryLimitChange {
			return node.core.SetHosts(map[model.RegionName][]model.HostName{"north": make([]model.HostName, hosts)})
		})
	}
	var group sync.WaitGroup
	group.Go(func() { setHosts(1) })
	<-handler.started
	group.Go(func() { setHosts(2) })
	group.Wait()
	lines := slices.Collect(strings.Lines(output.String()))
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[1], `"hosts":2,`), output.String())
}
