package claim

import (
	"time"

	"filberthold/model"
)

// AnswerExpired returns the answer for a key that can no longer be claimed, because
// the incarnation that might have run it has ended or has removed the expired key.
// The event is CurrentRow or ReadFailed.
func AnswerExpired(event Event, fingerprint []byte, now time.Time) Answer {
	current, isCurrentRow := event.(CurrentRow)
	if !isCurrentRow || current.Version == 0 {
		return Answer{Outcome: model.Unknown, Reason: "the key cannot be claimed any more and may have run"}
	}
	// The deadline of this attempt has passed, so it answers without waiting.
	_, action := New("", "", now, fingerprint).handleOtherRow(current.Row, now)
	if answer, isAnswer := action.(Answer); isAnswer {
		return answer
	}
	return Answer{Outcome: model.Unknown, Reason: "the request may have run"}
}
