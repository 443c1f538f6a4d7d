package nginx

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"spurwinch/internal/config"
)

// Import turns an nginx configuration into an operator's file. The warnings name what was not carried over; an error
// means that there is no file, and joins all that stands in the way.
func Import(file, src string) (out []byte, warnings []string, err error) {
	tree, err := parse(file, src)
	if err != nil {
		return nil, nil, err
	}
	c := &converter{file: file, upstreams: map[string]*upstream{}, domains: map[string]domain{}}
	c.main(tree)
	for _, u := range sorted(c.upstreams) {
		if !u.used && u.line > 0 {
			c.warn(u.line, "upstream %s is not used by any proxy_pass that is carried over", u.Name)
		}
	}
	for _, u := range c.used {
		c.o.Clusters = append(c.o.Clusters, u.Cluster)
	}
	if len(c.o.Domains) == 0 && len(c.errs) == 0 {
		c.fail(1, "no server with a proxy_pass")
	}
	slices.SortStableFunc(c.warnings, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	for _, w := range c.warnings {
		warnings = append(warnings, w.Error())
	}
	if len(c.errs) > 0 {
		slices.SortStableFunc(c.errs, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
		var all []error
		for _, e := range c.errs {
			all = append(all, e)
		}
		return nil, warnings, errors.Join(all...)
	}
	var b bytes.Buffer
	b.WriteString("# Made from an nginx configuration. The times and sizes that nginx doesn't know are the program's usual ones.\n\n")
	enc := toml.NewEncoder(&b)
	enc.Indent = ""
	err = enc.Encode(c.o)
	return b.Bytes(), warnings, err
}

type converter struct {
	file      string
	o         config.Operator
	upstreams map[string]*upstream
	used      []*upstream
	domains   map[string]domain
	warnings  []*Error
	errs      []*Error
}

type upstream struct {
	config.Cluster
	line     int
	used     bool
	settings string // the proxy settings of its first use
}

type domain struct {
	cluster string
	line    int
}

// proxy is what a block inherits from those round it.
type proxy struct {
	connect time.Duration
	tries   int
	next    bool // other hosts are tried
}

func (c *converter) warn(line int, format string, args ...any) {
	c.warnings = append(c.warnings, &Error{c.file, line, "warning: " + fmt.Sprintf(format, args...)})
}

func (c *converter) fail(line int, format string, args ...any) {
	c.errs = append(c.errs, &Error{c.file, line, "error: " + fmt.Sprintf(format, args...)})
}

func (c *converter) notCarried(d directive) { c.warn(d.line, "%s is not carried over", d.name) }

func (c *converter) main(tree []directive) {
	for _, d := range tree {
		switch {
		case d.name == "http" || d.name == "stream":
			c.context(d)
		case d.name == "events":
			for _, e := range d.block {
				if n, err := strconv.Atoi(arg(e)); e.name == "worker_connections" && err == nil && n > 0 {
					c.o.Limits.Connections = n
				} else {
					c.notCarried(e)
				}
			}
		case d.name == "upstream" || d.name == "server": // a file that is included in http
			c.context(directive{name: "http", block: tree, body: true, line: 1})
			return
		case d.name == "include":
			c.warn(d.line, "include is not followed: import %s by itself", arg(d))
		default:
			c.notCarried(d)
		}
	}
}

func (c *converter) context(ctx directive) {
	for _, d := range ctx.block {
		if d.name == "upstream" {
			c.upstream(d)
		}
	}
	p := proxy{next: true}
	var servers []directive
	for _, d := range ctx.block {
		switch {
		case d.name == "upstream":
		case d.name == "server":
			servers = append(servers, d)
		case d.name == "include":
			c.warn(d.line, "include is not followed: import %s by itself", arg(d))
		case d.name == "client_header_timeout":
			c.o.Limits.HeaderTime = config.Duration(c.time(d))
		case !c.proxySetting(d, &p):
			c.notCarried(d)
		}
	}
	for _, d := range servers {
		c.server(d, p, ctx.name == "stream")
	}
}

func sorted(m map[string]*upstream) []*upstream {
	var out []*upstream
	for _, u := range m {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *upstream) int { return cmp.Compare(a.line, b.line) })
	return out
}

// proxySetting takes a directive that a block passes on to those in it.
func (c *converter) proxySetting(d directive, p *proxy) bool {
	switch d.name {
	case "proxy_connect_timeout":
		p.connect = c.time(d)
	case "proxy_next_upstream_tries":
		n, err := strconv.Atoi(arg(d))
		if err != nil || n < 0 {
			c.fail(d.line, "proxy_next_upstream_tries %q is no count", arg(d))
		}
		if n > config.MostAttempts || n == 0 {
			c.warn(d.line, "at most %d hosts are tried", config.MostAttempts)
			n = config.MostAttempts
		}
		p.tries = n
	case "proxy_next_upstream":
		p.next = arg(d) != "off"
		if p.next {
			c.warn(d.line, "proxy_next_upstream: which failures are tried again is not carried over: all are, until a byte has reached the client")
		}
	default:
		return false
	}
	return true
}

func (c *converter) upstream(d directive) {
	if len(d.args) != 1 {
		c.fail(d.line, "upstream needs one name")
		return
	}
	u := &upstream{line: d.line, Cluster: config.Cluster{Name: arg(d)}}
	if c.upstreams[u.Name] != nil {
		c.fail(d.line, "upstream %s stands twice", u.Name)
		return
	}
	c.upstreams[u.Name] = u
	for _, s := range d.block {
		switch s.name {
		case "server":
			c.host(u, s)
		case "least_conn", "ip_hash", "hash", "random", "least_time":
			c.warn(s.line, "%s is not carried over: hosts are chosen by predicted load", s.name)
		default:
			c.notCarried(s)
		}
	}
	if len(u.Hosts) == 0 {
		c.fail(d.line, "upstream %s has no server that can be carried over", u.Name)
	}
}

func (c *converter) host(u *upstream, s directive) {
	if len(s.args) == 0 {
		c.fail(s.line, "server needs an address")
		return
	}
	addr, err := address(s.args[0])
	if err != nil {
		c.fail(s.line, "server %s: %v", s.args[0], err)
		return
	}
	h := config.Host{ID: addr, Addr: addr}
	for _, a := range s.args[1:] {
		name, value, _ := strings.Cut(a, "=")
		switch name {
		case "weight":
			n, err := strconv.Atoi(value)
			if err != nil || n < 1 {
				c.fail(s.line, "weight %q is no count", value)
			}
			h.Weight = float64(n)
		case "down":
			h.State = "draining"
		case "slow_start":
			t, err := duration(value)
			if err != nil {
				c.fail(s.line, "slow_start %q is no time", value)
			}
			u.WarmUp = max(u.WarmUp, config.Duration(t))
		case "backup":
			c.warn(s.line, "backup is not carried over: server %s is left out", s.args[0])
			return
		case "max_fails", "fail_timeout":
			c.warn(s.line, "%s is not carried over: failing hosts are left out by the program's own measure", name)
		case "max_conns":
			c.warn(s.line, "max_conns is not carried over: set the cluster's sessions")
		default:
			c.warn(s.line, "server parameter %s is not carried over", name)
		}
	}
	for _, o := range u.Hosts {
		if o.Addr == addr {
			c.warn(s.line, "server %s stands twice: the first is kept", addr)
			return
		}
	}
	u.Hosts = append(u.Hosts, h)
}

// address is IP:PORT; nginx's default port is 80.
func address(a string) (string, error) {
	if strings.HasPrefix(a, "unix:") {
		return "", errors.New("unix sockets are not carried over")
	}
	if ap, err := netip.ParseAddrPort(a); err == nil {
		return ap.String(), nil
	}
	if ip, err := netip.ParseAddr(strings.Trim(a, "[]")); err == nil {
		return netip.AddrPortFrom(ip, 80).String(), nil
	}
	return "", errors.New("not an IP address: names are not looked up")
}

// place is a proxy_pass and where it stands.
type place struct {
	path string
	pass directive
	p    proxy
}

func (c *converter) server(d directive, p proxy, stream bool) {
	var listen, names, locations []directive
	var places []place
	for _, s := range d.block {
		switch {
		case s.name == "listen":
			listen = append(listen, s)
		case s.name == "server_name":
			names = append(names, s)
		case s.name == "location":
			locations = append(locations, s)
		case s.name == "proxy_pass":
			places = append(places, place{"/", s, p})
		case strings.HasPrefix(s.name, "ssl_certificate"), s.name == "ssl":
			c.warn(s.line, "%s is not carried over: TLS is not spoken", s.name)
		case !c.proxySetting(s, &p):
			c.notCarried(s)
		}
	}
	for i := range places {
		places[i].p = p
	}
	for _, l := range locations {
		places = append(places, c.location(l, p)...)
	}
	if len(places) == 0 {
		c.warn(d.line, "server without a proxy_pass is not carried over")
		return
	}
	// An XMPP stream names a domain and no path: one location stands for the whole server.
	at := slices.IndexFunc(places, func(p place) bool { return p.path == "/" })
	if at < 0 {
		at = 0
		c.warn(places[0].pass.line, "location %s stands for the whole server: a stream has no path", places[0].path)
	}
	for i, o := range places {
		if i != at {
			c.warn(o.pass.line, "location %s is not carried over: a stream has no path", o.path)
		}
	}
	cluster := c.pass(places[at])
	if cluster == "" {
		return
	}
	isDefault := c.listen(listen, d.line, stream)
	c.names(names, d.line, cluster, stream || isDefault)
}

func (c *converter) location(l directive, p proxy) []place {
	path := strings.Join(l.args, " ")
	if len(l.args) == 2 && (l.args[0] == "=" || l.args[0] == "^~") {
		path = l.args[1]
	}
	var out []place
	var nested []directive
	var pass *directive
	for _, s := range l.block {
		switch {
		case s.name == "proxy_pass":
			pass = &s
		case s.name == "location":
			nested = append(nested, s)
		case !c.proxySetting(s, &p):
			c.notCarried(s)
		}
	}
	if pass != nil {
		out = append(out, place{path, *pass, p})
	} else if len(nested) == 0 {
		c.warn(l.line, "location %s without a proxy_pass is not carried over", path)
	}
	for _, n := range nested {
		out = append(out, c.location(n, p)...)
	}
	return out
}

// pass finds or makes the cluster of a proxy_pass.
func (c *converter) pass(pl place) string {
	d, to := pl.pass, arg(pl.pass)
	if strings.Contains(to, "$") {
		c.fail(d.line, "proxy_pass %s: variables are not carried over", to)
		return ""
	}
	if strings.HasPrefix(to, "https://") {
		c.fail(d.line, "proxy_pass %s: TLS is not spoken", to)
		return ""
	}
	to = strings.TrimPrefix(to, "http://")
	if host, path, ok := strings.Cut(to, "/"); ok && !strings.HasPrefix(to, "unix:") {
		if path != "" {
			c.warn(d.line, "proxy_pass: the path /%s is not carried over", path)
		}
		to = host
	}
	u := c.upstreams[to]
	if u == nil {
		addr, err := address(to)
		if err != nil {
			c.fail(d.line, "proxy_pass %s: no such upstream, and %v", to, err)
			return ""
		}
		u = &upstream{Cluster: config.Cluster{Name: addr, Hosts: []config.Host{{ID: addr, Addr: addr}}}}
		c.upstreams[to] = u
	}
	tries := pl.p.tries
	if !pl.p.next {
		tries = 1
	}
	settings := fmt.Sprint(pl.p.connect, tries)
	if u.used && u.settings != settings {
		c.warn(d.line, "proxy settings differ from those of an earlier use of %s, which are kept", u.Name)
	}
	if !u.used {
		u.used, u.settings = true, settings
		u.ConnectTimeout, u.Attempts = config.Duration(pl.p.connect), tries
		c.used = append(c.used, u)
	}
	return u.Name
}

func (c *converter) listen(listen []directive, line int, stream bool) (isDefault bool) {
	if len(listen) == 0 {
		listen = []directive{{name: "listen", args: []string{"80"}, line: line}}
	}
	for _, l := range listen {
		a := arg(l)
		var at netip.AddrPort
		port, err := strconv.ParseUint(strings.TrimPrefix(a, "*:"), 10, 16)
		if err == nil && port > 0 {
			at = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(port))
		} else if addr, err := address(a); err == nil {
			at = netip.MustParseAddrPort(addr)
		} else {
			c.fail(l.line, "listen %s: %v", a, err)
			continue
		}
		skip := false
		for _, flag := range l.args[1:] {
			switch flag {
			case "default_server":
				isDefault = true
			case "ssl", "quic", "udp":
				c.fail(l.line, "listen %s %s: neither TLS nor UDP is spoken", a, flag)
				skip = true
			default:
				c.warn(l.line, "listen parameter %s is not carried over", flag)
			}
		}
		ls := config.Listener{Addr: at.String(), Protocol: "xmpp"}
		if !skip && !slices.Contains(c.o.Listeners, ls) {
			c.o.Listeners = append(c.o.Listeners, ls)
		}
	}
	return isDefault
}

