package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	Line    int
	Column  int
	Message string
	Hint    string
}

// InvalidError reports all faults that were found in a document.
type InvalidError struct {
	file string
	// problems is not empty and in the order of the document.
	problems []Problem
}

func newInvalidError(file string, problems []Problem) *InvalidError {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	// One answer may stand for many parts of a configuration.
	return &InvalidError{file: file, problems: slices.Compact(problems)}
}

// Problems returns the faults in the order of the document.
func (e *InvalidError) Problems() []Problem { return e.problems }

// Error lists each fault on a line of its own, with its position and a hint.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, problem := range e.problems {
		line := fmt.Sprintf("%s:%d:%d: %s", e.file, problem.Line, problem.Column, problem.Message)
		if problem.Hint != "" {
			line += " (hint: " + problem.Hint + ")"
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}
