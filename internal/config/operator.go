package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/transport/peerlimit"
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
	Fleet     *Fleet     `toml:"fleet,omitempty"` // nil: the node is in no fleet

	Peers             Peers               `toml:"peers,omitempty"`
	Networks          *peerlimit.Networks `toml:"-"` // of the files that Peers names; nil: none
	Certificates      []Certificate       `toml:"certificate,omitempty"`
	ClientAuthorities string              `toml:"client_authorities,omitempty"` // PEM file, for clients' certificates
	Keys              *tls.Set            `toml:"-"`                            // of the files named above; nil: none
}

// Duration is a time as files have it, as in "1.5s".
type Duration = tomlfile.Duration

// Limits bound what connections may take.
type Limits struct {
	Connections      int      `toml:"connections,omitzero"`    // of clients and servers together
	StanzaBytes      int      `toml:"stanza_bytes,omitzero"`   // of one stanza
	EarlyBytes       int      `toml:"early_bytes,omitzero"`    // of a client, kept for another server
	HeaderTime       Duration `toml:"header_time,omitzero"`    // for the stream header
	HandshakeTimeout Duration `toml:"handshake_time,omitzero"` // for a TLS handshake
	Resumable        int      `toml:"resumable,omitzero"`      // sessions whose server is remembered, to resume
}

// Listener is an address where clients connect.
type Listener struct {
	Addr     string `toml:"addr"`          // IP:PORT
	Protocol string `toml:"protocol"`      // one of the protocols below
	TLS      string `toml:"tls,omitempty"` // one of the TLS modes below; empty: none
}

// Values of a Listener.
const (
	protocolXMPP      = "xmpp"
	protocolWebSocket = "xmpp-websocket"
	tlsStart          = "starttls"
	tlsDirect         = "direct"
)

// Domain is an address that a stream header may name; "*" stands for any other.
type Domain struct {
	Name    string `toml:"name"`
	Cluster string `toml:"cluster"`
	Class   string `toml:"class,omitempty"`
	Streams        // of all its clients
}

// Class is a class of sessions.
type Class struct {
	Name           string   `toml:"name"`
	SetupObjective Duration `toml:"setup_aim,omitzero"` // latency objective of the setup
	Deadline       Duration `toml:"patience,omitzero"`  // deadline of the setup
	Priority       float64  `toml:"worth,omitzero"`     // priority weight
}

// Capture says where load and reports are written down; without a path they are not.
type Capture struct {
	Path     string  `toml:"path,omitempty"`   // what the files' names begin with
	FileMB   int     `toml:"file_mb,omitzero"` // size in megabytes from which on the next file is begun
	Files    int     `toml:"files,omitzero"`   // kept; the oldest is removed for a new one
	Fraction float64 `toml:"share,omitzero"`   // fraction of clients, or groups, that are written down
	Key      string  `toml:"key,omitempty"`    // for the hashes of clients and groups
	Queue    int     `toml:"queue,omitzero"`   // records that may wait to be written
}

// Certificate names the PEM files of a certificate with its chain, and of its key.
type Certificate struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// ReadOperator reads and checks an operator's file, and the files that it names. The error is a tomlfile.Faults, where
// the file could be read.
func ReadOperator(path string) (Operator, error) {
	var operator Operator
	source, err := tomlfile.Load(path)
	if err != nil {
		return operator, err
	}
	file := tomlfile.Decode(path, source, &operator)
	if !file.Broken() {
		operator.check(file)
	}
	return operator, file.Err()
}

// Class finds a class by its name; without one it is the first.
func (o *Operator) Class(name string) (index int, class Class) {
	for i, class := range o.Classes {
		if class.Name == name {
			return i, class
		}
	}
	return 0, o.Classes[0]
}

// besidePlatform says whether the file has no front of its own, but settings for a node with the platform's front.
func (o *Operator) besidePlatform(file *tomlfile.File) bool {
	hasFront := len(o.Listeners)+len(o.Domains)+len(o.Clusters) > 0
	return !hasFront && (file.Has("capture") || o.Fleet != nil)
}

// check sets the default values, finds what can't be, and reads the files that the file names.
func (o *Operator) check(file *tomlfile.File) {
	o.Limits.check(file)
	if file.Has("capture") {
		o.Capture.check(file)
	}
	if o.Fleet != nil {
		o.Fleet.check(file)
	}
	if o.besidePlatform(file) {
		return
	}
	o.checkListeners(file)
	o.readCertificates(file)
	o.checkPeers(file)
	o.checkClasses(file)
	clusters := o.checkClusters(file)
	o.checkDomains(file, clusters)
}

// between notes a fault where a number is out of its bounds.
func between(file *tomlfile.File, path string, value, least, most int) {
	if value < least || value > most {
		key := path[strings.LastIndexByte(path, '.')+1:]
		file.Fault(path, "%s = %d: a number from %d to %d is wanted", key, value, least, most)
	}
}

func (l *Limits) check(file *tomlfile.File) {
	tomlfile.Fill(&l.Connections, 4096)
	tomlfile.Fill(&l.StanzaBytes, 256<<10)
	tomlfile.Fill(&l.EarlyBytes, 64<<10)
	tomlfile.Fill(&l.Resumable, 10000)
	tomlfile.Fill(&l.HeaderTime, Duration(2500*time.Millisecond))
	tomlfile.Fill(&l.HandshakeTimeout, Duration(10*time.Second))
	between(file, "limits.connections", l.Connections, 1, 1<<20)
	between(file, "limits.stanza_bytes", l.StanzaBytes, 10000, 512<<10)
	between(file, "limits.resumable", l.Resumable, 1, 1<<20)
	between(file, "limits.early_bytes", l.EarlyBytes, 4096, 512<<10)
}

