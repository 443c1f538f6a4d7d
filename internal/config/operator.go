package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/tomlfile"
	"spurwinch/internal/transport/admit"
	"spurwinch/internal/transport/tls"
)

// Operator is the operator's file: the fronts and clusters beside the platform's own. The tags are its keys.
type Operator struct {
	Limits    Limits     `toml:"limits"`
	Listeners []Listener `toml:"listener"`
	Domains   []Domain   `toml:"domain"`
	Classes   []Class    `toml:"class"`
	Clusters  []Cluster  `toml:"cluster"`
	Capture   Capture    `toml:"capture,omitempty"`
	Fleet     *Fleet     `toml:"fleet,omitempty"`

	Peers             Peers           `toml:"peers,omitempty"`
	Networks          *admit.Networks `toml:"-"` // as they were read with the file
	Certificates      []Certificate   `toml:"certificate,omitempty"`
	ClientAuthorities string          `toml:"client_authorities,omitempty"` // PEM file; clients may show a certificate of theirs
	Keys              *tls.Set        `toml:"-"`                            // as they were read with the file; nil: none are named
}

// Peers says what one peer, which is a network prefix, may have, and which networks are kept out or free of limits.
type Peers struct {
	Bits4   int    `toml:"bits4,omitzero"`
	Bits6   int    `toml:"bits6,omitzero"`
	Most    int    `toml:"most,omitzero"`   // peers that are told apart
	Deny    string `toml:"deny,omitempty"`  // file of networks that are kept out, one a line
	Allow   string `toml:"allow,omitempty"` // and of those that no limit holds for
	Streams        // of one peer
}

// Streams bound the streams of a peer or a domain; 0: no limit.
type Streams struct {
	Streams int     `toml:"streams,omitzero"`
	Waiting int     `toml:"unauthenticated,omitzero"`
	Rate    float64 `toml:"new_per_second,omitzero"`
	Burst   int     `toml:"burst,omitzero"`
}

func (s Streams) limits() admit.Limits {
	return admit.Limits{Streams: s.Streams, Waiting: s.Waiting, Rate: s.Rate, Burst: s.Burst}
}

func (s Streams) check(f *tomlfile.File, at string) {
	if s.Streams < 0 || s.Waiting < 0 || s.Burst < 0 || !(s.Rate >= 0) {
		f.Fault(at, "streams, unauthenticated, new_per_second and burst are 0, for no limit, or more")
	}
}

// Guard is what holds for who comes.
func (o *Operator) Guard() (admit.Rules, *admit.Networks, map[string]admit.Limits) {
	domains := map[string]admit.Limits{}
	for _, d := range o.Domains {
		domains[d.Name] = d.limits()
	}
	p := o.Peers
	return admit.Rules{Bits4: p.Bits4, Bits6: p.Bits6, Peer: p.limits(), Most: p.Most}, o.Networks, domains
}

// Certificate names the PEM files of a certificate with its chain, and of its key.
type Certificate struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Limits bound what connections may take.
type Limits struct {
	Connections int      `toml:"connections,omitzero"`    // both sides together
	StanzaBytes int      `toml:"stanza_bytes,omitzero"`   // of one stanza
	EarlyBytes  int      `toml:"early_bytes,omitzero"`    // of a client, kept for another host
	HeaderTime  Duration `toml:"header_time,omitzero"`    // for the stream header
	ShakeTime   Duration `toml:"handshake_time,omitzero"` // for a TLS handshake
	Resumable   int      `toml:"resumable,omitzero"`      // sessions whose host is kept in mind, for their clients to resume
}

// Listener is an address where clients connect.
type Listener struct {
	Addr     string `toml:"addr"`
	Protocol string `toml:"protocol"`
	TLS      string `toml:"tls,omitempty"` // "starttls", "direct", or empty: none
}

// Domain is an address that a stream header may name; "*" stands for any other.
type Domain struct {
	Name    string `toml:"name"`
	Cluster string `toml:"cluster"`
	Class   string `toml:"class,omitempty"`
	Streams        // of all its clients
}

