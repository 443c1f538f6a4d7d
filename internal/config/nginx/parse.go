// Package nginx reads nginx configuration files and turns their upstream, server and location blocks into an
// operator's file. Whatever it can't carry over it says, with the place.
package nginx

import (
	"fmt"
	"strings"
)

// directive is one directive with its block, if it has one.
type directive struct {
	name  string
	args  []string
	block []directive
	body  bool // it has a block, be it empty
	line  int
}

// Error says what can't be read or carried, and where.
type Error struct {
	File string
	Line int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

type parser struct {
	file string
	src  string
	at   int
	line int
}

const mostNested = 32

func (p *parser) errorf(line int, format string, args ...any) error {
	return &Error{p.file, line, fmt.Sprintf(format, args...)}
}

// word is one word of the file; a mark is one of ; { } or the end of the file, the empty text.
type word struct {
	text string
	mark bool
	line int
}

// next reads a word: bare, or quoted with ' or ", with \ before what would end it.
func (p *parser) next() (word, error) {
	for p.at < len(p.src) {
		switch c := p.src[p.at]; {
		case c == '\n':
			p.line++
			p.at++
		case c == ' ' || c == '\t' || c == '\r':
			p.at++
		case c == '#':
			if n := strings.IndexByte(p.src[p.at:], '\n'); n >= 0 {
				p.at += n
			} else {
				p.at = len(p.src)
			}
		case c == ';' || c == '{' || c == '}':
			p.at++
			return word{string(c), true, p.line}, nil
		case c == '"' || c == '\'':
			return p.quoted(c)
		default:
			return p.bare()
		}
	}
	return word{"", true, p.line}, nil
}

func (p *parser) quoted(quote byte) (word, error) {
	w := word{line: p.line}
	var b strings.Builder
	for p.at++; p.at < len(p.src); p.at++ {
		c := p.src[p.at]
		switch {
		case c == quote:
			p.at++
			if p.at < len(p.src) && !strings.ContainsRune(" \t\r\n;{}", rune(p.src[p.at])) {
				return w, p.errorf(p.line, "a quoted text must end its word")
			}
			w.text = b.String()
			return w, nil
		case c == '\\' && p.at+1 < len(p.src):
			p.at++
			b.WriteString(unescape(p.src[p.at]))
		default:
			b.WriteByte(c)
		}
		if p.src[p.at] == '\n' {
			p.line++
		}
	}
	return w, p.errorf(w.line, "a quoted text does not end")
}

func (p *parser) bare() (word, error) {
	w := word{line: p.line}
	var b strings.Builder
	for p.at < len(p.src) {
		c := p.src[p.at]
		if strings.IndexByte(" \t\r\n;", c) >= 0 || c == '{' && !strings.HasSuffix(b.String(), "$") || c == '}' && !openVariable(b.String()) {
			break
		}
		if c == '\\' && p.at+1 < len(p.src) {
			p.at++
			b.WriteString(unescape(p.src[p.at]))
			if p.src[p.at] == '\n' {
				p.line++
			}
		} else {
			b.WriteByte(c)
		}
		p.at++
	}
	w.text = b.String()
	return w, nil
}

// openVariable reports whether a ${ waits for its }.
func openVariable(s string) bool { return strings.LastIndex(s, "${") > strings.LastIndexByte(s, '}') }

func unescape(c byte) string {
	switch c {
	case 't':
		return "\t"
	case 'r':
		return "\r"
	case 'n':
		return "\n"
	case '"', '\'', '\\', ' ', ';', '{', '}', '#':
		return string(c)
	}
	return "\\" + string(c) // nginx keeps the backslash before anything else
}

// parse reads a whole file.
func parse(file, src string) ([]directive, error) {
	p := &parser{file: file, src: src, line: 1}
	return p.block(0, 1)
}

func (p *parser) block(depth, opened int) ([]directive, error) {
	if depth > mostNested {
		return nil, p.errorf(p.line, "blocks nest too deep")
	}
	var out []directive
	for {
		w, err := p.next()
		if err != nil {
			return nil, err
		}
		if w.mark {
			switch {
			case w.text == "}" && depth > 0, w.text == "" && depth == 0:
				return out, nil
			case w.text == "":
				return nil, p.errorf(opened, "the block does not end")
			}
			return nil, p.errorf(w.line, "unexpected %q", w.text)
		}
		d := directive{name: w.text, line: w.line}
		for !d.body {
			w, err := p.next()
			if err != nil {
				return nil, err
			}
			if !w.mark {
				d.args = append(d.args, w.text)
				continue
			}
			if w.text == "{" {
				d.body = true
				if d.block, err = p.block(depth+1, w.line); err != nil {
					return nil, err
				}
				break
			}
			if w.text == ";" {
				break
			}
			return nil, p.errorf(d.line, "%q is not ended by ;", d.name)
		}
		out = append(out, d)
	}
}
