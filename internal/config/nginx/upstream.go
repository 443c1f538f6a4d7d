package nginx

import (
	"slices"
	"strconv"
	"strings"

	"spurwinch/internal/config"
)

const stateDraining = "draining" // state of a server in the operator's file

// upstream is the cluster of an upstream block, or of the address of a proxy_pass that names no upstream.
type upstream struct {
	config.Cluster
	line     int           // line of the block; 0: an address
	used     bool          // a proxy_pass uses it
	settings proxySettings // settings at its first use
}

// convertUpstream converts an upstream block to a cluster. The operator's file contains the cluster only if a
// proxy_pass uses it.
func (c *converter) convertUpstream(block directive) {
	if len(block.args) != 1 {
		c.fail(block.line, "upstream must have exactly one name")
		return
	}
	name := block.firstArg()
	if c.upstreams[name] != nil {
		c.fail(block.line, "upstream %s is defined twice, its name must be unique", name)
		return
	}
	converted := &upstream{line: block.line, Cluster: config.Cluster{Name: name}}
	c.upstreams[name] = converted
	for _, inner := range block.block {
		switch inner.name {
		case "server":
			c.convertUpstreamServer(converted, inner)
		case "least_conn", "ip_hash", "hash", "random", "least_time":
			c.warn(inner.line, "%s is not carried over: hosts are chosen by predicted load", inner.name)
		default:
			c.warnUnsupported(inner)
		}
	}
	if len(converted.Servers) == 0 {
		c.fail(block.line, "upstream %s has no server that can be carried over", name)
	}
}

// convertUpstreamServer converts a server of an upstream.
func (c *converter) convertUpstreamServer(target *upstream, server directive) {
	if len(server.args) == 0 {
		c.fail(server.line, "server must have an address")
		return
	}
	address, err := parseAddress(server.args[0])
	if err != nil {
		c.fail(server.line, "server %s: %v", server.args[0], err)
		return
	}
	converted := config.StaticServer{ID: address, Addr: address}
	for _, parameter := range server.args[1:] {
		if !c.convertServerParameter(target, &converted, server, parameter) {
			return
		}
	}
	if slices.ContainsFunc(target.Servers, func(other config.StaticServer) bool { return other.Addr == address }) {
		c.warn(server.line, "server %s is listed twice: the first is kept", address)
		return
	}
	target.Servers = append(target.Servers, converted)
}

// convertServerParameter converts a parameter NAME or NAME=VALUE of a server. It returns false if the parameter
// excludes the server from the operator's file.
func (c *converter) convertServerParameter(
	target *upstream, converted *config.StaticServer, server directive, parameter string,
) bool {
	name, value, _ := strings.Cut(parameter, "=")
	switch name {
	case "weight":
		weight, err := strconv.Atoi(value)
		if err != nil || weight < 1 {
			c.fail(server.line, "weight %q is no count", value)
		}
		converted.Weight = float64(weight)
	case "down":
		converted.State = stateDraining
	case "slow_start":
		warmUp, err := parseDuration(value)
		if err != nil {
			c.fail(server.line, "slow_start must be a time such as 30s, got %q", value)
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
