package place

import "filberthold/model"

// Answered reports what the caller of a submit was told, or of another request
// that was refused before placement. It changes nothing in
// placement; it takes its place among the events so that records and traces
// hold it in the right order.
type Answered struct {
	Request Request       `cbor:"request"`
	Outcome model.Outcome `cbor:"outcome"`
	Reason  string        `cbor:"reason"`
}

func (Answered) isEvent() {}
