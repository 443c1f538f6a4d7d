// Package line reads the lines of the platform's protocol incrementally: CRLF ends a line, and none is longer than 4
// KiB.
package line

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
)

// MaxBytes is the length of the longest line in bytes, its CRLF included.
const MaxBytes = 4 << 10

const (
	maxFields         = 32 // of a line; none has that many
	wordsBeforeFields = 3  // in an OPEN line
)

// ErrTooLong says that a line runs past MaxBytes.
var ErrTooLong = errors.New("line too long")

// Reader puts lines together from pieces. The zero Reader is at the start of a line.
type Reader struct{ partial []byte }

// NewReader goes on after the start of a line that another Reader returned as Partial.
func NewReader(partial []byte) Reader { return Reader{partial} }

// Next takes a piece and returns the first line in it, with its end, and what follows. The line is nil where the piece
// holds no end; the piece is buffered then. A line is valid until the next call, unless it came in pieces. The error is
// ErrTooLong.
func (r *Reader) Next(piece []byte) (text, rest []byte, err error) {
	end := bytes.IndexByte(piece, '\n')
	if end < 0 {
		if len(r.partial)+len(piece) > MaxBytes {
			return nil, nil, ErrTooLong
		}
		r.partial = append(r.partial, piece...)
		return nil, nil, nil
	}
	text, rest = piece[:end+1], piece[end+1:]
	if len(r.partial) > 0 {
		text = append(r.partial, text...)
		r.partial = nil
	}
	if len(text) > MaxBytes {
		return nil, nil, ErrTooLong
	}
	return text, rest, nil
}

// MidLine reports whether the last byte read is inside a line.
func (r *Reader) MidLine() bool { return len(r.partial) > 0 }

// Partial is the start of a line that has not ended yet.
func (r *Reader) Partial() []byte { return r.partial }

// Scan calls onLine for each line that ends in piece and buffers the start of the next. It stops at a line that is too
// long.
func (r *Reader) Scan(piece []byte, onLine func(text []byte)) error {
	for len(piece) > 0 {
		text, rest, err := r.Next(piece)
		if err != nil {
			return err
		}
		if text == nil {
			return nil
		}
		onLine(text)
		piece = rest
	}
	return nil
}

// Scanner finds the ends of lines without buffering any. The zero Scanner is at the start of a line.
type Scanner struct{ partialBytes int }

// NewScanner goes on after the part of a line that another Scanner returned as PartialBytes.
func NewScanner(partialBytes int) Scanner { return Scanner{partialBytes} }

// MidLine reports whether the last byte read is inside a line.
func (s *Scanner) MidLine() bool { return s.partialBytes > 0 }

// PartialBytes is the number of bytes of a line that has not ended yet.
func (s *Scanner) PartialBytes() int { return s.partialBytes }

// Count calls onLine for each line that ends in piece. It stops at a line that is too long.
func (s *Scanner) Count(piece []byte, onLine func()) error {
	for len(piece) > 0 {
		end := bytes.IndexByte(piece, '\n')
		if s.partialBytes+max(end+1, 1) > MaxBytes || end < 0 && s.partialBytes+len(piece) > MaxBytes {
			return ErrTooLong
		}
		if end < 0 {
			s.partialBytes += len(piece)
			return nil
		}
		s.partialBytes = 0
		onLine()
		piece = piece[end+1:]
	}
	return nil
}

// Trim returns a line without its LF or CRLF.
func Trim(text []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))
}

// Printable reports whether a line holds printable ASCII and spaces only.
func Printable(text []byte) bool {
	for _, char := range text {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

// ParseNumber reads a number that is finite and not below 0, in the forms of strconv.ParseFloat.
func ParseNumber(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64) // accepts NaN and Inf
	return number, err == nil && number >= 0 && !math.IsInf(number, 0)
}

// FindField returns where the value of a name stands in "name=value,name=value"; from is -1 where the name is absent.
func FindField(list []byte, name string) (from, to int) {
	if name == "" {
		return -1, -1
	}
	for start := 0; start < len(list); {
		end := fieldEnd(list, start)
		equals := bytes.IndexByte(list[start:end], '=')
		if equals == len(name) && string(list[start:start+equals]) == name {
			return start + equals + 1, end
		}
		start = end + 1
	}
	return -1, -1
}

// fieldEnd is where the field ends that begins at start: at the next comma, or before the end of the line.
func fieldEnd(list []byte, start int) int {
	if comma := bytes.IndexByte(list[start:], ','); comma >= 0 {
		return start + comma
	}
	end := len(list)
	for end > start && (list[end-1] == '\n' || list[end-1] == '\r') {
		end--
	}
	return end
}

// InvalidField returns the first field of "name=value,name=value" whose name was there before or that has no value;
// empty: there is none. A server that reads the first of two fields and one that reads the last would take the same
// line for two different requests.
func InvalidField(list []byte) string {
	var names [maxFields][]byte
	count := 0
	for field := range bytes.SplitSeq(list, []byte(",")) {
		name, _, hasValue := bytes.Cut(field, []byte("="))
		known := func(other []byte) bool { return bytes.Equal(other, name) }
		if !hasValue || count == maxFields || slices.ContainsFunc(names[:count], known) {
			return string(field)
		}
		names[count] = name
		count++
	}
	return ""
}

// FieldsStart is where the list of fields of an OPEN line starts: after its third space.
func FieldsStart(text []byte) int {
	start := 0
	for range wordsBeforeFields {
		space := bytes.IndexByte(text[start:], ' ')
		if space < 0 {
			return len(text)
		}
		start += space + 1
	}
	return start
}