// Class is a class of sessions.
type Class struct {
	Name     string   `toml:"name"`
	SetupAim Duration `toml:"setup_aim,omitzero"`
	Patience Duration `toml:"patience,omitzero"`
	Worth    float64  `toml:"worth,omitzero"`
}

// Cluster is a set of upstream hosts: static ones, or discovery's.
type Cluster struct {
	Name           string   `toml:"name"`
	Zone           string   `toml:"zone,omitempty"`
	Discovery      string   `toml:"discovery,omitempty"`
	Sessions       float64  `toml:"sessions,omitzero"` // that a host of weight 1 bears
	Nodes          int      `toml:"nodes,omitzero"`    // that share the cluster, this one among them
	Attempts       int      `toml:"attempts,omitzero"`
	ConnectTimeout Duration `toml:"connect_timeout,omitzero"`
	DrainGrace     Duration `toml:"drain_grace,omitzero"`
	Leave          Duration `toml:"leave,omitzero"`
	ColdShare      float64  `toml:"cold_share,omitzero"`
	WarmUp         Duration `toml:"warm_up,omitzero"`
	FallMultiple   float64  `toml:"fall_multiple,omitzero"`
	FallTime       Duration `toml:"fall_time,omitzero"`
	Hosts          []Host   `toml:"host,omitempty"`
}

// Host is a static upstream host.
type Host struct {
	ID      string    `toml:"id,omitempty"` // its address, where there is none
	Addr    string    `toml:"addr"`
	Zone    string    `toml:"zone,omitempty"`
	Kind    string    `toml:"kind,omitempty"`
	Weight  float64   `toml:"weight,omitzero"`
	State   string    `toml:"state,omitempty"` // serving or draining
	Started time.Time `toml:"started,omitempty"`
}

// Duration is written as in "1.5s".
type Duration = tomlfile.Duration

// Capture says where load and reports are written down; without a path they are not.
type Capture struct {
	Path   string  `toml:"path,omitempty"`   // what the files' names begin with
	FileMB int     `toml:"file_mb,omitzero"` // size from which on the next file is begun
	Files  int     `toml:"files,omitzero"`   // kept; the oldest goes for a new one
	Share  float64 `toml:"share,omitzero"`   // of clients, or groups, that are written down
	Key    string  `toml:"key,omitempty"`    // for the hashes of clients and groups
	Queue  int     `toml:"queue,omitzero"`   // records that may wait to be written
}

// MostAttempts is the most attempts that a session may take.
const MostAttempts = 4

// ReadOperator reads and checks an operator's file. The error is a tomlfile.Faults, where the file could be read.
func ReadOperator(path string) (Operator, error) {
	var o Operator
	src, err := tomlfile.Load(path)
	if err != nil {
		return o, err
	}
	f := tomlfile.Decode(path, src, &o)
	if !f.Broken() {
		o.check(f)
	}
	return o, f.Err()
}

