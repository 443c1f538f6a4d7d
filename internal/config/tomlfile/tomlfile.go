// Package tomlfile reads settings in TOML 1.0 and reports each fault with its line.
//
// A package with settings of its own decodes them into a struct with Decode, sets default values with Fill, reports
// invalid values with File.Fault, and returns File.Err. Package tomlfile keeps no state. Its only I/O is to read a file
// in Load.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// MaxBytes is the maximum size of a file.
const MaxBytes = 16 << 20

// File is a decoded file. It holds the lines of the file's keys and collects its faults.
type File struct {
	Name   string
	lines  lineIndex
	faults Faults
}

// Load reads the text of a file. The error is a *SizeError if the file is larger than MaxBytes.
func Load(path string) ([]byte, error) {
	source, err := os.ReadFile(path)
	if err == nil && len(source) > MaxBytes {
		err = &SizeError{File: path, Bytes: len(source)}
	}
	return source, err
}

// Decode decodes the text of a file into target, a pointer to a struct with toml tags. Syntax errors, values of a wrong
// type and unknown keys become faults of the File.
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
		problem = strings.TrimPrefix(singleLine(syntax), "toml: ")
	}
	f.faults = append(f.faults, Fault{File: f.Name, Line: syntax.Position.Line, Problem: "toml: " + problem})
}

// addTypeError adds a fault for a value of a wrong type. The decoder gives the line and key only in the error's text.
func (f *File) addTypeError(err error) {
	fault := Fault{File: f.Name, Problem: singleLine(err)}
	if line, key, problem, ok := parseTypeError(fault.Problem); ok {
		fault.Line = line
		fault.Key = strings.Trim(key, `"`)
		fault.Problem = "toml: key " + key + ": " + problem
	}
	f.faults = append(f.faults, fault)
}

// parseTypeError parses the decoder's error text, which has the form: toml: line NUMBER (last key "KEY"): PROBLEM.
func parseTypeError(text string) (line int, key, problem string, ok bool) {
	rest, hasLine := strings.CutPrefix(text, "toml: line ")
	number, rest, hasKey := strings.Cut(rest, " (last key ")
	key, problem, hasProblem := strings.Cut(rest, "): ")
	line, err := strconv.Atoi(number)
	return line, key, problem, hasLine && hasKey && hasProblem && err == nil
}

func singleLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

// addUnknownKeys adds one fault for each unknown key, even if several entries of an array table have it.
func (f *File) addUnknownKeys(keys []toml.Key) {
	seen := map[string]bool{}
	for _, key := range keys {
		name := key.String()
		if seen[name] {
			continue
		}
		seen[name] = true
		f.faults = append(f.faults, Fault{
			File: f.Name, Line: f.lines.firstLineOf(key), Key: name, Problem: fmt.Sprintf("unknown key %q", name),
		})
	}
}

// Line returns the line of a key, or of the innermost enclosing table that the file has, or 0 if there is none.
func (f *File) Line(path string) int { return f.lines.lineOf(path) }

// Has reports whether the file sets a key.
func (f *File) Has(path string) bool {
	_, ok := f.lines[path]
	return ok
}

// Fault adds a fault for the key or table at path. The text names the invalid value and what is allowed.
func (f *File) Fault(path, format string, args ...any) {
	f.faults = append(f.faults, Fault{
		File: f.Name, Line: f.Line(path), Key: path, Problem: fmt.Sprintf(format, args...),
	})
}

// FaultError adds a fault that an error causes, for example of a file that the key at path names. The error remains
// visible to errors.Is and errors.As through the Faults.
func (f *File) FaultError(path string, cause error) {
	f.faults = append(f.faults, Fault{
		File: f.Name, Line: f.Line(path), Key: path, Problem: cause.Error(), Cause: cause,
	})
}

// Err returns a Faults with all faults sorted by line, or nil if there are none. For a file that can't be decoded it
// has only the first error.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	sortByLine(f.faults)
	return f.faults
}

// HasFaults reports whether the file has faults. Right after Decode this means that the file could not be decoded and
// its values must not be used.
func (f *File) HasFaults() bool { return len(f.faults) > 0 }
