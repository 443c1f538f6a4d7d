package nginx

import (
	"fmt"
	"strings"
)

// token is a word or a delimiter. A delimiter is one of ; { } or the end of the file, which has an empty text.
type token struct {
	text      string
	delimiter bool
	line      int
}

// lexer splits a file into tokens.
type lexer struct {
	file     string
	source   string
	position int
	line     int
}

func (l *lexer) errorf(line int, format string, args ...any) error {
	return &Error{l.file, line, fmt.Sprintf(format, args...)}
}

// next reads a token. A word is bare or quoted with ' or ". A backslash escapes a character that would end the word.
func (l *lexer) next() (token, error) {
	for l.position < len(l.source) {
		switch char := l.source[l.position]; char {
		case '\n':
			l.line++
			l.position++
		case ' ', '\t', '\r':
			l.position++
		case '#':
			l.skipComment()
		case ';', '{', '}':
			l.position++
			return token{string(char), true, l.line}, nil
		case '"', '\'':
			return l.quoted(char)
		default:
			return l.bare(), nil
		}
	}
	return token{"", true, l.line}, nil
}

// skipComment skips to the end of the line.
func (l *lexer) skipComment() {
	length := strings.IndexByte(l.source[l.position:], '\n')
	if length < 0 {
		l.position = len(l.source)
		return
	}
	l.position += length
}

func (l *lexer) quoted(quote byte) (token, error) {
	word := token{line: l.line}
	var text strings.Builder
	for l.position++; l.position < len(l.source); l.position++ {
		char := l.source[l.position]
		switch {
		case char == quote:
			l.position++
			if l.position < len(l.source) && !strings.ContainsRune(" \t\r\n;{}", rune(l.source[l.position])) {
				return word, l.errorf(l.line, "a quoted text must be followed by white space, ;, { or }")
			}
			word.text = text.String()
			return word, nil
		case char == '\\' && l.position+1 < len(l.source):
			l.position++
			text.WriteString(unescape(l.source[l.position]))
		default:
			text.WriteByte(char)
		}
		if l.source[l.position] == '\n' {
			l.line++
		}
	}
	return word, l.errorf(word.line, "a quoted text does not end")
}

func (l *lexer) bare() token {
	word := token{line: l.line}
	var text strings.Builder
	for l.position < len(l.source) {
		char := l.source[l.position]
		if endsBareWord(char, text.String()) {
			break
		}
		if char == '\\' && l.position+1 < len(l.source) {
			l.position++
			text.WriteString(unescape(l.source[l.position]))
			if l.source[l.position] == '\n' {
				l.line++
			}
		} else {
			text.WriteByte(char)
		}
		l.position++
	}
	word.text = text.String()
	return word
}

// endsBareWord reports whether a character ends the given word, which precedes it. The braces of a ${variable} don't.
func endsBareWord(char byte, word string) bool {
	switch char {
	case ' ', '\t', '\r', '\n', ';':
		return true
	case '{':
		return !strings.HasSuffix(word, "$")
	case '}':
		return strings.LastIndex(word, "${") <= strings.LastIndexByte(word, '}')
	default:
		return false
	}
}

// unescape returns the text that a backslash followed by the character represents.
func unescape(char byte) string {
	switch char {
	case 't':
		return "\t"
	case 'r':
		return "\r"
	case 'n':
		return "\n"
	case '"', '\'', '\\', ' ', ';', '{', '}', '#':
		return string(char)
	}
	return "\\" + string(char) // nginx keeps the backslash before anything else
}
