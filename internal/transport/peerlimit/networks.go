package peerlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"
)

// Errors of Networks.AddList.
var (
	// ErrNotNetwork is returned for an entry that is no network.
	ErrNotNetwork = errors.New("is neither an address nor a prefix like 192.0.2.0/24 or 2001:db8::/32")
	// ErrConflictingNetwork is returned for a network that is in lists of both kinds.
	ErrConflictingNetwork = errors.New("is both denied and exempt from limits")
)

// ipv4MappedBits is the length of the IPv6 prefix of IPv4-mapped addresses (::ffff:0:0/96).
const ipv4MappedBits = 96

// Networks holds the networks that are denied, and those that are exempt from the limits of peers. If several networks
// contain an address, the one with the longest prefix decides. Networks must not be changed once it is in use.
type Networks struct{ table bart.Table[bool] } // true: exempt; false: denied

// AddList adds a list of networks with one address or prefix per line. Comments start with #. Errors contain the name
// of the list and the line number.
func (n *Networks) AddList(name string, list []byte, exempt bool) error {
	lines := bufio.NewScanner(bytes.NewReader(list))
	for number := 1; lines.Scan(); number++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		text = strings.TrimSpace(text)
		if text == "" {
			continue
		}
		prefix, ok := parseNetwork(text)
		if !ok {
			return fmt.Errorf("%s:%d: %q %w", name, number, text, ErrNotNetwork)
		}
		if listedExempt, listed := n.table.Get(prefix); listed && listedExempt != exempt {
			return fmt.Errorf("%s:%d: %s %w", name, number, prefix, ErrConflictingNetwork)
		}
		n.table.Insert(prefix, exempt)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// parseNetwork parses an address or a prefix. It converts IPv4-mapped IPv6 networks to IPv4.
func parseNetwork(text string) (netip.Prefix, bool) {
	if !strings.Contains(text, "/") {
		address, err := netip.ParseAddr(text)
		if err != nil || address.Zone() != "" {
			return netip.Prefix{}, false
		}
		address = address.Unmap()
		return netip.PrefixFrom(address, address.BitLen()), true
	}
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, false
	}
	if prefix.Addr().Is4In6() {
		if prefix.Bits() < ipv4MappedBits {
			return netip.Prefix{}, false
		}
		prefix = netip.PrefixFrom(prefix.Addr().Unmap(), prefix.Bits()-ipv4MappedBits)
	}
	return prefix.Masked(), true
}

// Len returns the number of networks.
func (n *Networks) Len() int { return n.table.Size() }

// find reports whether a listed network contains an address, and whether that network is exempt. A nil Networks lists
// nothing.
func (n *Networks) find(address netip.Addr) (exempt, listed bool) {
	if n == nil {
		return false, false
	}
	return n.table.Lookup(address)
}
