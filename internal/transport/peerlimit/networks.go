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
	// ErrNotNetwork is an entry that can't be read.
	ErrNotNetwork = errors.New("is neither an address nor a prefix like 192.0.2.0/24 or 2001:db8::/32")
	// ErrConflictingNetwork is a network that stands in both kinds of list.
	ErrConflictingNetwork = errors.New("is both kept out and free of limits")
)

// ipv4MappedBits is the length of the prefix of IPv6 that has the addresses of IPv4 (::ffff:0:0/96).
const ipv4MappedBits = 96

// Networks are those that are denied, and those that are exempt from the limits of peers. The longest prefix decides. A
// Networks must not be changed once it is in use.
type Networks struct{ table bart.Table[bool] } // true: exempt; false: denied

// AddList reads a list of networks, an address or a prefix a line, with # before comments. The name is the list's in
// errors, which also have the line's number.
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
		if before, listed := n.table.Get(prefix); listed && before != exempt {
			return fmt.Errorf("%s:%d: %s %w", name, number, prefix, ErrConflictingNetwork)
		}
		n.table.Insert(prefix, exempt)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// parseNetwork parses an address or a prefix. Those of IPv4 in IPv6 become IPv4's.
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

// Len counts the networks.
func (n *Networks) Len() int { return n.table.Size() }

// find returns what holds for an address, if a network of it is listed. A nil Networks has none.
func (n *Networks) find(address netip.Addr) (exempt, listed bool) {
	if n == nil {
		return false, false
	}
	return n.table.Lookup(address)
}
