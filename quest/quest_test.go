package quest_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"filberthold/config"
	"filberthold/model"
	"filberthold/quest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func readAnswers(t *testing.T, deployment string) []byte {
	t.Helper()
	text, err := os.ReadFile("../deployments/" + deployment + "/answers.toml")
	assert.NilError(t, err)
	return text
}

// Guards against committed configurations that do not match their answers, after
// an edit of one of the two files or a change of the generator.
func TestCommittedConfigurationsAreGenerated(t *testing.T) {
	for _, deployment := range []string{"hlukodenik", "guild"} {
		answers, err := quest.Parse("answers.toml", readAnswers(t, deployment))
		assert.NilError(t, err)
		generated, err := quest.Generate(answers)
		assert.NilError(t, err)
		committed, err := os.ReadFile("../deployments/" + deployment + "/deployment.toml")
		assert.NilError(t, err)
		assert.Equal(t, string(generated), string(committed))
	}
}

// Guards against answers that are accepted although they are incomplete or
// contradict each other.
func TestContradictoryAnswersAreRejected(t *testing.T) {
	cases := []struct{ title, from, to string }{
		{"repeat-unanswered", "mustNeverRepeat = true\n", ""},
		{"long-and-never-repeated", "takesMinutes = false\nanswerWithin = '5s'", "takesMinutes = true\nanswerWithin = '5s'"},
		{"too-much-work", "peakRequestsPerSecond = 400.0", "peakRequestsPerSecond = 4000.0"},
		{"large-responses", "largestResponseBytes = 1048576", "largestResponseBytes = 104857600"},
		{"no-place", "endpointRange = { count = 16, firstAddress = '127.0.0.1:8000' }\n", ""},
		{"unknown-key", "team = 'diaries'", "owner = 'diaries'"},
		{"old-version", "questionnaire = 1", "questionnaire = 0"},
		{"unknown-site", "site = 'plzen-a'", "site = 'paris'"},
		{"no-queue", "mayWait = 256", "mayWait = 0"},
		{"connections", "connections = 360", "connections = 2"},
	}
	for _, test := range cases {
		t.Run(test.title, func(t *testing.T) {
			original := string(readAnswers(t, "hlukodenik"))
			assert.Assert(t, strings.Contains(original, test.from))
			answers, err := quest.Parse("answers.toml", []byte(strings.Replace(original, test.from, test.to, 1)))
			if err == nil {
				_, err = quest.Generate(answers)
			}
			var invalid *config.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			golden.Assert(t, err.Error()+"\n", test.title+".txt")
		})
	}
}

// Guards against a plan that changes other answers or that is not checked.
func TestAddShiftKeepsAnswersAndChecksPlan(t *testing.T) {
	text := readAnswers(t, "guild")
	shift := quest.Shift{Name: "empty-south", Service: "specbook", From: "south", To: "west",
		Start: time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC), PercentPerMinute: 5, AtMostPercent: 50}
	extended, answers, err := quest.AddShift("answers.toml", text, model.Drain, shift)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(extended), string(text)))
	generated, err := quest.Generate(answers)
	assert.NilError(t, err)
	deployment, err := config.ParseDeployment("generated", generated, 2)
	assert.NilError(t, err)
	plan := deployment.Plans()[0]
	assert.Equal(t, plan.Kind(), model.Drain)
	assert.Equal(t, plan.To(), model.RegionName("west"))
	assert.Equal(t, plan.CapPercent(), 50)

	shift.From = "east"
	_, _, err = quest.AddShift("answers.toml", extended, model.Move, shift)
	assert.ErrorContains(t, err, `unknown region "east"`)
}
