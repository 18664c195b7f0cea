package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is a fault of a document with its position and a hint how to correct
// it.
type Problem struct {
	Line    int
	Column  int
	Message string
	Hint    string
}

// InvalidError reports all problems that were found in a document.
type InvalidError struct {
	file string
	// problems is not empty. It is sorted by position and has no duplicates.
	problems []Problem
}

func newInvalidError(file string, problems []Problem) *InvalidError {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	// Many parts of a configuration may be generated from one answer of the
	// questionnaire. Their problems are equal and are reported once.
	return &InvalidError{file: file, problems: slices.Compact(problems)}
}

// Problems returns the problems in the order of the document.
func (e *InvalidError) Problems() []Problem { return e.problems }

// Error returns a line for each problem, with its position and hint.
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
