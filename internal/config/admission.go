package config

import (
	"fmt"
	"os"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/transport/peerlimit"
	"spurwinch/internal/transport/tls"
)

// What an operator's file without these keys of [peers] has.
const (
	defaultPrefixBits4 = 32 // each IPv4 address is a peer
	defaultPrefixBits6 = 64 // a subnet, all of whose IPv6 addresses one host can take
	defaultMaxPeers    = 65536
)

// Peers says what one peer, which is a network prefix, may have, and which networks are kept out or free of limits.
type Peers struct {
	Bits4   int    `toml:"bits4,omitzero"`  // of an IPv4 address that make up one peer
	Bits6   int    `toml:"bits6,omitzero"`  // of an IPv6 address
	Most    int    `toml:"most,omitzero"`   // peers that are told apart
	Deny    string `toml:"deny,omitempty"`  // file of networks that are kept out, one a line
	Allow   string `toml:"allow,omitempty"` // and of those that no limit holds for
	Streams        // of one peer
}

// Streams bound the streams of a peer or a domain; 0: no limit.
type Streams struct {
	Streams         int     `toml:"streams,omitzero"`         // open at once
	Unauthenticated int     `toml:"unauthenticated,omitzero"` // of these, not authenticated yet
	Rate            float64 `toml:"new_per_second,omitzero"`
	Burst           int     `toml:"burst,omitzero"` // new streams beyond the rate
}

func (s Streams) limits() peerlimit.Limits {
	return peerlimit.Limits{Streams: s.Streams, Unauthenticated: s.Unauthenticated, Rate: s.Rate, Burst: s.Burst}
}

func (s Streams) check(file *tomlfile.File, path string) {
	valid := s.Streams >= 0 && s.Unauthenticated >= 0 && s.Burst >= 0 && s.Rate >= 0 // false where the rate is NaN
	if !valid {
		file.Fault(path, "streams, unauthenticated, new_per_second and burst are 0, for no limit, or more")
	}
}

// AdmissionRules is what holds for the streams of clients: the rules, the networks that are kept out or free of limits
// (nil: none), and the limits of domains by their names.
func (o *Operator) AdmissionRules() (peerlimit.Rules, *peerlimit.Networks, map[string]peerlimit.Limits) {
	domains := map[string]peerlimit.Limits{}
	for _, domain := range o.Domains {
		domains[domain.Name] = domain.limits()
	}
	rules := peerlimit.Rules{
		PrefixBits4: o.Peers.Bits4,
		PrefixBits6: o.Peers.Bits6,
		Peer:        o.Peers.limits(),
		MaxPeers:    o.Peers.Most,
	}
	return rules, o.Networks, domains
}

// checkPeers checks the limits of peers and domains and reads the lists of networks.
func (o *Operator) checkPeers(file *tomlfile.File) {
	o.Peers.check(file)
	for i, domain := range o.Domains {
		domain.check(file, fmt.Sprintf("domain.%d", i))
	}
	if o.Peers.Deny == "" && o.Peers.Allow == "" {
		return
	}
	o.Networks = &peerlimit.Networks{}
	o.readNetworks(file, "peers.deny", o.Peers.Deny, false)
	o.readNetworks(file, "peers.allow", o.Peers.Allow, true)
}

func (p *Peers) check(file *tomlfile.File) {
	const maxPeers = 1 << 20
	tomlfile.Fill(&p.Bits4, defaultPrefixBits4)
	tomlfile.Fill(&p.Bits6, defaultPrefixBits6)
	tomlfile.Fill(&p.Most, defaultMaxPeers)
	valid := p.Bits4 >= 1 && p.Bits4 <= 32 && p.Bits6 >= 1 && p.Bits6 <= 128 && p.Most >= 1 && p.Most <= maxPeers
	if !valid {
		file.Fault("peers", "[peers] bits4 is 1 to 32, bits6 1 to 128, most 1 to %d", maxPeers)
	}
	p.Streams.check(file, "peers")
}

// readNetworks adds the list of networks in the file at path, which are exempt from limits or else denied. The key
// names the list in a fault of the operator's file; an empty path is no list.
func (o *Operator) readNetworks(file *tomlfile.File, key, path string, exempt bool) {
	if path == "" {
		return
	}
	raw, err := os.ReadFile(path)
	if err == nil {
		err = o.Networks.AddList(path, raw, exempt)
	}
	if err != nil {
		file.Fault(key, "%v", err)
	}
}

// readCertificates reads the files of the certificates, so that a fault in one is a fault of the operator's file.
func (o *Operator) readCertificates(file *tomlfile.File) {
	var pairs []tls.Pair
	for i, certificate := range o.Certificates {
		pair := tls.Pair{Cert: certificate.Cert, Key: certificate.Key}
		if _, err := tls.Read([]tls.Pair{pair}, ""); err != nil {
			file.Fault(fmt.Sprintf("certificate.%d.cert", i), "%v", err)
			return
		}
		pairs = append(pairs, pair)
	}
	if len(pairs) == 0 {
		return
	}
	var err error
	if o.Keys, err = tls.Read(pairs, o.ClientAuthorities); err != nil {
		file.Fault("client_authorities", "%v", err)
	}
}
