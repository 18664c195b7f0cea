package claim

import (
	"time"

	"filberthold/model"
)

// AnswerExpired returns the answer for a key that can no longer be claimed: the
// process that might have run it is gone or has forgotten it. The fact is
// CurrentRow or ReadFailed.
func AnswerExpired(fact Event, fingerprint []byte, now time.Time) Answer {
	found, isFound := fact.(CurrentRow)
	if !isFound || found.Version == 0 {
		return Answer{Outcome: model.Unknown, Reason: "the key cannot be claimed any more and may have run"}
	}
	// An attempt whose deadline has passed answers at once.
	_, action := New("", "", now, fingerprint).watch(found.Row, now)
	if answer, isAnswer := action.(Answer); isAnswer {
		return answer
	}
	return Answer{Outcome: model.Unknown, Reason: "the request may have run"}
}
