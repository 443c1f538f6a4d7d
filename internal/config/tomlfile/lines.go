package tomlfile

import (
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each key to its line. A path joins tables and keys by dots and includes the indices of
// array table entries.
type lineIndex map[string]int

// indexer builds the lineIndex of a file from its expressions.
type indexer struct {
	lines  lineIndex
	counts map[string]int // number of entries of each array table so far, by path
	table  string         // path of the current table, to which keys are added
}

// indexLines returns the lines of the keys of a file. If the file can't be parsed, the result has the keys before the
// syntax error.
func indexLines(source []byte) lineIndex {
	index := &indexer{lines: lineIndex{}, counts: map[string]int{}}
	parser := &unstable.Parser{}
	parser.Reset(source)
	for parser.NextExpression() {
		expression := parser.Expression()
		keys, line := expressionKey(parser, expression)
		index.add(expression.Kind, keys, line)
	}
	return index.lines
}

// expressionKey returns the parts of an expression's dotted key and the line of the first part.
func expressionKey(parser *unstable.Parser, expression *unstable.Node) (keys []string, line int) {
	for it := expression.Key(); it.Next(); {
		node := it.Node()
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		keys = append(keys, string(node.Data))
	}
	return keys, line
}

// add records the line of an expression. Depending on its kind, the keys name a table or a key of the current table.
func (x *indexer) add(kind unstable.Kind, keys []string, line int) {
	switch kind {
	case unstable.Table:
		x.table = x.tablePath(keys, true)
		x.lines[x.table] = line
	case unstable.ArrayTable:
		path := x.tablePath(keys, false)
		x.counts[path]++
		x.table = path + "." + strconv.Itoa(x.counts[path]-1)
		x.lines[x.table] = line
	case unstable.KeyValue:
		path := strings.Join(keys, ".")
		if x.table != "" {
			path = x.table + "." + path
		}
		x.lines[path] = line
	default: // comments and parts of expressions define no key
	}
}

// tablePath returns the path of a table. After each array table in the path it puts the index of the table's current
// entry; after the last key it does so only if indexLast is set.
func (x *indexer) tablePath(keys []string, indexLast bool) string {
	path := ""
	for i, key := range keys {
		if path != "" {
			path += "."
		}
		path += key
		if count, ok := x.counts[path]; ok && (indexLast || i < len(keys)-1) {
			path += "." + strconv.Itoa(count-1)
		}
	}
	return path
}

// lineOf returns the line of a key, or of the innermost enclosing table that the file has, or 0 if there is none.
func (l lineIndex) lineOf(path string) int {
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

// firstLineOf returns the first line that sets a key, in any entry of an array table, or 0 if there is none.
func (l lineIndex) firstLineOf(key toml.Key) int {
	wanted := strings.Join(key, ".")
	first := 0
	for path, line := range l {
		if withoutNumbers(path) == wanted && (first == 0 || line < first) {
			first = line
		}
	}
	return first
}

// withoutNumbers returns a path without the indices of array tables.
func withoutNumbers(path string) string {
	var names []string
	for part := range strings.SplitSeq(path, ".") {
		if _, err := strconv.Atoi(part); err != nil {
			names = append(names, part)
		}
	}
	return strings.Join(names, ".")
}
