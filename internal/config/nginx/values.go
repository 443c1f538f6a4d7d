package nginx

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const defaultPort = 80 // of nginx, where an address has none

// parseAddress reads IP:PORT or IP, and returns IP:PORT.
func parseAddress(text string) (string, error) {
	if strings.HasPrefix(text, "unix:") {
		return "", errUnixSocket
	}
	if address, err := netip.ParseAddrPort(text); err == nil {
		return address.String(), nil
	}
	if ip, err := netip.ParseAddr(strings.Trim(text, "[]")); err == nil {
		return netip.AddrPortFrom(ip, defaultPort).String(), nil
	}
	return "", errNotIPAddress
}

// parseDuration reads a time of nginx: seconds where there is no unit, and sums like 1m30s.
func parseDuration(text string) (time.Duration, error) {
	if seconds, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second, nil
	}
	return time.ParseDuration(strings.ReplaceAll(text, " ", ""))
}

// positiveDuration is the argument of a directive that sets a time over 0.
func (c *converter) positiveDuration(setting directive) time.Duration {
	value, err := parseDuration(setting.firstArg())
	if err != nil || value <= 0 {
		c.fail(setting.line, "%s %q is no time", setting.name, setting.firstArg())
	}
	return value
}
