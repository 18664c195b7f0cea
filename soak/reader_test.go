package soak

import (
	"syscall"
	"testing"
	"time"

	"filberthold/platform"
	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see requests at endpoints that have left, or blames
// hosts for requests that were in time, were held up or came from a host out of touch.
func TestSoakJudgesRequestsToEndpointsThatLeft(t *testing.T) {
	leftAt := time.Now()
	at := func(offset time.Duration) time.Time { return leftAt.Add(offset) }
	late := at(4 * time.Second)
	for name, test := range map[string]struct {
		arrivedAt            time.Time
		id                   string
		interruptions        []interruption
		storeFault, linkHeld faultTime
		isViolation          bool
	}{
		"late":                      {arrivedAt: late, isViolation: true},
		"at the bound":              {arrivedAt: at(drainTime)},
		"beyond the bound":          {arrivedAt: at(drainTime + 1), isViolation: true},
		"after its return":          {arrivedAt: at(5 * time.Second)},
		"under another id":          {arrivedAt: late, id: "i-0-new"},
		"from a host that started":  {arrivedAt: late, interruptions: []interruption{{at(time.Second + 1), 0}}},
		"that started long before":  {arrivedAt: late, interruptions: []interruption{{at(time.Second), 0}}, isViolation: true},
		"that was paused":           {arrivedAt: late, interruptions: []interruption{{at(3 * time.Second), syscall.SIGCONT}}},
		"that is stopping":          {arrivedAt: late, interruptions: []interruption{{at(3 * time.Second), syscall.SIGTERM}}},
		"that read its settings":    {arrivedAt: late, interruptions: []interruption{{at(3 * time.Second), syscall.SIGHUP}}, isViolation: true},
		"without the store":         {arrivedAt: late, storeFault: faultTime{at(2 * time.Second), at(3 * time.Second)}},
		"without it as it left":     {arrivedAt: late, storeFault: faultTime{at(-4 * time.Second), at(-stableWindow + 1)}},
		"with the store as it left": {arrivedAt: late, storeFault: faultTime{at(-4 * time.Second), at(-stableWindow)}, isViolation: true},
		"held by its link":          {arrivedAt: late, linkHeld: faultTime{at(0), at(time.Second + 1)}},
		"with a link that held":     {arrivedAt: late, linkHeld: faultTime{at(0), at(time.Second)}, isViolation: true},
	} {
		t.Run(name, func(t *testing.T) {
			host := &hostProcess{interruptions: test.interruptions, storeProxy: &faultProxy{faults: []faultTime{test.storeFault}}}
			endpoint := fake.NewRecord("i-0")
			id := "i-0"
			if test.id != "" {
				id = test.id
			}
			endpoint.Record(fake.Event{Number: 1, Exchange: fake.Exchange{ID: id, Attempt: "a-1", ArrivedAt: test.arrivedAt}})
			b := &testbed{
				report: Report{Checked: make(map[string]int)}, endpoints: []*fake.Endpoint{endpoint},
				endpointProxies: []*faultProxy{{faults: []faultTime{test.linkHeld}}},
				departures:      []departure{{endpoint: 0, id: "i-0", at: leftAt, end: at(5 * time.Second)}},
			}
			c := newCallers(b)
			c.ended = []endedRequest{{attempt: "a-1", host: host}}
			c.checkDepartures()
			assert.Equal(t, len(b.report.Violations) > 0, test.isViolation, "%q", b.report.Violations)
		})
	}
}

// Guards against a fault of the store's reader that is injected into another host.
func TestFaultAimsAtReader(t *testing.T) {
	b := startTestbed(t, 2, 2)
	for target := range 4 {
		aimed := b.aimAtReader(target)
		assert.Equal(t, b.hosts[aimed%len(b.hosts)].settings.IP, b.store.LastReader(platform.EndpointTable))
		assert.Assert(t, aimed >= target && aimed < target+len(b.hosts))
	}
}
