package node

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"filberthold/platform"
	"filberthold/proxy"

	"gotest.tools/v3/assert"
)

const noRetriesLine = "host sends no retries"

// Guards against a host that is started several times in a short time and does not know that:
// each run would send retries beside those of the runs before, which may still arrive.
func TestHostLearnsOfItsEarlierRuns(t *testing.T) {
	const number = 83
	c := startCluster(t)
	var output syncBuffer
	c.output = &output
	for start, line := range []int{0, 0, 1, 2} {
		host := c.run(number)
		c.waitFor("the row of this run is written", func() bool {
			row := c.hostRow("h83")
			return row.Incarnation == host.node.incarnation && row.IsFirstRun == (start == 0)
		})
		assert.Equal(t, host.node.core.MaySendRetries(time.Now()), start < 2)
		host.stop()
		assert.NilError(t, <-host.done)
		host.done <- nil
		assert.Equal(t, strings.Count(output.String(), noRetriesLine), line, output.String())
	}
}

// Guards against a host that takes a row which it cannot decode for one of long ago.
func TestHostWithUnknownEarlierRunSendsNoRetries(t *testing.T) {
	for i, value := range []string{"no row", "{}", `{"incarnation":-1}`, `{"incarnation":"1"}`} {
		t.Run(value, func(t *testing.T) {
			c := startCluster(t)
			var output syncBuffer
			c.output = &output
			c.store.Put(platform.HostTable, fmt.Sprint("h", 85+i), value)
			host := c.run(85 + i)
			c.waitFor("the host sends no retries", func() bool { return strings.Contains(output.String(), noRetriesLine) })
			assert.Assert(t, c.hostRow(string(host.node.settings.Host)).Incarnation == host.node.incarnation)
		})
	}
}

// hostRow returns a host's row in the store, or an empty one.
func (c *cluster) hostRow(name string) hostRow {
	c.t.Helper()
	var row hostRow
	content := c.store.Value(platform.HostTable, name)
	if len(content) > 0 {
		assert.NilError(c.t, json.Unmarshal(content, &row))
	}
	return row
}

// Guards against a host that takes the row which it has created for that of an earlier run,
// because the response to its creation was lost.
func TestHostKnowsItsOwnRow(t *testing.T) {
	c := startCluster(t)
	c.start(84)
	n := c.hosts[0].node
	c.waitFor("the row is written", func() bool { return c.hostRow("h84").Incarnation == n.incarnation })
	own := new(registration)
	n.core.SetEarlierRun(proxy.EarlierRun{StartedAt: time.Now()})
	assert.NilError(t, n.writeRow(t.Context(), own))
	assert.Assert(t, n.core.MaySendRetries(time.Now()))
	assert.Assert(t, own.isFirstRun)
	assert.Assert(t, c.hostRow("h84").IsFirstRun)
}