func (o *Operator) check(f *tomlfile.File) {
	fill := tomlfile.Fill[int]
	fill(&o.Limits.Connections, 4096)
	fill(&o.Limits.StanzaBytes, 256<<10)
	fill(&o.Limits.EarlyBytes, 64<<10)
	fill(&o.Limits.Resumable, 10000)
	tomlfile.Fill(&o.Limits.HeaderTime, Duration(2500*time.Millisecond))
	tomlfile.Fill(&o.Limits.ShakeTime, Duration(10*time.Second))
	between := func(key string, v, lo, hi int) {
		if v < lo || v > hi {
			f.Fault(key, "%s = %d: a number from %d to %d is wanted", key[strings.LastIndexByte(key, '.')+1:], v, lo, hi)
		}
	}
	between("limits.connections", o.Limits.Connections, 1, 1<<20)
	between("limits.stanza_bytes", o.Limits.StanzaBytes, 10000, 512<<10)
	between("limits.resumable", o.Limits.Resumable, 1, 1<<20)
	between("limits.early_bytes", o.Limits.EarlyBytes, 4096, 512<<10)
	if c := &o.Capture; f.Has("capture") {
		fill(&c.FileMB, 64)
		fill(&c.Files, 8)
		fill(&c.Queue, 8192)
		tomlfile.Fill(&c.Share, 1)
		between("capture.file_mb", c.FileMB, 1, 16<<10)
		between("capture.files", c.Files, 1, 10000)
		between("capture.queue", c.Queue, 16, 1<<20)
		if c.Path == "" {
			f.Fault("capture.path", "[capture] without a path: what the files' names begin with is wanted, as in path = \"/var/lib/spurwinch/load\"")
		}
		if !(c.Share > 0 && c.Share <= 1) {
			f.Fault("capture.share", "share = %v: a part over 0, up to 1, is wanted", c.Share)
		}
		if len(c.Key) < 16 {
			f.Fault("capture.key", "a key of %d characters: 16 or more are wanted, so that nobody can guess who a client is", len(c.Key))
		}
	}
	if o.Fleet != nil {
		o.readFleet(f)
	}
	if (f.Has("capture") || o.Fleet != nil) && len(o.Listeners)+len(o.Domains)+len(o.Clusters) == 0 {
		return // a file beside the platform's front
	}
	if len(o.Listeners) == 0 {
		f.Fault("", "no [[listener]]: one with addr and protocol is wanted")
	}
	for i, l := range o.Listeners {
		at := fmt.Sprintf("listener.%d.", i)
		if _, err := netip.ParseAddrPort(l.Addr); err != nil {
			f.Fault(at+"addr", "listener: address %q is not IP:PORT", l.Addr)
		}
		if l.Protocol != "xmpp" && l.Protocol != "xmpp-websocket" {
			f.Fault(at+"protocol", "listener %s: unknown protocol %q: it must be \"xmpp\" or \"xmpp-websocket\"", l.Addr, l.Protocol)
		}
		switch {
		case l.TLS != "" && l.TLS != "starttls" && l.TLS != "direct":
			f.Fault(at+"tls", "listener %s: tls = %q: it must be \"starttls\" or \"direct\"", l.Addr, l.TLS)
		case l.TLS == "starttls" && l.Protocol == "xmpp-websocket":
			f.Fault(at+"tls", "listener %s: WebSocket has no STARTTLS: tls = \"direct\" is wanted", l.Addr)
		case l.TLS != "" && len(o.Certificates) == 0:
			f.Fault(at+"tls", "listener %s: tls without a certificate: a [[certificate]] with cert and key is wanted", l.Addr)
		}
	}
	o.readKeys(f)
	o.readPeers(f)
	if len(o.Classes) == 0 {
		o.Classes = []Class{{Name: "session"}}
	}
	classes := map[string]bool{}
	for i := range o.Classes {
		c := &o.Classes[i]
		tomlfile.Fill(&c.SetupAim, Duration(2*time.Second))
		tomlfile.Fill(&c.Patience, Duration(20*time.Second))
		tomlfile.Fill(&c.Worth, 1)
		if c.Name == "" || classes[c.Name] || c.Worth < 0 {
			f.Fault(fmt.Sprintf("class.%d.name", i), "class %q: a name of its own and a worth over 0 are needed", c.Name)
		}
		classes[c.Name] = true
	}
	clusters := map[string]bool{}
	for i := range o.Clusters {
		c := &o.Clusters[i]
		at := fmt.Sprintf("cluster.%d", i)
		if c.Name == "" || clusters[c.Name] {
			f.Fault(at+".name", "cluster %q: a name of its own is needed", c.Name)
		}
		clusters[c.Name] = true
		c.check(f, at)
	}
	if len(o.Domains) == 0 {
		f.Fault("", "no [[domain]]: one with name and cluster is wanted")
	}
	seen := map[string]bool{}
	for i := range o.Domains {
		d := &o.Domains[i]
		at := fmt.Sprintf("domain.%d.", i)
		d.Name = strings.ToLower(d.Name)
		tomlfile.Fill(&d.Class, o.Classes[0].Name)
		switch {
		case d.Name == "" || seen[d.Name]:
			f.Fault(at+"name", "domain %q: a name of its own is needed", d.Name)
		case !clusters[d.Cluster]:
			f.Fault(at+"cluster", "domain %q: unknown cluster %q: no [[cluster]] has this name", d.Name, d.Cluster)
		case !classes[d.Class]:
			f.Fault(at+"class", "domain %q: unknown class %q: no [[class]] has this name", d.Name, d.Class)
		}
		seen[d.Name] = true
	}
}

