package nginx

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"

	"github.com/BurntSushi/toml"

	"spurwinch/internal/config"
)

const fileComment = "# Made from an nginx configuration. " +
	"The times and sizes that nginx doesn't know are the program's usual ones.\n\n"

// Command imports the file at path. It writes the operator's file to out and the warnings about directives that could
// not be converted to notes. On an error it writes nothing to out.
func Command(path string, out, notes io.Writer) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, warnings, err := Import(path, string(source))
	for _, warning := range warnings {
		_, _ = fmt.Fprintln(notes, warning) // the operator's file is useful even without the warnings
	}
	if err != nil {
		return err
	}
	_, err = out.Write(file)
	return err
}

// Import converts the text of an nginx configuration to an operator's file. The warnings name what was not converted.
// On an error there is no operator's file; the error is one *Error or several joined ones, unless encoding the file
// fails.
func Import(file, source string) (out []byte, warnings []string, err error) {
	directives, err := parse(file, source)
	if err != nil {
		return nil, nil, err
	}
	c := &converter{report: report{file: file}, upstreams: map[string]*upstream{}, domains: map[string]domain{}}
	c.convert(directives)
	warnings = c.warningTexts()
	if err := c.err(); err != nil {
		return nil, warnings, err
	}
	out, err = encode(c.operator)
	return out, warnings, err
}

func encode(operator config.Operator) ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteString(fileComment)
	encoder := toml.NewEncoder(&buf)
	encoder.Indent = ""
	err := encoder.Encode(operator)
	return buf.Bytes(), err
}

// converter builds the operator's file of one import.
type converter struct {
	report
	operator  config.Operator
	upstreams map[string]*upstream // by name, or by address if a proxy_pass names no upstream
	used      []*upstream          // in the order of their first use
	domains   map[string]domain    // by name
}

// convert converts all directives of a file.
func (c *converter) convert(directives []directive) {
	c.convertMain(directives)
	for _, block := range slices.SortedFunc(maps.Values(c.upstreams), compareLines) {
		if !block.used && block.line > 0 {
			c.warn(block.line, "upstream %s is not used by any proxy_pass that is carried over", block.Name)
		}
	}
	for _, used := range c.used {
		c.operator.Clusters = append(c.operator.Clusters, used.Cluster)
	}
	if len(c.operator.Domains) == 0 && len(c.errors) == 0 {
		c.fail(1, "there must be a server with a proxy_pass that can be converted")
	}
}

func compareLines(a, b *upstream) int { return cmp.Compare(a.line, b.line) }

// convertMain converts the top-level directives.
func (c *converter) convertMain(directives []directive) {
	for _, outer := range directives {
		switch outer.name {
		case "http", "stream":
			c.convertContext(outer.block, outer.name == "stream")
		case "events":
			c.convertEvents(outer.block)
		case "upstream", "server": // a file that an http block includes
			c.convertContext(directives, false)
			return
		case "include":
			c.warnInclude(outer)
		default:
			c.warnUnsupported(outer)
		}
	}
}

// convertEvents converts the directives of an events block.
func (c *converter) convertEvents(block []directive) {
	for _, inner := range block {
		connections, err := strconv.Atoi(inner.firstArg())
		if inner.name != "worker_connections" || err != nil || connections < 1 {
			c.warnUnsupported(inner)
			continue
		}
		c.operator.Limits.Connections = connections
	}
}

// convertContext converts the directives of an http or stream block. It converts servers last, because they may precede
// the upstreams and settings that they use.
func (c *converter) convertContext(block []directive, isStream bool) {
	for _, inner := range block {
		if inner.name == "upstream" {
			c.convertUpstream(inner)
		}
	}
	inherited := proxySettings{retry: true}
	var servers []directive
	for _, inner := range block {
		switch inner.name {
		case "upstream":
		case "server":
			servers = append(servers, inner)
		case "include":
			c.warnInclude(inner)
		case "client_header_timeout":
			c.operator.Limits.HeaderTime = config.Duration(c.positiveDuration(inner))
		default:
			if !c.convertProxySetting(inner, &inherited) {
				c.warnUnsupported(inner)
			}
		}
	}
	for _, server := range servers {
		c.convertServer(server, inherited, isStream)
	}
}
