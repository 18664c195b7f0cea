package replay_test

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"filberthold/config"
	"filberthold/place"
	"filberthold/replay"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const traceFile = "testdata/session.trace"

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// unchanged is a change function that records the actual decisions.
func unchanged(_ int, decisions []place.Decision) []place.Decision { return decisions }

// recordSession applies a session to a core and returns its trace. For each event,
// change gets its number and its decisions, and returns the decisions to record. The
// session has one request for each way to end.
func recordSession(t *testing.T, change func(int, []place.Decision) []place.Decision) []byte {
	t.Helper()
	text, err := os.ReadFile("../deployments/hlukodenik/deployment.toml")
	assert.NilError(t, err)
	deployment, err := config.ParseDeployment("deployment.toml", text, 7)
	assert.NilError(t, err)
	trace := &bytes.Buffer{}
	recorder, err := replay.NewRecorder(trace, "plzen-a-1", config.Steered)
	assert.NilError(t, err)
	core := place.New("plzen-a-1")
	// The trace must not depend on the location of the times.
	now := noon.In(time.FixedZone("local", 3600))
	// sent maps a request to its latest attempt.
	sent := make(map[place.RequestID]place.AttemptID)
	events := 0
	apply := func(event place.Event) {
		events++
		now = now.Add(time.Millisecond)
		decisions := core.Apply(event, now)
		for _, decision := range decisions {
			if send, isSend := decision.(place.Send); isSend {
				sent[send.Request] = send.Attempt
			}
		}
		recorder.Record(event, change(events, decisions), now)
	}
	arrive := func(id place.RequestID) {
		apply(place.Arrived{Request: place.Request{ID: id, Service: "filing-desk", Customer: "resident\xff",
			Home: "cz-west", Deadline: now.Add(5 * time.Second)}})
	}
	arrive("before-configuration")
	apply(place.Adopted{Deployment: deployment, Revision: 7})
	apply(place.Marked{Endpoint: "filing-desk-02", Incarnation: "1", Source: "host list"})
	arrive("served")
	apply(place.Finished{Attempt: sent["served"], Result: place.Succeeded})
	arrive("served-after-not-started")
	apply(place.Finished{Attempt: sent["served-after-not-started"], Result: place.NotStarted, Leaving: true})
	apply(place.Finished{Attempt: sent["served-after-not-started"], Result: place.Succeeded})
	arrive("lost")
	apply(place.Finished{Attempt: sent["lost"], Result: place.Lost, Detail: "no answer"})
	apply(place.Unmarked{Endpoint: "filing-desk-02", Incarnation: "2"})
	apply(place.Ticked{})
	assert.NilError(t, recorder.Close())
	return trace.Bytes()
}

// Guards against a core that makes other decisions than in a recorded session, and
// against a trace that cannot be replayed. The flag -update records the session
// again; the expected outcomes below do not change with it.
func TestGoldenTraceReplaysWithoutDifferences(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(traceFile, recordSession(t, unchanged), 0o644))
	}
	trace, err := os.ReadFile(traceFile)
	assert.NilError(t, err)
	result, err := replay.Run(bytes.NewReader(trace))
	assert.NilError(t, err)
	for _, difference := range result.Differences {
		t.Errorf("event %d (%s):\nrecorded %s\ndecided  %s", difference.Event, difference.Kind, difference.Recorded, difference.Replayed)
	}
	var outcomes []string
	for _, id := range slices.Sorted(maps.Keys(result.Outcomes)) {
		outcomes = append(outcomes, fmt.Sprintf("%s %s", id, result.Outcomes[id]))
	}
	assert.DeepEqual(t, outcomes, []string{
		"before-configuration notSent", "lost unknown", "served served", "served-after-not-started served",
	})
}

// Guards against a replay that does not report a decision that was changed, left out
// or added, or that accepts a truncated trace.
func TestReplayReportsChangedDecisions(t *testing.T) {
	cases := []struct {
		title  string
		change func([]place.Decision) []place.Decision
	}{
		{"changed", func(decisions []place.Decision) []place.Decision {
			send := decisions[0].(place.Send)
			send.Endpoint = "filing-desk-12"
			return append([]place.Decision{send}, decisions[1:]...)
		}},
		{"left out", func(decisions []place.Decision) []place.Decision { return decisions[:len(decisions)-1] }},
		{"added", func(decisions []place.Decision) []place.Decision {
			return append(slices.Clone(decisions), place.Cancel{Request: "served"})
		}},
	}
	for _, test := range cases {
		t.Run(test.title, func(t *testing.T) {
			const arrival = 4
			trace := recordSession(t, func(event int, decisions []place.Decision) []place.Decision {
				if event == arrival {
					return test.change(decisions)
				}
				return decisions
			})
			result, err := replay.Run(bytes.NewReader(trace))
			assert.NilError(t, err)
			assert.Equal(t, len(result.Differences), 1)
			assert.Equal(t, result.Differences[0].Event, arrival)
			assert.Assert(t, result.Differences[0].Recorded != result.Differences[0].Replayed)
		})
	}
	_, err := replay.Run(bytes.NewReader(recordSession(t, unchanged)[:200]))
	assert.ErrorContains(t, err, "unexpected EOF")
}

// Guards against a replay that panics or does not return for a damaged trace.
func FuzzRun(f *testing.F) {
	trace, err := os.ReadFile(traceFile)
	assert.NilError(f, err)
	f.Add(trace)
	f.Add(trace[:len(trace)/2])
	f.Fuzz(func(t *testing.T, trace []byte) {
		result, err := replay.Run(bytes.NewReader(trace))
		assert.Check(t, err != nil || result.Events >= len(result.Outcomes))
	})
}
