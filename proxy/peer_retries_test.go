package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"filberthold/member"
	"filberthold/steer"

	"gotest.tools/v3/assert"
)

// Guards against a host that forgets the retries of another one which has ended, or counts
// them for ever.
func TestRetriesOfOtherHostsCountWhileTheyMayArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 60})[0]
		uncovered := func() int { return core.peerRetries.uncovered("s", time.Now()) }
		run := member.Run{Host: "other", Incarnation: 1}
		core.ApplyRetryNews(run, []steer.RetryNews{{Service: "s", Excess: 7, Earned: 5}, {Service: "t", Excess: 1}})
		assert.Equal(t, uncovered(), 2)
		// The host is gone, and its requests go to others.
		setAlive([]*Core{core}, 1, peerNewsTime)
		assert.Equal(t, uncovered(), 7)
		core.ApplyRetryNews(member.Run{Host: "other", Incarnation: 2}, []steer.RetryNews{{Service: "s", Excess: 1}})
		assert.Equal(t, uncovered(), 8, "the retries of the run before are forgotten")
		core.ApplyRetryNews(member.Run{Host: "other", Incarnation: 2}, nil)
		assert.Equal(t, uncovered(), 7, "the other host's retries have arrived")
		setAlive([]*Core{core}, 1, steer.MaxHoldTime)
		assert.Equal(t, uncovered(), 0)
	})
}

// Guards against news of retries that ended with an answer, or that are within the slack.
func TestOnlyRetriesBeyondTheSlackAreNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := newRetryCores(1, RetryLimit{Ratio: 0.2, Slack: 2})[0]
		setAlive([]*Core{core}, 1, time.Second)
		fillBudgets([]*Core{core})
		for number, want := range [][]steer.RetryNews{nil, nil, {{Service: "s", Excess: 1}}, {{Service: "s", Excess: 2, Earned: 1}}} {
			core.sendRetry("s")
			core.recordRetries("s", attemptEnd{endpoint: "i", result: steer.TimedOut, isRetry: true, isSent: true, sentAt: time.Now()})
			if number == 3 {
				for range 10 {
					core.earnRetry("s")
				}
			}
			assert.DeepEqual(t, core.RetryNews(), want)
		}
		time.Sleep(time.Second)
		core.recordRetries("s", attemptEnd{endpoint: "i", result: steer.Answered, isSent: true, sentAt: time.Now()})
		assert.Equal(t, len(core.RetryNews()), 0)
	})
}