// readPeers checks the limits of peers and reads the lists of networks.
func (o *Operator) readPeers(f *tomlfile.File) {
	p := &o.Peers
	tomlfile.Fill(&p.Bits4, 32)
	tomlfile.Fill(&p.Bits6, 64)
	tomlfile.Fill(&p.Most, 65536)
	if p.Bits4 < 1 || p.Bits4 > 32 || p.Bits6 < 1 || p.Bits6 > 128 || p.Most < 1 || p.Most > 1<<20 {
		f.Fault("peers", "[peers] bits4 is 1 to 32, bits6 1 to 128, most 1 to %d", 1<<20)
	}
	p.check(f, "peers")
	for i, d := range o.Domains {
		d.check(f, fmt.Sprintf("domain.%d", i))
	}
	if p.Deny+p.Allow == "" {
		return
	}
	o.Networks = &admit.Networks{}
	for _, list := range []struct {
		key, path string
		free      bool
	}{{"deny", p.Deny, false}, {"allow", p.Allow, true}} {
		if list.path == "" {
			continue
		}
		raw, err := os.ReadFile(list.path)
		if err == nil {
			err = o.Networks.Read(list.path, raw, list.free)
		}
		if err != nil {
			f.Fault("peers."+list.key, "%v", err)
		}
	}
}

// readKeys reads the files of the certificates, so that a fault in one is a fault of the operator's file.
func (o *Operator) readKeys(f *tomlfile.File) {
	var pairs []tls.Pair
	for i, c := range o.Certificates {
		if _, err := tls.Read([]tls.Pair{{Cert: c.Cert, Key: c.Key}}, ""); err != nil {
			f.Fault(fmt.Sprintf("certificate.%d.cert", i), "%v", err)
			return
		}
		pairs = append(pairs, tls.Pair{Cert: c.Cert, Key: c.Key})
	}
	if len(pairs) == 0 {
		return
	}
	var err error
	if o.Keys, err = tls.Read(pairs, o.ClientAuthorities); err != nil {
		f.Fault("client_authorities", "%v", err)
	}
}

func (c *Cluster) check(f *tomlfile.File, at string) {
	tomlfile.Fill(&c.Sessions, 1000)
	tomlfile.Fill(&c.Nodes, 1)
	tomlfile.Fill(&c.Attempts, MostAttempts)
	tomlfile.Fill(&c.ConnectTimeout, Duration(time.Second))
	tomlfile.Fill(&c.DrainGrace, Duration(3*time.Second))
	tomlfile.Fill(&c.Leave, Duration(10*time.Second))
	tomlfile.Fill(&c.ColdShare, 0.15)
	tomlfile.Fill(&c.WarmUp, Duration(30*time.Second))
	tomlfile.Fill(&c.FallMultiple, 4)
	tomlfile.Fill(&c.FallTime, Duration(2*time.Second))
	fault := func(bad bool, key, what string, args ...any) {
		if bad {
			f.Fault(at+"."+key, "cluster %q: "+what, append([]any{c.Name}, args...)...)
		}
	}
	fault(c.Attempts < 1 || c.Attempts > MostAttempts, "attempts", "attempts must be 1 to %d", MostAttempts)
	fault(!(c.Sessions >= 1), "sessions", "sessions must be 1 or more")
	fault(c.Nodes < 1, "nodes", "nodes must be 1 or more")
	fault(c.DrainGrace > Duration(3*time.Second), "drain_grace", "drain_grace may be 3s at most")
	fault(!(c.ColdShare >= 0 && c.ColdShare <= 1), "cold_share", "cold_share must be 0 to 1")
	fault(!(c.FallMultiple > 0), "fall_multiple", "fall_multiple must be over 0")
	fault(c.Discovery != "" && len(c.Hosts) > 0, "discovery", "discovery and hosts exclude each other")
	fault(c.Discovery == "" && len(c.Hosts) == 0, "name", "neither discovery nor a [[cluster.host]]")
	if c.Discovery != "" {
		_, err := netip.ParseAddrPort(c.Discovery)
		fault(err != nil, "discovery", "discovery %q is not IP:PORT", c.Discovery)
	}
	seen := map[string]bool{}
	for i := range c.Hosts {
		h := &c.Hosts[i]
		key := func(name string) string { return fmt.Sprintf("host.%d.%s", i, name) }
		_, err := netip.ParseAddrPort(h.Addr)
		fault(err != nil, key("addr"), "host address %q is not IP:PORT", h.Addr)
		tomlfile.Fill(&h.ID, h.Addr)
		tomlfile.Fill(&h.Weight, 1)
		tomlfile.Fill(&h.State, "serving")
		tomlfile.Fill(&h.Zone, c.Zone)
		fault(seen[h.ID], key("id"), "host %q stands twice", h.ID)
		fault(h.State != "serving" && h.State != "draining", key("state"), "host %q: state %q is neither serving nor draining", h.ID, h.State)
		fault(!(h.Weight > 0), key("weight"), "host %q: weight must be over 0", h.ID)
		seen[h.ID] = true
	}
}

