package nginx

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"spurwinch/internal/config"
)

// anyDomain is the name in an operator's file that matches all domains without an entry.
const anyDomain = "*"

// domain is the cluster of a server_name and the first line that sets it.
type domain struct {
	cluster string
	line    int
}

// serverDirectives holds the directives of a server block, grouped by kind.
type serverDirectives struct {
	listen, names, locations []directive
	passes                   []proxyPass
	settings                 proxySettings
}

// convertServer converts a server block. In a stream block the server serves all domains.
func (c *converter) convertServer(server directive, inherited proxySettings, isStream bool) {
	parts := c.groupServerDirectives(server, inherited)
	passes := parts.passes
	for _, location := range parts.locations {
		passes = append(passes, c.collectPasses(location, parts.settings)...)
	}
	if len(passes) == 0 {
		c.warn(server.line, "server without a proxy_pass is not carried over")
		return
	}
	cluster := c.convertProxyPass(c.choosePass(passes))
	if cluster == "" {
		return
	}
	isDefault := c.convertListen(parts.listen, server.line)
	c.convertNames(parts.names, server.line, cluster, isStream || isDefault)
}

func (c *converter) groupServerDirectives(server directive, inherited proxySettings) serverDirectives {
	parts := serverDirectives{settings: inherited}
	for _, inner := range server.block {
		switch {
		case inner.name == "listen":
			parts.listen = append(parts.listen, inner)
		case inner.name == "server_name":
			parts.names = append(parts.names, inner)
		case inner.name == "location":
			parts.locations = append(parts.locations, inner)
		case inner.name == "proxy_pass":
			parts.passes = append(parts.passes, proxyPass{path: "/", directive: inner})
		case strings.HasPrefix(inner.name, "ssl_certificate"), inner.name == "ssl":
			c.warn(inner.line, "%s is not carried over: TLS is not spoken", inner.name)
		case !c.convertProxySetting(inner, &parts.settings):
			c.warnUnsupported(inner)
		}
	}
	for i := range parts.passes { // settings after a proxy_pass apply to it as well
		parts.passes[i].settings = parts.settings
	}
	return parts
}

// choosePass returns the proxy_pass that is used for the whole server, because an XMPP stream names a domain and no
// path. It prefers the one with the path "/".
func (c *converter) choosePass(passes []proxyPass) proxyPass {
	chosen := slices.IndexFunc(passes, func(pass proxyPass) bool { return pass.path == "/" })
	if chosen < 0 {
		chosen = 0
		first := passes[chosen]
		c.warn(first.directive.line, "location %s stands for the whole server: a stream has no path", first.path)
	}
	for i, other := range passes {
		if i != chosen {
			c.warn(other.directive.line, "location %s is not carried over: a stream has no path", other.path)
		}
	}
	return passes[chosen]
}

// collectPasses returns the proxy_pass directives of a location block and of the locations nested in it.
func (c *converter) collectPasses(location directive, settings proxySettings) []proxyPass {
	path := locationPath(location)
	var nested []directive
	var pass *directive
	for _, inner := range location.block {
		switch {
		case inner.name == "proxy_pass":
			pass = &inner
		case inner.name == "location":
			nested = append(nested, inner)
		case !c.convertProxySetting(inner, &settings):
			c.warnUnsupported(inner)
		}
	}
	var passes []proxyPass
	if pass != nil {
		passes = append(passes, proxyPass{path: path, directive: *pass, settings: settings})
	} else if len(nested) == 0 {
		c.warn(location.line, "location %s without a proxy_pass is not carried over", path)
	}
	for _, inner := range nested {
		passes = append(passes, c.collectPasses(inner, settings)...)
	}
	return passes
}

// locationPath returns the path of a location. For a regular expression it includes the modifier.
func locationPath(location directive) string {
	if len(location.args) == 2 && (location.args[0] == "=" || location.args[0] == "^~") {
		return location.args[1]
	}
	return strings.Join(location.args, " ")
}

// convertListen adds the listeners of a server and reports whether the server is the default server of one of them.
func (c *converter) convertListen(listens []directive, serverLine int) (isDefault bool) {
	if len(listens) == 0 {
		listens = []directive{{name: "listen", args: []string{strconv.Itoa(defaultPort)}, line: serverLine}}
	}
	for _, listen := range listens {
		address, err := listenAddress(listen.firstArg())
		if err != nil {
			c.fail(listen.line, "listen %s: %v", listen.firstArg(), err)
			continue
		}
		supported := true
		for _, flag := range listen.args[1:] {
			switch flag {
			case "default_server":
				isDefault = true
			case "ssl", "quic", "udp":
				c.fail(listen.line, "listen %s %s: neither TLS nor UDP is spoken", listen.firstArg(), flag)
				supported = false
			default:
				c.warn(listen.line, "listen parameter %s is not carried over", flag)
			}
		}
		listener := config.Listener{Addr: address, Protocol: "xmpp"}
		if supported && !slices.Contains(c.operator.Listeners, listener) {
			c.operator.Listeners = append(c.operator.Listeners, listener)
		}
	}
	return isDefault
}

// listenAddress parses PORT, *:PORT, IP or IP:PORT, and returns IP:PORT.
func listenAddress(text string) (string, error) {
	port, err := strconv.ParseUint(strings.TrimPrefix(text, "*:"), 10, 16)
	if err == nil && port > 0 {
		return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(port)).String(), nil
	}
	return parseAddress(text)
}

// convertNames adds the domains of a server. If servesAllDomains is set, the server also serves domains without an
// entry.
func (c *converter) convertNames(names []directive, serverLine int, cluster string, servesAllDomains bool) {
	for _, list := range names {
		for _, name := range list.args {
			switch {
			case name == "" || name == "_":
				servesAllDomains = true
			case strings.ContainsAny(name, "*~$") || name[0] == '.':
				c.warn(list.line, "server_name %s is not carried over: only whole names are", name)
			default:
				c.addDomain(name, cluster, list.line)
			}
		}
	}
	if servesAllDomains || len(names) == 0 {
		c.addDomain(anyDomain, cluster, serverLine)
	}
}

func (c *converter) addDomain(name, cluster string, line int) {
	name = strings.ToLower(name)
	earlier, ok := c.domains[name]
	if ok {
		if earlier.cluster != cluster {
			c.fail(line, "server_name %s already goes to %s (line %d)", name, earlier.cluster, earlier.line)
		}
		return
	}
	c.domains[name] = domain{cluster, line}
	c.operator.Domains = append(c.operator.Domains, config.Domain{Name: name, Cluster: cluster})
}
