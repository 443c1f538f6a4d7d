package nginx

import (
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/config"
)

// proxySettings are what a block inherits from those around it.
type proxySettings struct {
	connectTimeout time.Duration // 0: not set
	attempts       int           // 0: not set
	retry          bool          // other hosts are tried
}

// forCluster is the settings as a cluster has them: the number of attempts says whether there are retries.
func (s proxySettings) forCluster() proxySettings {
	if !s.retry {
		s.attempts = 1
	}
	s.retry = false
	return s
}

// convertProxySetting converts a directive that a block passes on to those in it; false: it is none.
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
		c.fail(setting.line, "proxy_next_upstream_tries %q is no count", setting.firstArg())
	}
	if attempts > config.MaxAttempts || attempts == 0 {
		c.warn(setting.line, "at most %d hosts are tried", config.MaxAttempts)
		return config.MaxAttempts
	}
	return attempts
}

// proxyPass is a proxy_pass with the path that it is for and the settings that hold there.
type proxyPass struct {
	path      string
	directive directive
	settings  proxySettings
}

// convertProxyPass finds or makes the cluster of a proxy_pass and returns its name; empty: there is none.
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

// findUpstream is the upstream of that name, or a new one for that address; nil: it is neither.
func (c *converter) findUpstream(target string, line int) *upstream {
	if found := c.upstreams[target]; found != nil {
		return found
	}
	address, err := parseAddress(target)
	if err != nil {
		c.fail(line, "proxy_pass %s: no such upstream, and %v", target, err)
		return nil
	}
	added := &upstream{Cluster: config.Cluster{Name: address, Hosts: []config.Host{{ID: address, Addr: address}}}}
	c.upstreams[target] = added
	return added
}

// useUpstream sets the settings of a cluster at its first use.
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
