package soak

import (
	"testing"
	"time"

	"filberthold/platform/fake"

	"gotest.tools/v3/assert"
)

// Guards against a soak that does not see an endpoint that joined and gets no requests, or
// expects requests at one that was at fault or has not run for long.
func TestSoakSeesEndpointsWithoutRequests(t *testing.T) {
	from := time.Now()
	at := func(offset time.Duration) time.Time { return from.Add(offset) }
	run := joined{endpoint: 0, id: "i-0", incarnation: 2, at: from}
	for name, test := range map[string]struct {
		run, later  joined
		end         time.Duration
		fault       faultTime
		requests    []fake.Exchange
		isViolation bool
	}{
		"no request":                  {run, joined{}, joinTime, faultTime{}, nil, true},
		"a request":                   {run, joined{}, joinTime, faultTime{}, []fake.Exchange{{ID: "i-0", Incarnation: 2}}, false},
		"request to an earlier run":   {run, joined{}, joinTime, faultTime{}, []fake.Exchange{{ID: "i-0", Incarnation: 1}}, true},
		"request to another id":       {run, joined{}, joinTime, faultTime{}, []fake.Exchange{{ID: "i-1", Incarnation: 2}}, true},
		"short run":                   {run, joined{}, joinTime - 1, faultTime{}, nil, false},
		"next run":                    {run, joined{0, "i-0", 3, at(joinTime - 1)}, joinTime, faultTime{}, nil, false},
		"next run of another":         {run, joined{1, "i-1", 3, at(joinTime - 1)}, joinTime, faultTime{}, nil, true},
		"link at fault":               {run, joined{}, joinTime, faultTime{at(joinTime - 1), at(joinTime)}, nil, false},
		"link at fault later":         {run, joined{}, joinTime, faultTime{at(joinTime), at(joinTime + 1)}, nil, true},
		"endpoint of another service": {joined{0, "t-0", 2, from}, joined{}, joinTime, faultTime{}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &testbed{joins: []joined{test.run, test.later}, report: Report{Checked: make(map[string]int)}}
			for range 2 {
				b.endpoints = append(b.endpoints, fake.NewRecord("i-0"))
				b.endpointProxies = append(b.endpointProxies, &faultProxy{faults: []faultTime{test.fault}})
			}
			if test.later.id == "" {
				b.joins = b.joins[:1]
			}
			for i, exchange := range test.requests {
				b.endpoints[0].Record(fake.Event{Number: i, Exchange: exchange})
			}
			newCallers(b).checkJoined(at(test.end))
			assert.Equal(t, len(b.report.Violations) > 0, test.isViolation, "%q", b.report.Violations)
		})
	}
}
