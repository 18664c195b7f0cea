package place

import "filberthold/model"

// Answered reports the outcome that was returned to the caller of a submit, or
// to the caller of another request that was refused before placement. It does not
// change the state of Core. It is an event because audit records and traces must
// contain it in the order of events.
type Answered struct {
	Request Request       `cbor:"request"`
	Outcome model.Outcome `cbor:"outcome"`
	Reason  string        `cbor:"reason"`
}

func (Answered) isEvent() {}
