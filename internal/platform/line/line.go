// Package line reads the lines of the platform's protocol incrementally. A line ends with CRLF and is at most 4 KiB
// long.
package line

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
)

// MaxBytes is the maximum length of a line in bytes, including its CRLF.
const MaxBytes = 4 << 10

const (
	maxFields         = 32 // maximum number of fields in a line; the protocol defines fewer
	wordsBeforeFields = 3  // OPEN, the id and the key precede the fields of an OPEN line
)

// ErrTooLong is returned for a line that is longer than MaxBytes.
var ErrTooLong = errors.New("line is longer than 4096 bytes")

// Reader assembles lines from pieces of a byte stream. The zero Reader is at the start of a line.
type Reader struct{ partial []byte }

// NewReader returns a Reader that continues the unfinished line that another Reader returned from Partial.
func NewReader(partial []byte) Reader { return Reader{partial} }

// Next returns the first line that ends in piece, including its line ending, and the bytes after it. If no line ends in
// piece, Next buffers the piece and returns a nil line. A line that arrived in one piece is part of that piece and only
// valid until the next call. A line assembled from several pieces stays valid. The only error is ErrTooLong.
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

// MidLine reports whether the bytes read so far end within a line.
func (r *Reader) MidLine() bool { return len(r.partial) > 0 }

// Partial returns the buffered bytes of the unfinished line.
func (r *Reader) Partial() []byte { return r.partial }

// Scan calls onLine for each line that ends in piece and buffers the start of the next line. It returns ErrTooLong at
// the first line that is too long.
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

// Scanner finds the ends of lines without buffering them. The zero Scanner is at the start of a line.
type Scanner struct{ partialBytes int }

// NewScanner returns a Scanner that continues an unfinished line. partialBytes is the PartialBytes of another Scanner.
func NewScanner(partialBytes int) Scanner { return Scanner{partialBytes} }

// MidLine reports whether the bytes read so far end within a line.
func (s *Scanner) MidLine() bool { return s.partialBytes > 0 }

// PartialBytes returns the number of bytes counted in the unfinished line.
func (s *Scanner) PartialBytes() int { return s.partialBytes }

// Count calls onLine for each line that ends in piece. It returns ErrTooLong at the first line that is too long.
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

// Printable reports whether a line contains only printable ASCII characters and spaces.
func Printable(text []byte) bool {
	for _, char := range text {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

// ParseNumber parses a finite, non-negative number in any form that strconv.ParseFloat accepts, and reports whether it
// is valid.
func ParseNumber(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64) // also accepts NaN and Inf, which are rejected below
	return number, err == nil && number >= 0 && !math.IsInf(number, 0)
}

// FindField returns the start and end of the value of the named field in "name=value,name=value". If the field is
// absent, both are -1.
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

// fieldEnd returns the end of the field that begins at start. A field ends at the next comma or, if there is none,
// before the line ending.
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

// InvalidField returns the first field of "name=value,name=value" that lacks "=", repeats an earlier name or exceeds
// the maximum number of fields. It returns "" if all fields are valid. Repeated names are invalid because one server
// may read the first value and another server the last: the same line would mean two different requests.
func InvalidField(list []byte) string {
	var names [maxFields][]byte
	count := 0
	for field := range bytes.SplitSeq(list, []byte(",")) {
		name, _, hasValue := bytes.Cut(field, []byte("="))
		sameName := func(other []byte) bool { return bytes.Equal(other, name) }
		if !hasValue || count == maxFields || slices.ContainsFunc(names[:count], sameName) {
			return string(field)
		}
		names[count] = name
		count++
	}
	return ""
}

// FieldsStart returns the index at which the list of fields of an OPEN line starts, which is after its third space. If
// there is no third space, it returns the length of the line.
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