// Settings is what the module is told of a cluster.
func (o *Operator) Settings(c Cluster) choice.Settings {
	// Load is the core's own count: there is nothing to find out by asking, and sessions stay where they are.
	s := choice.Settings{Nodes: c.Nodes, Zone: c.Zone, DelaysObserved: true, Subscribe: c.Discovery != "", Sizes: choice.NominalSize,
		Reports: choice.HealthCheckReports, ReportFields: []choice.ReportField{choice.Load}, RoundTrip: 5 * time.Millisecond, InitialCost: 1 / c.Sessions,
		Limits: choice.Limits{MaxAttempts: c.Attempts, HealthChecks: true, Cancellation: true, RetryAfter: true,
			MaxRetryAfter: 2 * time.Second, ConnectTimeout: time.Duration(c.ConnectTimeout)},
		Rules: choice.Rules{MaxPollInterval: 10 * time.Second, DrainGrace: time.Duration(c.DrainGrace), SlowStartFraction: c.ColdShare,
			WarmUp: time.Duration(c.WarmUp), OverloadMultiple: c.FallMultiple, OverloadTime: time.Duration(c.FallTime)},
		Costs: choice.Costs{HealthCheck: 0.002, Migration: 0.01}}
	for _, k := range o.Classes {
		s.Classes = append(s.Classes, choice.Class{Name: k.Name, SetupObjective: time.Duration(k.SetupAim),
			Deadline: time.Duration(k.Patience), Priority: k.Worth})
	}
	return s
}

// Class finds a class by its name.
func (o *Operator) Class(name string) (int, Class) {
	for i, c := range o.Classes {
		if c.Name == name {
			return i, c
		}
	}
	return 0, o.Classes[0]
}

// StaticHosts are the cluster's hosts as the core takes them. seen tells when a host first stood in the file; one
// that comes in while the program runs counts as started then, unless the file says otherwise.
func (c Cluster) StaticHosts(seen func(id string) time.Time) []edge.ServerEntry {
	var out []edge.ServerEntry
	for _, h := range c.Hosts {
		e := edge.ServerEntry{Addr: h.Addr, Server: choice.Server{ID: choice.ServerID(h.ID), Zone: h.Zone, Kind: h.Kind, Size: h.Weight}}
		if h.State == "draining" {
			e.State = choice.Draining
		}
		at := h.Started
		if at.IsZero() {
			at = seen(h.ID)
		}
		if !at.IsZero() {
			e.Started = time.Duration(at.UnixNano())
		}
		out = append(out, e)
	}
	return out
}
