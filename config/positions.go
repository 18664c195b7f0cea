package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions holds where the keys and tables of a document are, by paths such
// as endpoints[2].slots.
type positions struct {
	// lines holds the offset at which each line begins.
	lines   []int
	offsets map[string]int
	// counts holds the number of elements of each array of tables.
	counts map[string]int
}

// locate finds the keys of a document without syntax errors.
func locate(text []byte) *positions {
	found := &positions{lines: []int{0}, offsets: make(map[string]int), counts: make(map[string]int)}
	for i, character := range text {
		if character == '\n' {
			found.lines = append(found.lines, i+1)
		}
	}
	parser := unstable.Parser{}
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = found.add("", node.Key())
		case unstable.ArrayTable:
			table = found.add("", node.Key())
			table = found.element(table, found.offsets[table])
		case unstable.KeyValue:
			found.addValue(table, node)
		default:
		}
	}
	return found
}

// element adds the next element of an array and returns its path.
func (p *positions) element(array string, offset int) string {
	path := fmt.Sprintf("%s[%d]", array, p.counts[array])
	p.counts[array]++
	p.offsets[path] = offset
	return path
}

func (p *positions) add(table string, key unstable.Iterator) string {
	path := table
	offset := -1
	for key.Next() {
		if path != "" {
			path += "."
		}
		path += string(key.Node().Data)
		if offset < 0 {
			offset = int(key.Node().Raw.Offset)
		}
	}
	p.offsets[path] = offset
	return path
}

func (p *positions) addValue(table string, node *unstable.Node) {
	path := p.add(table, node.Key())
	p.addNested(path, node.Value())
}

// addNested adds the keys of inline tables, alone or in an array.
func (p *positions) addNested(path string, value *unstable.Node) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			p.addValue(path, children.Node())
		}
	case unstable.Array:
		for children.Next() {
			p.addNested(p.element(path, p.offsets[path]), children.Node())
		}
	default:
	}
}

// of returns the line and column of a path, or of the table that lacks it.
func (p *positions) of(path string) (line, column int) {
	for {
		if offset, exists := p.offsets[path]; exists {
			line := sort.SearchInts(p.lines, offset+1)
			return line, offset - p.lines[line-1] + 1
		}
		end := strings.LastIndexByte(path, '.')
		if end < 0 {
			return 1, 1
		}
		path = path[:end]
	}
}
