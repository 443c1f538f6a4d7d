package config

import (
	"fmt"
	"os"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/transport/peerlimit"
	"spurwinch/internal/transport/tls"
)

// Default values of the keys of the [peers] table in an operator's file.
const (
	defaultPrefixBits4 = 32 // each IPv4 address is a peer of its own
	defaultPrefixBits6 = 64 // a subnet, because one machine can use all IPv6 addresses of its subnet
	defaultMaxPeers    = 65536
)

// Peers holds the limits of one peer, which is a network prefix, and the files of networks that are denied or exempt
// from limits.
type Peers struct {
	PrefixBits4  int    `toml:"bits4,omitzero"`  // leading bits of an IPv4 address that identify a peer
	PrefixBits6  int    `toml:"bits6,omitzero"`  // leading bits of an IPv6 address that identify a peer
	MaxPeers     int    `toml:"most,omitzero"`   // maximum number of peers that are tracked separately
	Deny         string `toml:"deny,omitempty"`  // file of denied networks, one per line
	Allow        string `toml:"allow,omitempty"` // file of networks that are exempt from limits
	StreamLimits        // limits of one peer
}

// StreamLimits holds the limits for the streams of a peer or a domain. 0 means no limit.
type StreamLimits struct {
	Streams         int     `toml:"streams,omitzero"`         // concurrently open streams
	Unauthenticated int     `toml:"unauthenticated,omitzero"` // open streams that are not authenticated yet
	Rate            float64 `toml:"new_per_second,omitzero"`  // new streams per second
	Burst           int     `toml:"burst,omitzero"`           // new streams allowed in excess of the rate
}

func (s StreamLimits) limits() peerlimit.Limits {
	return peerlimit.Limits{Streams: s.Streams, Unauthenticated: s.Unauthenticated, Rate: s.Rate, Burst: s.Burst}
}

func (s StreamLimits) check(file *tomlfile.File, path string) {
	valid := s.Streams >= 0 && s.Unauthenticated >= 0 && s.Burst >= 0 && s.Rate >= 0 // false if the rate is NaN
	if !valid {
		file.Fault(path, "streams, unauthenticated, new_per_second and burst must be 0 (no limit) or greater")
	}
}

// AdmissionRules returns the admission rules for client streams, the networks that are denied or exempt from limits
// (nil if there are none), and the limits of domains by name.
func (o *Operator) AdmissionRules() (peerlimit.Rules, *peerlimit.Networks, map[string]peerlimit.Limits) {
	domains := map[string]peerlimit.Limits{}
	for _, domain := range o.Domains {
		domains[domain.Name] = domain.limits()
	}
	rules := peerlimit.Rules{
		PrefixBits4: o.Peers.PrefixBits4,
		PrefixBits6: o.Peers.PrefixBits6,
		Peer:        o.Peers.limits(),
		MaxPeers:    o.Peers.MaxPeers,
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
	tomlfile.Fill(&p.PrefixBits4, defaultPrefixBits4)
	tomlfile.Fill(&p.PrefixBits6, defaultPrefixBits6)
	tomlfile.Fill(&p.MaxPeers, defaultMaxPeers)
	valid := p.PrefixBits4 >= 1 && p.PrefixBits4 <= 32 &&
		p.PrefixBits6 >= 1 && p.PrefixBits6 <= 128 &&
		p.MaxPeers >= 1 && p.MaxPeers <= maxPeers
	if !valid {
		file.Fault("peers", "[peers] bits4 must be 1 to 32, bits6 1 to 128, most 1 to %d", maxPeers)
	}
	p.StreamLimits.check(file, "peers")
}

// readNetworks adds the networks that are listed in the file at path, which may be empty. The networks are exempt from
// limits if exempt is set, and denied otherwise. An error becomes a fault of the given key of the operator's file.
func (o *Operator) readNetworks(file *tomlfile.File, key, path string, exempt bool) {
	if path == "" {
		return
	}
	raw, err := os.ReadFile(path)
	if err == nil {
		err = o.Networks.AddList(path, raw, exempt)
	}
	if err != nil {
		file.FaultError(key, err)
	}
}

// checkPaths reports the files that a [[certificate]] table at a path does not name.
func (c Certificate) checkPaths(file *tomlfile.File, path string) (valid bool) {
	if c.Cert == "" {
		file.Fault(path+"cert", "[[certificate]] without cert: must name the PEM file of the certificate")
	}
	if c.Key == "" {
		file.Fault(path+"key", "[[certificate]] without key: must name the PEM file of the private key")
	}
	return c.Cert != "" && c.Key != ""
}

// readCertificates reads the certificate files. A fault in one of them is reported as a fault of the operator's file.
func (o *Operator) readCertificates(file *tomlfile.File) {
	var pairs []tls.Pair
	for i, certificate := range o.Certificates {
		path := fmt.Sprintf("certificate.%d.", i)
		if !certificate.checkPaths(file, path) {
			return
		}
		pair := tls.Pair{Cert: certificate.Cert, Key: certificate.Key}
		if _, err := tls.Read([]tls.Pair{pair}, ""); err != nil {
			file.FaultError(path+"cert", err)
			return
		}
		pairs = append(pairs, pair)
	}
	if len(pairs) == 0 {
		return
	}
	var err error
	if o.Keys, err = tls.Read(pairs, o.ClientAuthorities); err != nil {
		file.FaultError("client_authorities", err)
	}
}
