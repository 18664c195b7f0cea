package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions holds the offsets of the keys and tables of a document, by paths
// such as endpoints[2].slots.
type positions struct {
	// lines holds the offset of the start of each line.
	lines   []int
	offsets map[string]int
	// counts holds the number of elements of each array.
	counts map[string]int
}

// locate returns the positions of the keys of a document without syntax errors.
func locate(text []byte) *positions {
	located := &positions{lines: []int{0}, offsets: make(map[string]int), counts: make(map[string]int)}
	for i, character := range text {
		if character == '\n' {
			located.lines = append(located.lines, i+1)
		}
	}
	parser := unstable.Parser{}
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = located.add("", node.Key())
		case unstable.ArrayTable:
			table = located.add("", node.Key())
			table = located.element(table, located.offsets[table])
		case unstable.KeyValue:
			located.addValue(table, node)
		default:
		}
	}
	return located
}

// element adds the next element of an array and returns its path.
func (p *positions) element(array string, offset int) string {
	path := fmt.Sprintf("%s[%d]", array, p.counts[array])
	p.counts[array]++
	p.offsets[path] = offset
	return path
}

// add adds a key of a table and returns its path.
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

// addNested adds the keys of an inline table, or of the inline tables in an
// array.
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

// position returns the line and column of a path. If the path is missing in the
// document, it returns those of the innermost table that would contain it.
func (p *positions) position(path string) (line, column int) {
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