func (c *converter) names(names []directive, line int, cluster string, all bool) {
	add := func(name string, line int) {
		name = strings.ToLower(name)
		if d, ok := c.domains[name]; ok {
			if d.cluster != cluster {
				c.fail(line, "server_name %s already goes to %s (line %d)", name, d.cluster, d.line)
			}
			return
		}
		c.domains[name] = domain{cluster, line}
		c.o.Domains = append(c.o.Domains, config.Domain{Name: name, Cluster: cluster})
	}
	for _, d := range names {
		for _, n := range d.args {
			switch {
			case n == "" || n == "_":
				all = true
			case strings.ContainsAny(n, "*~$") || n[0] == '.':
				c.warn(d.line, "server_name %s is not carried over: only whole names are", n)
			default:
				add(n, d.line)
			}
		}
	}
	if all || len(names) == 0 {
		add("*", line)
	}
}

func (c *converter) time(d directive) time.Duration {
	t, err := duration(arg(d))
	if err != nil || t <= 0 {
		c.fail(d.line, "%s %q is no time", d.name, arg(d))
	}
	return t
}

// duration reads nginx's times: seconds where there is no unit, and sums like 1m30s.
func duration(s string) (time.Duration, error) {
	if n, err := strconv.ParseUint(s, 10, 31); err == nil {
		return time.Duration(n) * time.Second, nil
	}
	return time.ParseDuration(strings.ReplaceAll(s, " ", ""))
}

func arg(d directive) string {
	if len(d.args) == 0 {
		return ""
	}
	return d.args[0]
}

// Command imports the file at path: the operator's file goes to out, what could not be carried over to notes. An error
// means that nothing was written to out.
func Command(path string, out, notes io.Writer) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, warnings, err := Import(path, string(src))
	for _, w := range warnings {
		fmt.Fprintln(notes, w)
	}
	if err != nil {
		return err
	}
	_, err = out.Write(file)
	return err
}
