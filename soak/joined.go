package soak

import "time"

const (
	// joinTime is the time after which an endpoint that joined must have got a request: hosts
	// learn of it, and then the others of its service get requests for calmTime.
	joinTime = applyTime + 2*time.Second + calmTime
	calmTime = 4 * time.Second
)

// joined is a run of an endpoint.
type joined struct {
	endpoint    int
	id          string
	incarnation int64
	// at is when the store had its first entry.
	at time.Time
}

// recordJoin records the entry of an endpoint, if it is the first one of its run.
func (b *testbed) recordJoin(index int) {
	plan := b.endpoints[index].Plan()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, earlier := range b.joins {
		if earlier.endpoint == index && earlier.incarnation == plan.Incarnation {
			return
		}
	}
	b.joins = append(b.joins, joined{index, plan.ID, plan.Incarnation, time.Now()})
}

// waitForJoins waits until joinTime after the last endpoint joined.
func (b *testbed) waitForJoins() {
	b.mu.Lock()
	last := b.joins[len(b.joins)-1].at
	b.mu.Unlock()
	b.sleep(time.Until(last.Add(joinTime)))
}

// checkJoined checks that each endpoint which ran for joinTime without a fault of its link or
// its process got a request.
func (c *callers) checkJoined(end time.Time) {
	for i, run := range c.testbed.joins {
		until := end
		for _, later := range c.testbed.joins[i+1:] {
			if later.endpoint == run.endpoint && later.at.Before(until) {
				until = later.at
			}
		}
		if serviceOf(run.id) != serviceOf(mainPrefix) || c.testbed.isJoinExcused(run, until) {
			continue
		}
		c.testbed.count(c.testbed.report.Checked, "endpoints that joined")
		if c.testbed.requestsOf(run) == 0 {
			c.testbed.recordViolation("%s joined at %s and got no request until %s", run.id, run.at.Format(logTime), until.Format(logTime))
		}
	}
}

// isJoinExcused reports whether an endpoint was not in a state to get requests for joinTime.
func (b *testbed) isJoinExcused(run joined, until time.Time) bool {
	return until.Before(run.at.Add(joinTime)) || b.endpointProxies[run.endpoint].hadFault(run.at, run.at.Add(joinTime))
}

// requestsOf counts the requests that arrived at an endpoint in a run.
func (b *testbed) requestsOf(run joined) int {
	count := 0
	for _, exchange := range b.endpoints[run.endpoint].Exchanges() {
		if exchange.ID == run.id && exchange.Incarnation == run.incarnation {
			count++
		}
	}
	return count
}
