package revise

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxShownDifferences bounds the length of an error message.
const maxShownDifferences = 10

// Difference is a key whose values differ in two documents. A value that is
// missing is "".
type Difference struct {
	key    string
	theirs string
	ours   string
}

// Key returns the path of the key, such as hosts[north-a-1].site.
func (d Difference) Key() string { return d.key }

// Theirs returns the value in the accepted document.
func (d Difference) Theirs() string { return d.theirs }

// Ours returns the value in the refused document.
func (d Difference) Ours() string { return d.ours }

// String returns the key and both values.
func (d Difference) String() string {
	return fmt.Sprintf("%s: accepted %q, refused %q", d.key, d.theirs, d.ours)
}

// ConflictError reports that another revision has already succeeded the base of
// a change.
type ConflictError struct {
	base        uint64
	accepted    RevisionID
	differences []Difference
}

// Accepted returns the revision that was accepted.
func (e *ConflictError) Accepted() RevisionID { return e.accepted }

// Differences returns the keys in which the refused document differs from the
// accepted one, sorted.
func (e *ConflictError) Differences() []Difference { return e.differences }

// Error implements error.
func (e *ConflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "revision %s was accepted on revision %d before this change; differing keys: %d",
		e.accepted, e.base, len(e.differences))
	for i, difference := range e.differences {
		if i == maxShownDifferences {
			fmt.Fprintf(&text, "; and %d more", len(e.differences)-i)
			break
		}
		text.WriteString("; " + difference.String())
	}
	return text.String()
}

// Compare returns the keys whose values differ in two TOML documents, sorted.
// Tables in an array are matched by their name, prefix or between key, so that
// a change of order or an insertion is not reported for every later table.
func Compare(theirs, ours []byte) ([]Difference, error) {
	theirValues, err := flatten(theirs)
	if err != nil {
		return nil, fmt.Errorf("decode accepted document: %w", err)
	}
	ourValues, err := flatten(ours)
	if err != nil {
		return nil, fmt.Errorf("decode refused document: %w", err)
	}
	var differences []Difference
	for key, value := range theirValues {
		if ourValues[key] != value {
			differences = append(differences, Difference{key: key, theirs: value, ours: ourValues[key]})
		}
	}
	for key, value := range ourValues {
		if _, exists := theirValues[key]; !exists {
			differences = append(differences, Difference{key: key, ours: value})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int { return strings.Compare(a.key, b.key) })
	return differences, nil
}

func flatten(document []byte) (map[string]string, error) {
	var tree map[string]any
	if err := toml.Unmarshal(document, &tree); err != nil {
		return nil, err
	}
	values := make(map[string]string)
	flattenInto(values, "", tree)
	return values, nil
}

func flattenInto(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			flattenInto(values, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		for i, child := range node {
			flattenInto(values, fmt.Sprintf("%s[%s]", path, elementName(i, child)), child)
		}
	default:
		values[path] = fmt.Sprint(node)
	}
}

// elementName returns the key by which an element of an array is matched.
func elementName(index int, element any) string {
	table, isTable := element.(map[string]any)
	if isTable {
		for _, key := range []string{"name", "prefix", "between"} {
			if value, exists := table[key]; exists {
				return fmt.Sprint(value)
			}
		}
	}
	return fmt.Sprint(index)
}
