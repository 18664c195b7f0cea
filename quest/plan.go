package quest

import (
	"fmt"

	"filberthold/model"

	"github.com/pelletier/go-toml/v2"
)

// AddShift appends a drain or a move to the text of answers and checks the
// result. The existing text, with its comments, is not changed.
func AddShift(file string, text []byte, kind model.PlanKind, shift Shift) ([]byte, Answers, error) {
	var addition any
	switch kind {
	case model.Drain:
		addition = struct {
			Drains []Shift `toml:"drains"`
		}{[]Shift{shift}}
	case model.Move:
		addition = struct {
			Moves []Shift `toml:"moves"`
		}{[]Shift{shift}}
	case model.Failover:
		return nil, Answers{}, fmt.Errorf("a %s cannot be planned in the answers", kind)
	}
	encoded, err := toml.Marshal(addition)
	if err != nil {
		return nil, Answers{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	extended := append([]byte{}, text...)
	if len(extended) > 0 && extended[len(extended)-1] != '\n' {
		extended = append(extended, '\n')
	}
	extended = append(append(extended, '\n'), encoded...)
	answers, err := Parse(file, extended)
	if err != nil {
		return nil, Answers{}, err
	}
	return extended, answers, nil
}
