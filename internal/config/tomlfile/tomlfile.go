// Package tomlfile reads settings in TOML 1.0 and tells each fault with the line it is on.
//
// A package with settings of its own decodes them into a struct by Decode, sets default values by Fill, notes what
// can't be by File.Fault, and returns File.Err. It does no I/O but for Load, which reads one file, and keeps no state.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// MaxBytes is the longest file that is read.
const MaxBytes = 16 << 20

// File is a file that was decoded: it knows where its keys stand, and collects faults.
type File struct {
	Name   string
	lines  lineIndex
	faults Faults
}

// Load reads a file's text. The error is a *SizeError where the file is too long.
func Load(path string) ([]byte, error) {
	source, err := os.ReadFile(path)
	if err == nil && len(source) > MaxBytes {
		err = &SizeError{File: path, Bytes: len(source)}
	}
	return source, err
}

// Decode decodes the text of a file into target, a pointer to a struct with toml tags. Syntax errors, values of a wrong
// type and unknown keys are faults of the File.
func Decode(path string, source []byte, target any) *File {
	file := &File{Name: path, lines: indexLines(source)}
	metadata, err := toml.Decode(string(source), target)
	var syntax toml.ParseError
	switch {
	case errors.As(err, &syntax):
		file.addSyntaxError(syntax)
	case err != nil:
		file.addTypeError(err)
	default:
		file.addUnknownKeys(metadata.Undecoded())
	}
	return file
}

func (f *File) addSyntaxError(syntax toml.ParseError) {
	problem := syntax.Message
	if problem == "" {
		problem = strings.TrimPrefix(inOneLine(syntax), "toml: ")
	}
	f.faults = append(f.faults, Fault{File: f.Name, Line: syntax.Position.Line, Problem: "toml: " + problem})
}

// addTypeError notes a value of a wrong type. The decoder has its line and key in the text only.
func (f *File) addTypeError(err error) {
	fault := Fault{File: f.Name, Problem: inOneLine(err)}
	if line, key, problem, ok := parseTypeError(fault.Problem); ok {
		fault.Line = line
		fault.Key = strings.Trim(key, `"`)
		fault.Problem = "toml: key " + key + ": " + problem
	}
	f.faults = append(f.faults, fault)
}

// parseTypeError takes apart what the decoder says: toml: line NUMBER (last key "KEY"): PROBLEM.
func parseTypeError(text string) (line int, key, problem string, ok bool) {
	rest, hasLine := strings.CutPrefix(text, "toml: line ")
	number, rest, hasKey := strings.Cut(rest, " (last key ")
	key, problem, hasProblem := strings.Cut(rest, "): ")
	line, err := strconv.Atoi(number)
	return line, key, problem, hasLine && hasKey && hasProblem && err == nil
}

func inOneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

// addUnknownKeys notes each unknown key once, however many entries of an array table have it.
func (f *File) addUnknownKeys(keys []toml.Key) {
	seen := map[string]bool{}
	for _, key := range keys {
		name := key.String()
		if seen[name] {
			continue
		}
		seen[name] = true
		f.faults = append(f.faults, Fault{
			File: f.Name, Line: f.lines.first(key), Key: name, Problem: fmt.Sprintf("unknown key %q", name),
		})
	}
}

// Line is the line of a key, or of the nearest table around it; 0: it has none.
func (f *File) Line(path string) int { return f.lines.of(path) }

// Has reports whether the file sets a key.
func (f *File) Has(path string) bool {
	_, ok := f.lines[path]
	return ok
}

// Fault notes that what stands at a path can't be. The text says what was found and what is wanted.
func (f *File) Fault(path, format string, args ...any) {
	f.faults = append(f.faults, Fault{
		File: f.Name, Line: f.Line(path), Key: path, Problem: fmt.Sprintf(format, args...),
	})
}

// Err is a Faults with all faults in the order of their lines, or nil. An unreadable file has only its first.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	sortByLine(f.faults)
	return f.faults
}

// Broken reports whether the file could not be decoded, so that its values mean nothing.
func (f *File) Broken() bool { return len(f.faults) > 0 }
