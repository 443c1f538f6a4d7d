// Package line reads the platform's lines incrementally: CRLF ends a line, and none is longer than 4 KiB.
package line

import (
	"bytes"
	"errors"
	"slices"
)

// Max is the longest line, its CRLF included.
const Max = 4 << 10

const mostFields = 32 // in a list of names and values; none has that many

// ErrTooLong says that a line runs past Max.
var ErrTooLong = errors.New("line too long")

// Reader puts lines together from pieces.
type Reader struct{ part []byte }

// Next takes a piece and returns the first line in it, with its end, and what follows. The line is nil where the
// piece holds no end; it is kept then. A line is valid until the next call, unless it came in pieces.
func (r *Reader) Next(p []byte) (l, rest []byte, err error) {
	i := bytes.IndexByte(p, '\n')
	if i < 0 {
		if len(r.part)+len(p) > Max {
			return nil, nil, ErrTooLong
		}
		r.part = append(r.part, p...)
		return nil, nil, nil
	}
	l, rest = p[:i+1], p[i+1:]
	if len(r.part) > 0 {
		l = append(r.part, l...)
		r.part = nil
	}
	if len(l) > Max {
		return nil, nil, ErrTooLong
	}
	return l, rest, nil
}

// Mid reports whether the last byte seen is inside a line.
func (r *Reader) Mid() bool { return len(r.part) > 0 }

// Part is the start of a line that has not ended yet.
func (r *Reader) Part() []byte { return r.part }

// NewReader goes on behind a Part.
func NewReader(part []byte) Reader { return Reader{part} }

// Scan calls fn for each line that ends in p and keeps the start of the next. It stops at a line that is too long.
func (r *Reader) Scan(p []byte, fn func(l []byte)) error {
	for len(p) > 0 {
		l, rest, err := r.Next(p)
		if err != nil {
			return err
		}
		if l == nil {
			return nil
		}
		fn(l)
		p = rest
	}
	return nil
}

// Scanner counts lines without keeping any.
type Scanner struct{ part int }

// Mid reports whether the last byte seen is inside a line.
func (s *Scanner) Mid() bool { return s.part > 0 }

// Part is how much of a line has come that has not ended yet.
func (s *Scanner) Part() int { return s.part }

// NewScanner goes on behind a Part.
func NewScanner(part int) Scanner { return Scanner{part} }

// Count calls fn for each line that ends in p. It stops at a line that is too long.
func (s *Scanner) Count(p []byte, fn func()) error {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if s.part+max(i+1, 1) > Max || i < 0 && s.part+len(p) > Max {
			return ErrTooLong
		}
		if i < 0 {
			s.part += len(p)
			return nil
		}
		s.part = 0
		fn()
		p = p[i+1:]
	}
	return nil
}

// Trim takes the end off a line.
func Trim(l []byte) []byte { return bytes.TrimSuffix(bytes.TrimSuffix(l, []byte("\n")), []byte("\r")) }

// Printable reports whether a line holds printable ASCII and blanks only.
func Printable(l []byte) bool {
	for _, b := range l {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}

// Find returns where the value of a name stands in "name=value,name=value"; from is -1 where it is absent.
func Find(list []byte, name string) (from, to int) {
	if name == "" {
		return -1, -1
	}
	for at := 0; at < len(list); {
		end := bytes.IndexByte(list[at:], ',')
		if end < 0 {
			end = len(list)
			for end > at && (list[end-1] == '\n' || list[end-1] == '\r') {
				end--
			}
		} else {
			end += at
		}
		if eq := bytes.IndexByte(list[at:end], '='); eq == len(name) && string(list[at:at+eq]) == name {
			return at + eq + 1, end
		}
		at = end + 1
	}
	return -1, -1
}

// Repeated returns a name that stands twice or without a value in "name=value,name=value", else nothing. Who reads the
// first of two and who reads the last would take the same line for two different requests.
func Repeated(list []byte) string {
	var seen [mostFields][]byte
	n := 0
	for f := range bytes.SplitSeq(list, []byte(",")) {
		name, _, ok := bytes.Cut(f, []byte("="))
		if !ok || n == mostFields || slices.ContainsFunc(seen[:n], func(o []byte) bool { return bytes.Equal(o, name) }) {
			return string(f)
		}
		seen[n], n = name, n+1
	}
	return ""
}

// FieldsAt is where the list of an OPEN line starts: after its third blank.
func FieldsAt(l []byte) int {
	at := 0
	for range 3 {
		i := bytes.IndexByte(l[at:], ' ')
		if i < 0 {
			return len(l)
		}
		at += i + 1
	}
	return at
}
