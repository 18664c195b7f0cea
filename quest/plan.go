package quest

import (
	"fmt"

	"filberthold/model"

	"github.com/pelletier/go-toml/v2"
)

// AddShift adds a drain or a move to the text of answers and checks the
// result. What is there, with its comments, stays as it is.
func AddShift(file string, text []byte, kind model.PlanKind, shift Shift) ([]byte, Answers, error) {
	var added any
	switch kind {
	case model.Drain:
		added = struct {
			Drains []Shift `toml:"drains"`
		}{[]Shift{shift}}
	case model.Move:
		added = struct {
			Moves []Shift `toml:"moves"`
		}{[]Shift{shift}}
	case model.Failover:
		return nil, Answers{}, fmt.Errorf("a %s is not planned with answers", kind)
	}
	encoded, err := toml.Marshal(added)
	if err != nil {
		return nil, Answers{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	whole := append([]byte{}, text...)
	if len(whole) > 0 && whole[len(whole)-1] != '\n' {
		whole = append(whole, '\n')
	}
	whole = append(append(whole, '\n'), encoded...)
	answers, err := Parse(file, whole)
	if err != nil {
		return nil, Answers{}, err
	}
	return whole, answers, nil
}