// minCaptureKey is the least length of the key that hides who a client is, in bytes.
const minCaptureKey = 16

func (c *Capture) check(file *tomlfile.File) {
	tomlfile.Fill(&c.FileMB, 64)
	tomlfile.Fill(&c.Files, 8)
	tomlfile.Fill(&c.Queue, 8192)
	tomlfile.Fill(&c.Fraction, 1)
	between(file, "capture.file_mb", c.FileMB, 1, 16<<10)
	between(file, "capture.files", c.Files, 1, 10000)
	between(file, "capture.queue", c.Queue, 16, 1<<20)
	if c.Path == "" {
		file.Fault("capture.path", "[capture] without a path: what the files' names begin with is wanted, "+
			"as in path = \"/var/lib/spurwinch/load\"")
	}
	valid := c.Fraction > 0 && c.Fraction <= 1 // false for NaN
	if !valid {
		file.Fault("capture.share", "share = %v: a part over 0, up to 1, is wanted", c.Fraction)
	}
	if len(c.Key) < minCaptureKey {
		file.Fault("capture.key",
			"a key of %d characters: 16 or more are wanted, so that nobody can guess who a client is", len(c.Key))
	}
}

func (o *Operator) checkListeners(file *tomlfile.File) {
	if len(o.Listeners) == 0 {
		file.Fault("", "no [[listener]]: one with addr and protocol is wanted")
	}
	for i, listener := range o.Listeners {
		listener.check(file, fmt.Sprintf("listener.%d.", i), len(o.Certificates) > 0)
	}
}

func (l Listener) check(file *tomlfile.File, path string, hasCertificate bool) {
	if _, err := netip.ParseAddrPort(l.Addr); err != nil {
		file.Fault(path+"addr", "listener: address %q is not IP:PORT", l.Addr)
	}
	if l.Protocol != protocolXMPP && l.Protocol != protocolWebSocket {
		file.Fault(path+"protocol", "listener %s: unknown protocol %q: it must be \"xmpp\" or \"xmpp-websocket\"",
			l.Addr, l.Protocol)
	}
	switch {
	case l.TLS == "":
	case l.TLS != tlsStart && l.TLS != tlsDirect:
		file.Fault(path+"tls", "listener %s: tls = %q: it must be \"starttls\" or \"direct\"", l.Addr, l.TLS)
	case l.TLS == tlsStart && l.Protocol == protocolWebSocket:
		file.Fault(path+"tls", "listener %s: WebSocket has no STARTTLS: tls = \"direct\" is wanted", l.Addr)
	case !hasCertificate:
		file.Fault(path+"tls",
			"listener %s: tls without a certificate: a [[certificate]] with cert and key is wanted", l.Addr)
	}
}

func (o *Operator) checkClasses(file *tomlfile.File) {
	if len(o.Classes) == 0 {
		o.Classes = []Class{{Name: "session"}}
	}
	seen := map[string]bool{}
	for i := range o.Classes {
		class := &o.Classes[i]
		tomlfile.Fill(&class.SetupObjective, Duration(2*time.Second))
		tomlfile.Fill(&class.Deadline, Duration(20*time.Second))
		tomlfile.Fill(&class.Priority, 1)
		if class.Name == "" || seen[class.Name] || class.Priority < 0 {
			file.Fault(fmt.Sprintf("class.%d.name", i),
				"class %q: a name of its own and a worth over 0 are needed", class.Name)
		}
		seen[class.Name] = true
	}
}

// checkClusters returns the names of the clusters.
func (o *Operator) checkClusters(file *tomlfile.File) map[string]bool {
	seen := map[string]bool{}
	for i := range o.Clusters {
		cluster := &o.Clusters[i]
		path := fmt.Sprintf("cluster.%d", i)
		if cluster.Name == "" || seen[cluster.Name] {
			file.Fault(path+".name", "cluster %q: a name of its own is needed", cluster.Name)
		}
		seen[cluster.Name] = true
		cluster.check(file, path)
	}
	return seen
}

func (o *Operator) checkDomains(file *tomlfile.File, clusters map[string]bool) {
	if len(o.Domains) == 0 {
		file.Fault("", "no [[domain]]: one with name and cluster is wanted")
	}
	classes := map[string]bool{}
	for _, class := range o.Classes {
		classes[class.Name] = true
	}
	seen := map[string]bool{}
	for i := range o.Domains {
		domain := &o.Domains[i]
		path := fmt.Sprintf("domain.%d.", i)
		domain.Name = strings.ToLower(domain.Name)
		tomlfile.Fill(&domain.Class, o.Classes[0].Name)
		switch {
		case domain.Name == "" || seen[domain.Name]:
			file.Fault(path+"name", "domain %q: a name of its own is needed", domain.Name)
		case !clusters[domain.Cluster]:
			file.Fault(path+"cluster", "domain %q: unknown cluster %q: no [[cluster]] has this name",
				domain.Name, domain.Cluster)
		case !classes[domain.Class]:
			file.Fault(path+"class", "domain %q: unknown class %q: no [[class]] has this name",
				domain.Name, domain.Class)
		}
		seen[domain.Name] = true
	}
}
