package tomlfile

import (
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex is the line of each key, under its path: tables and keys joined by dots, with the numbers of array tables.
type lineIndex map[string]int

// indexer walks through the expressions of a file.
type indexer struct {
	lines  lineIndex
	counts map[string]int // entries of array tables so far, by path
	table  string         // path of the table that the keys are in now
}

// indexLines finds the keys of a file. Where the file can't be parsed, it has those before the fault.
func indexLines(source []byte) lineIndex {
	index := &indexer{lines: lineIndex{}, counts: map[string]int{}}
	parser := &unstable.Parser{}
	parser.Reset(source)
	for parser.NextExpression() {
		expression := parser.Expression()
		keys, line := keysOf(parser, expression)
		index.add(expression.Kind, keys, line)
	}
	return index.lines
}

// keysOf is the dotted key of an expression, and the line of its first word.
func keysOf(parser *unstable.Parser, expression *unstable.Node) (keys []string, line int) {
	for it := expression.Key(); it.Next(); {
		node := it.Node()
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		keys = append(keys, string(node.Data))
	}
	return keys, line
}

// add records the line of an expression, whose kind says whether its keys name a table or stand in the present one.
func (x *indexer) add(kind unstable.Kind, keys []string, line int) {
	switch kind {
	case unstable.Table:
		x.table = x.resolve(keys, true)
		x.lines[x.table] = line
	case unstable.ArrayTable:
		path := x.resolve(keys, false)
		x.counts[path]++
		x.table = path + "." + strconv.Itoa(x.counts[path]-1)
		x.lines[x.table] = line
	case unstable.KeyValue:
		path := strings.Join(keys, ".")
		if x.table != "" {
			path = x.table + "." + path
		}
		x.lines[path] = line
	default: // comments and the parts of expressions have no line of their own
	}
}

// resolve is the path of a table: the number of the present entry stands behind each array table on the way, and behind
// the last word where last says so.
func (x *indexer) resolve(keys []string, last bool) string {
	path := ""
	for i, key := range keys {
		if path != "" {
			path += "."
		}
		path += key
		if count, ok := x.counts[path]; ok && (last || i < len(keys)-1) {
			path += "." + strconv.Itoa(count-1)
		}
	}
	return path
}

// of is the line of a key, or of the nearest table around it; 0: it has none.
func (l lineIndex) of(path string) int {
	for {
		if line, ok := l[path]; ok {
			return line
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return 0
		}
		path = path[:i]
	}
}

// first is the first line on which a key stands, whatever the entry of an array table; 0: it has none.
func (l lineIndex) first(key toml.Key) int {
	wanted := strings.Join(key, ".")
	first := 0
	for path, line := range l {
		if withoutNumbers(path) == wanted && (first == 0 || line < first) {
			first = line
		}
	}
	return first
}

// withoutNumbers is a path without the numbers of array tables.
func withoutNumbers(path string) string {
	var names []string
	for word := range strings.SplitSeq(path, ".") {
		if _, err := strconv.Atoi(word); err != nil {
			names = append(names, word)
		}
	}
	return strings.Join(names, ".")
}
