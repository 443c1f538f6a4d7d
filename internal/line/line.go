// Package line reads the platform's lines incrementally: CRLF ends a line, and none is longer than 4 KiB.
package line

import (
	"bytes"
	"errors"
)

// Max is the longest line, its CRLF included.
const Max = 4 << 10

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

// Scan calls fn for each line that ends in p. Of a line that is too long only the start is kept and shown.
func (r *Reader) Scan(p []byte, fn func(l []byte)) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			r.part = append(r.part, p[:min(len(p), Max-len(r.part))]...)
			return
		}
		if len(r.part) == 0 {
			fn(p[:i+1])
		} else {
			l := append(r.part, p[:min(i+1, Max-len(r.part))]...)
			r.part = r.part[:0]
			fn(l)
		}
		p = p[i+1:]
	}
}

// Scanner counts lines without keeping any.
type Scanner struct{ Mid bool } // Mid: the last byte seen is inside a line

// Count calls fn for each line that ends in p.
func (s *Scanner) Count(p []byte, fn func()) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			s.Mid = true
			return
		}
		s.Mid = false
		fn()
		p = p[i+1:]
	}
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
