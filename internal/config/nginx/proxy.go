package nginx

import (
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/config"
)

// proxySettings are the settings that a block inherits from the enclosing blocks.
type proxySettings struct {
	connectTimeout time.Duration // 0: not set
	attempts       int           // 0: not set
	retry          bool          // a failed attempt is retried with another server
}

// forCluster returns the settings in the form of a cluster, in which 1 attempt means that there are no retries.
func (s proxySettings) forCluster() proxySettings {
	if !s.retry {
		s.attempts = 1
	}
	s.retry = false
	return s
}

// convertProxySetting converts a directive that nested blocks inherit. It returns false for any other directive.
func (c *converter) convertProxySetting(setting directive, settings *proxySettings) bool {
	switch setting.name {
	case "proxy_connect_timeout":
		settings.connectTimeout = c.positiveDuration(setting)
	case "proxy_next_upstream_tries":
		settings.attempts = c.convertAttempts(setting)
	case "proxy_next_upstream":
		settings.retry = setting.firstArg() != "off"
		if settings.retry {
			c.warn(setting.line, "proxy_next_upstream: which failures are tried again is not carried over: "+
				"all are, until a byte has reached the client")
		}
	default:
		return false
	}
	return true
}

func (c *converter) convertAttempts(setting directive) int {
	attempts, err := strconv.Atoi(setting.firstArg())
	if err != nil || attempts < 0 {
		c.fail(setting.line, "proxy_next_upstream_tries must be a number of 0 or more, got %q", setting.firstArg())
	}
	if attempts > config.MaxAttempts || attempts == 0 {
		c.warn(setting.line, "at most %d hosts are tried", config.MaxAttempts)
		return config.MaxAttempts
	}
	return attempts
}

// proxyPass is a proxy_pass with the path of its location and the settings that apply there.
type proxyPass struct {
	path      string
	directive directive
	settings  proxySettings
}

// convertProxyPass finds or adds the cluster of a proxy_pass and returns its name, or "" after an error.
func (c *converter) convertProxyPass(pass proxyPass) string {
	target := pass.directive.firstArg()
	line := pass.directive.line
	if strings.Contains(target, "$") {
		c.fail(line, "proxy_pass %s: variables are not carried over", target)
		return ""
	}
	if strings.HasPrefix(target, "https://") {
		c.fail(line, "proxy_pass %s: TLS is not spoken", target)
		return ""
	}
	target = strings.TrimPrefix(target, "http://")
	host, path, hasPath := strings.Cut(target, "/")
	if hasPath && !strings.HasPrefix(target, "unix:") {
		if path != "" {
			c.warn(line, "proxy_pass: the path /%s is not carried over", path)
		}
		target = host
	}
	found := c.findUpstream(target, line)
	if found == nil {
		return ""
	}
	c.useUpstream(found, pass.settings.forCluster(), line)
	return found.Name
}

// findUpstream returns the upstream with the target as its name, or a new one for the target as an address. It returns
// nil if the target is neither.
func (c *converter) findUpstream(target string, line int) *upstream {
	if found := c.upstreams[target]; found != nil {
		return found
	}
	address, err := parseAddress(target)
	if err != nil {
		c.fail(line, "proxy_pass %s: must be the name of an upstream or IP:PORT: %v", target, err)
		return nil
	}
	added := &upstream{Cluster: config.Cluster{
		Name: address, Servers: []config.StaticServer{{ID: address, Addr: address}},
	}}
	c.upstreams[target] = added
	return added
}

// useUpstream sets the settings of a cluster at its first use. Later uses with other settings get a warning.
func (c *converter) useUpstream(target *upstream, settings proxySettings, line int) {
	if target.used {
		if target.settings != settings {
			c.warn(line, "proxy settings differ from those of an earlier use of %s, which are kept", target.Name)
		}
		return
	}
	target.used = true
	target.settings = settings
	target.ConnectTimeout = config.Duration(settings.connectTimeout)
	target.Attempts = settings.attempts
	c.used = append(c.used, target)
}
