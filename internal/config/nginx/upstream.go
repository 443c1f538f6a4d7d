package nginx

import (
	"slices"
	"strconv"
	"strings"

	"spurwinch/internal/config"
)

const stateDraining = "draining" // of a host in the operator's file

// upstream is an upstream block, or the address of a proxy_pass that names none, as a cluster.
type upstream struct {
	config.Cluster
	line     int           // of the block; 0: an address
	used     bool          // by a proxy_pass
	settings proxySettings // of its first use
}

// convertUpstream converts an upstream block to a cluster. Until a proxy_pass uses it the cluster is in no file.
func (c *converter) convertUpstream(block directive) {
	if len(block.args) != 1 {
		c.fail(block.line, "upstream needs one name")
		return
	}
	name := block.firstArg()
	if c.upstreams[name] != nil {
		c.fail(block.line, "upstream %s stands twice", name)
		return
	}
	converted := &upstream{line: block.line, Cluster: config.Cluster{Name: name}}
	c.upstreams[name] = converted
	for _, inner := range block.block {
		switch inner.name {
		case "server":
			c.convertHost(converted, inner)
		case "least_conn", "ip_hash", "hash", "random", "least_time":
			c.warn(inner.line, "%s is not carried over: hosts are chosen by predicted load", inner.name)
		default:
			c.warnUnsupported(inner)
		}
	}
	if len(converted.Hosts) == 0 {
		c.fail(block.line, "upstream %s has no server that can be carried over", name)
	}
}

// convertHost converts a server of an upstream.
func (c *converter) convertHost(target *upstream, server directive) {
	if len(server.args) == 0 {
		c.fail(server.line, "server needs an address")
		return
	}
	address, err := parseAddress(server.args[0])
	if err != nil {
		c.fail(server.line, "server %s: %v", server.args[0], err)
		return
	}
	host := config.Host{ID: address, Addr: address}
	for _, parameter := range server.args[1:] {
		if !c.convertHostParameter(target, &host, server, parameter) {
			return
		}
	}
	if slices.ContainsFunc(target.Hosts, func(other config.Host) bool { return other.Addr == address }) {
		c.warn(server.line, "server %s stands twice: the first is kept", address)
		return
	}
	target.Hosts = append(target.Hosts, host)
}

// convertHostParameter converts a NAME or NAME=VALUE of a server. It returns false where the server is left out for it.
func (c *converter) convertHostParameter(target *upstream, host *config.Host, server directive, parameter string) bool {
	name, value, _ := strings.Cut(parameter, "=")
	switch name {
	case "weight":
		weight, err := strconv.Atoi(value)
		if err != nil || weight < 1 {
			c.fail(server.line, "weight %q is no count", value)
		}
		host.Weight = float64(weight)
	case "down":
		host.State = stateDraining
	case "slow_start":
		warmUp, err := parseDuration(value)
		if err != nil {
			c.fail(server.line, "slow_start %q is no time", value)
		}
		target.WarmUp = max(target.WarmUp, config.Duration(warmUp))
	case "backup":
		c.warn(server.line, "backup is not carried over: server %s is left out", server.args[0])
		return false
	case "max_fails", "fail_timeout":
		c.warn(server.line, "%s is not carried over: failing hosts are left out by the program's own measure", name)
	case "max_conns":
		c.warn(server.line, "max_conns is not carried over: set the cluster's sessions")
	default:
		c.warn(server.line, "server parameter %s is not carried over", name)
	}
	return true
}
