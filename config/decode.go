package config

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxTypeProblems bounds how often a document is decoded.
const maxTypeProblems = 50

// decode decodes text into a document and returns all problems that the decoder
// finds. Decoding stops at the first value of a wrong type, so the line of such
// a value is blanked and the text is decoded again. isComplete is false if the
// document was not decoded completely, for example after a syntax error; then
// further checks make no sense.
func decode(text []byte, into func() any) (problems []Problem, isComplete bool) {
	text = bytes.Clone(text)
	for range maxTypeProblems {
		err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into())
		var unknown *toml.StrictMissingError
		var decodeError *toml.DecodeError
		switch {
		case err == nil:
			return problems, true
		case errors.As(err, &unknown):
			return append(problems, unknownKeys(unknown)...), true
		case errors.As(err, &decodeError):
			// The syntax check is another pass over a document that may have 130,000
			// client blocks, so it runs only after an error.
			if problem, isMalformed := checkSyntax(text); isMalformed {
				return firstProblems(problems, problem), false
			}
			line, column := decodeError.Position()
			problems = append(problems, typeProblem(line, column, decodeError))
			if !blankLine(text, line) {
				return problems, false
			}
		default:
			return append(problems, Problem{Line: 1, Column: 1, Message: err.Error()}), false
		}
	}
	return problems, false
}

// firstProblems returns the problems that were found so far, or the syntax
// error if there are none. After other problems, the syntax error may be caused
// by a blanked line.
func firstProblems(problems []Problem, syntax Problem) []Problem {
	if len(problems) > 0 {
		return problems
	}
	return []Problem{syntax}
}

// checkSyntax returns the first syntax error of a document.
func checkSyntax(text []byte) (Problem, bool) {
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		continue
	}
	var parserError *unstable.ParserError
	if !errors.As(parser.Error(), &parserError) {
		return Problem{}, false
	}
	position := parser.Shape(parser.Range(parserError.Highlight)).Start
	return Problem{Line: position.Line, Column: position.Column, Message: "syntax error: " + parserError.Message,
		Hint: "the file is TOML 1.0; text is in quotes"}, true
}

func unknownKeys(unknown *toml.StrictMissingError) []Problem {
	var problems []Problem
	for i := range unknown.Errors {
		line, column := unknown.Errors[i].Position()
		problems = append(problems, Problem{
			Line: line, Column: column,
			Message: fmt.Sprintf("unknown key %q", strings.Join(unknown.Errors[i].Key(), ".")),
			Hint:    "names of keys are in camelCase; see docs/operators",
		})
	}
	return problems
}

// typeProblem converts a decoder error, usually a value of a wrong type, to a
// problem.
func typeProblem(line, column int, decodeError *toml.DecodeError) Problem {
	key := strings.Join(decodeError.Key(), ".")
	problem := Problem{Line: line, Column: column, Message: strings.TrimPrefix(decodeError.Error(), "toml: ")}
	mismatch := regexp.MustCompile(`cannot decode TOML (\S+) into .* type (\S+)`).FindStringSubmatch(problem.Message)
	if mismatch != nil {
		problem.Message = fmt.Sprintf("%s has type %s", key, mismatch[1])
		problem.Hint = "give a value of type " + strings.TrimPrefix(mismatch[2], "config.")
	} else if key != "" {
		problem.Message = key + ": " + problem.Message
	}
	if strings.Contains(problem.Message, "duration") {
		problem.Hint = "give a number and a unit, as in '2s' or '10m'"
	}
	return problem
}

// blankLine overwrites a line, counted from 1, with spaces. It reports false
// if there is nothing to overwrite.
func blankLine(text []byte, line int) bool {
	start := 0
	for ; line > 1; line-- {
		end := bytes.IndexByte(text[start:], '\n')
		if end < 0 {
			return false
		}
		start += end + 1
	}
	isChanged := false
	for i := start; i < len(text) && text[i] != '\n'; i++ {
		isChanged = isChanged || text[i] != ' '
		text[i] = ' '
	}
	return isChanged
}
