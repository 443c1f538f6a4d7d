// Package tomlfile reads settings in TOML 1.0 and tells each fault with the line it is on.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MostBytes is the longest file that is read.
const MostBytes = 16 << 20

// Fault is one thing wrong with a file. What says what would be right.
type Fault struct {
	File string
	Line int // 0: not of one line
	What string
}

func (f Fault) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.What
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.What)
}

// Faults are all the faults of a file, as an error of one line.
type Faults []Fault

func (f Faults) Error() string {
	if len(f) > 1 {
		return fmt.Sprintf("%s (and %d more faults: see spurwinchctl check)", f[0], len(f)-1)
	}
	return f[0].String()
}

// File is a file that was decoded: it knows where its keys stand, and collects faults.
type File struct {
	Name   string
	lines  map[string]int
	faults Faults
}

// typeError takes apart what the decoder says of a value of a wrong type: toml: line N (last key "KEY"): WHAT.
func typeError(text string) (line int, key, what string, ok bool) {
	rest, ok := strings.CutPrefix(text, "toml: line ")
	number, rest, ok2 := strings.Cut(rest, " (last key ")
	key, what, ok3 := strings.Cut(rest, "): ")
	line, err := strconv.Atoi(number)
	return line, key, what, ok && ok2 && ok3 && err == nil
}

// Load reads a file's text.
func Load(path string) ([]byte, error) {
	src, err := os.ReadFile(path)
	if err == nil && len(src) > MostBytes {
		err = fmt.Errorf("%s: %d bytes; settings have %d at most", path, len(src), MostBytes)
	}
	return src, err
}

// Decode decodes the text of a file into v, a pointer to a struct with toml tags. Syntax errors, values of a wrong type and
// unknown keys are faults of the File.
func Decode(path string, src []byte, v any) *File {
	f := &File{Name: path, lines: map[string]int{}}
	f.index(src)
	md, err := toml.Decode(string(src), v)
	var parse toml.ParseError
	switch {
	case errors.As(err, &parse):
		line := parse.Position.Line
		what := parse.Message
		if what == "" {
			what = strings.TrimPrefix(strings.ReplaceAll(parse.Error(), "\n", " "), "toml: ")
		}
		f.faults = append(f.faults, Fault{path, line, "toml: " + what})
	case err != nil: // a value of a wrong type: the line is in the text only
		text, line := strings.ReplaceAll(err.Error(), "\n", " "), 0
		if at, key, what, ok := typeError(text); ok {
			line, text = at, "toml: key "+key+": "+what
		}
		f.faults = append(f.faults, Fault{path, line, text})
	default:
		seen := map[string]bool{}
		for _, k := range md.Undecoded() {
			if name := k.String(); !seen[name] {
				seen[name] = true
				f.faults = append(f.faults, Fault{path, f.anyLine(k), fmt.Sprintf("unknown key %q", name)})
			}
		}
	}
	return f
}

// index notes the line of each key, under its path: tables and keys joined by dots, with the numbers of array tables.
func (f *File) index(src []byte) {
	p := unstable.Parser{}
	p.Reset(src)
	counts := map[string]int{}
	prefix := ""
	// resolve puts the number of the present entry behind each array table on the way.
	resolve := func(keys []string, last bool) string {
		path := ""
		for i, key := range keys {
			if path != "" {
				path += "."
			}
			path += key
			if n, ok := counts[path]; ok && (last || i < len(keys)-1) {
				path += "." + strconv.Itoa(n-1)
			}
		}
		return path
	}
	for p.NextExpression() {
		e := p.Expression()
		var keys []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
			keys = append(keys, string(n.Data))
		}
		switch e.Kind {
		case unstable.Table:
			prefix = resolve(keys, true)
			f.lines[prefix] = line
		case unstable.ArrayTable:
			at := resolve(keys, false)
			counts[at]++
			prefix = at + "." + strconv.Itoa(counts[at]-1)
			f.lines[prefix] = line
		case unstable.KeyValue:
			path := strings.Join(keys, ".")
			if prefix != "" {
				path = prefix + "." + path
			}
			f.lines[path] = line
		}
	}
}

// anyLine is the first line on which a key stands, whatever the entry of an array table.
func (f *File) anyLine(k toml.Key) int {
	best := 0
	for path, line := range f.lines {
		var plain []string
		for _, w := range strings.Split(path, ".") {
			if _, err := strconv.Atoi(w); err != nil {
				plain = append(plain, w)
			}
		}
		if strings.Join(plain, ".") == strings.Join(k, ".") && (best == 0 || line < best) {
			best = line
		}
	}
	return best
}

// Line is the line of a key, or of the nearest table around it.
func (f *File) Line(path string) int {
	for {
		if n, ok := f.lines[path]; ok {
			return n
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return 0
		}
		path = path[:i]
	}
}

// Has reports whether the file sets a key.
func (f *File) Has(path string) bool { _, ok := f.lines[path]; return ok }

// Fault notes that what stands at a path can't be.
func (f *File) Fault(path, format string, args ...any) {
	f.faults = append(f.faults, Fault{f.Name, f.Line(path), fmt.Sprintf(format, args...)})
}

// Err is all faults in the order of their lines, or nil. An unreadable file has only its first.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	sort.SliceStable(f.faults, func(i, j int) bool { return f.faults[i].Line < f.faults[j].Line })
	return f.faults
}

// Broken reports whether the file could not be decoded, so that its values mean nothing.
func (f *File) Broken() bool { return len(f.faults) > 0 }

// Duration is a time as settings write it: "1.5s", "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err == nil && v < 0 {
		err = fmt.Errorf("negative duration %q", b)
	}
	if err != nil {
		err = fmt.Errorf("%q is no time such as \"1.5s\" or \"250ms\"", b)
	}
	*d = Duration(v)
	return err
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Seconds is the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// Fill sets a value that the file left out.
func Fill[T comparable](v *T, usual T) {
	var zero T
	if *v == zero {
		*v = usual
	}
}
