package place

import "filberthold/model"

// Answered reports the outcome that was returned to the caller of a submit, or
// to the caller of another request that was refused before placement. Core
// ignores it. It is an event so that audit records and traces hold it in order.
type Answered struct {
	Request Request       `cbor:"request"`
	Outcome model.Outcome `cbor:"outcome"`
	Reason  string        `cbor:"reason"`
}

func (Answered) isEvent() {}
