// Package line reads the platform's lines incrementally: CRLF ends a line, and none is longer than 4 KiB.
package line

import (
	"bytes"
	"errors"
	"slices"
)

// Max is the length of the longest line in bytes, its CRLF included.
const Max = 4 << 10

const (
	maxFields          = 32 // in a list of names and values; none has that many
	wordsBeforeTheList = 3  // in an OPEN line
)

// ErrTooLong says that a line runs past Max.
var ErrTooLong = errors.New("line too long")

// Reader puts lines together from pieces. The zero Reader is at the start of a line.
type Reader struct{ partial []byte }

// NewReader goes on after the start of a line that another Reader returned as Partial.
func NewReader(partial []byte) Reader { return Reader{partial} }

// Next takes a piece and returns the first line in it, with its end, and what follows. The line is nil where the
// piece holds no end; the piece is kept then. A line is valid until the next call, unless it came in pieces.
func (r *Reader) Next(piece []byte) (text, rest []byte, err error) {
	end := bytes.IndexByte(piece, '\n')
	if end < 0 {
		if len(r.partial)+len(piece) > Max {
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
	if len(text) > Max {
		return nil, nil, ErrTooLong
	}
	return text, rest, nil
}

// Mid reports whether the last byte read is inside a line.
func (r *Reader) Mid() bool { return len(r.partial) > 0 }

// Partial is the start of a line that has not ended yet.
func (r *Reader) Partial() []byte { return r.partial }

// Scan calls fn for each line that ends in piece and keeps the start of the next. It stops at a line that is too long.
func (r *Reader) Scan(piece []byte, fn func(text []byte)) error {
	for len(piece) > 0 {
		text, rest, err := r.Next(piece)
		if err != nil {
			return err
		}
		if text == nil {
			return nil
		}
		fn(text)
		piece = rest
	}
	return nil
}

// Scanner counts lines without keeping any. The zero Scanner is at the start of a line.
type Scanner struct{ partialBytes int }

// NewScanner goes on after the part of a line that another Scanner returned as Partial.
func NewScanner(partialBytes int) Scanner { return Scanner{partialBytes} }

// Mid reports whether the last byte read is inside a line.
func (s *Scanner) Mid() bool { return s.partialBytes > 0 }

// Partial is the number of bytes of a line that has not ended yet.
func (s *Scanner) Partial() int { return s.partialBytes }

// Count calls fn for each line that ends in piece. It stops at a line that is too long.
func (s *Scanner) Count(piece []byte, fn func()) error {
	for len(piece) > 0 {
		end := bytes.IndexByte(piece, '\n')
		if s.partialBytes+max(end+1, 1) > Max || end < 0 && s.partialBytes+len(piece) > Max {
			return ErrTooLong
		}
		if end < 0 {
			s.partialBytes += len(piece)
			return nil
		}
		s.partialBytes = 0
		fn()
		piece = piece[end+1:]
	}
	return nil
}

// Trim cuts the end off a line.
func Trim(text []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(text, []byte("\n")), []byte("\r"))
}

// Printable reports whether a line holds printable ASCII and blanks only.
func Printable(text []byte) bool {
	for _, char := range text {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

// Find returns where the value of a name stands in "name=value,name=value"; from is -1 where the name is absent.
func Find(list []byte, name string) (from, to int) {
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

// Repeated returns a field whose name stands twice, or that has no value, in "name=value,name=value"; else nothing. A
// reader of the first and a reader of the last of two would take the same line for two different requests.
func Repeated(list []byte) string {
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

// FieldsAt is where the list of fields of an OPEN line starts: after its third blank.
func FieldsAt(text []byte) int {
	start := 0
	for range wordsBeforeTheList {
		blank := bytes.IndexByte(text[start:], ' ')
		if blank < 0 {
			return len(text)
		}
		start += blank + 1
	}
	return start
}
