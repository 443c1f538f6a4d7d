package nginx

// maxDepth limits the nesting of blocks.
const maxDepth = 32

// directive is one directive with its arguments and its block, if it has one.
type directive struct {
	name  string
	args  []string
	block []directive
	line  int
}

// firstArg returns the first argument, or "" if there is none.
func (d directive) firstArg() string {
	if len(d.args) == 0 {
		return ""
	}
	return d.args[0]
}

// parse parses the text of a file. The error is an *Error.
func parse(file, source string) ([]directive, error) {
	p := &parser{lexer{file: file, source: source, line: 1}}
	return p.block(0, 1)
}

// parser builds the tree of directives.
type parser struct{ lexer }

// block parses the directives up to the end of their block, which at depth 0 is the end of the file. line is the line
// where the block begins.
func (p *parser) block(depth, line int) ([]directive, error) {
	if depth > maxDepth {
		return nil, p.errorf(p.line, "blocks are nested too deeply, at most 32 levels are allowed")
	}
	var directives []directive
	for {
		first, err := p.next()
		if err != nil {
			return nil, err
		}
		if first.delimiter {
			return directives, p.checkEnd(first, depth, line)
		}
		next, err := p.directive(first, depth)
		if err != nil {
			return nil, err
		}
		directives = append(directives, next)
	}
}

// checkEnd checks that a delimiter that takes the place of a directive ends the block.
func (p *parser) checkEnd(end token, depth, line int) error {
	atEOF := end.text == ""
	switch {
	case atEOF && depth == 0, end.text == "}" && depth > 0:
		return nil
	case atEOF:
		return p.errorf(line, "the block does not end")
	default:
		return p.errorf(end.line, "unexpected %q", end.text)
	}
}

// directive parses the arguments after the name, and the block.
func (p *parser) directive(name token, depth int) (directive, error) {
	parsed := directive{name: name.text, line: name.line}
	for {
		next, err := p.next()
		if err != nil {
			return directive{}, err
		}
		switch {
		case !next.delimiter:
			parsed.args = append(parsed.args, next.text)
		case next.text == "{":
			parsed.block, err = p.block(depth+1, next.line)
			return parsed, err
		case next.text == ";":
			return parsed, nil
		default:
			return directive{}, p.errorf(parsed.line, "directive %q must end with ;", parsed.name)
		}
	}
}
