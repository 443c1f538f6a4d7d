package nginx

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const defaultPort = 80 // nginx's port for an address without one

// parseAddress parses IP:PORT or IP, and returns IP:PORT.
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

// parseDuration parses a time in nginx's notation: a number without a unit is in seconds, and sums like 1m30s are
// allowed.
func parseDuration(text string) (time.Duration, error) {
	if seconds, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second, nil
	}
	return time.ParseDuration(strings.ReplaceAll(text, " ", ""))
}

// positiveDuration returns the argument of a directive that sets a time greater than 0.
func (c *converter) positiveDuration(setting directive) time.Duration {
	value, err := parseDuration(setting.firstArg())
	if err != nil || value <= 0 {
		c.fail(setting.line, "%s must be a time greater than 0, got %q", setting.name, setting.firstArg())
	}
	return value
}
