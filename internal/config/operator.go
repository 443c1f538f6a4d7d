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

// Operator is the operator's file. It configures front ends and clusters in addition to the platform's own. The tags
// are its keys.
type Operator struct {
	Limits    Limits     `toml:"limits"`
	Listeners []Listener `toml:"listener"`
	Domains   []Domain   `toml:"domain"`
	Classes   []Class    `toml:"class"`
	Clusters  []Cluster  `toml:"cluster"`
	Capture   Capture    `toml:"capture,omitempty"`
	Fleet     *Fleet     `toml:"fleet,omitempty"` // nil: the node is in no fleet

	Peers             Peers               `toml:"peers,omitempty"`
	Networks          *peerlimit.Networks `toml:"-"` // read from the files that Peers names; nil: none
	Certificates      []Certificate       `toml:"certificate,omitempty"`
	ClientAuthorities string              `toml:"client_authorities,omitempty"` // PEM file of client certificates' CAs
	Keys              *tls.Set            `toml:"-"`                            // from the certificate files; nil: none
}

// Duration is a duration with the text form of files, for example "1.5s".
type Duration = tomlfile.Duration

// Limits holds the limits for the number of connections and their use of resources.
type Limits struct {
	Connections      int      `toml:"connections,omitzero"`    // open connections of clients and servers together
	StanzaBytes      int      `toml:"stanza_bytes,omitzero"`   // size of one stanza
	EarlyBytes       int      `toml:"early_bytes,omitzero"`    // early client bytes kept to replay to another server
	HeaderTime       Duration `toml:"header_time,omitzero"`    // time for the stream header
	HandshakeTimeout Duration `toml:"handshake_time,omitzero"` // time for a TLS handshake
	Resumable        int      `toml:"resumable,omitzero"`      // sessions whose server is remembered for resumption
}

// Listener is an address that accepts client connections.
type Listener struct {
	Addr     string `toml:"addr"`          // IP:PORT
	Protocol string `toml:"protocol"`      // protocolXMPP or protocolWebSocket
	TLS      string `toml:"tls,omitempty"` // tlsStart or tlsDirect; empty: no TLS
}

// Protocols and TLS modes of a Listener.
const (
	protocolXMPP      = "xmpp"
	protocolWebSocket = "xmpp-websocket"
	tlsStart          = "starttls"
	tlsDirect         = "direct"
)

// Domain is a domain that a stream header may name. The name "*" matches all domains without an entry.
type Domain struct {
	Name         string `toml:"name"`
	Cluster      string `toml:"cluster"`
	Class        string `toml:"class,omitempty"`
	StreamLimits        // limits of all its clients together
}

// Class is a class of sessions.
type Class struct {
	Name           string   `toml:"name"`
	SetupObjective Duration `toml:"setup_aim,omitzero"` // latency objective of the setup
	Deadline       Duration `toml:"patience,omitzero"`  // deadline of the setup
	Priority       float64  `toml:"worth,omitzero"`     // priority weight
}

// Capture configures the recording of load and load reports. Without a path, which a [capture] table must set, nothing
// is recorded.
type Capture struct {
	Path     string  `toml:"path,omitempty"`   // common prefix of the files' names
	FileMB   int     `toml:"file_mb,omitzero"` // size in megabytes at which the next file is started
	Files    int     `toml:"files,omitzero"`   // number of files kept; the oldest is removed for a new one
	Fraction float64 `toml:"share,omitzero"`   // fraction of clients, or groups, that are recorded
	Key      string  `toml:"key,omitempty"`    // key for the hashes of clients and groups
	Queue    int     `toml:"queue,omitzero"`   // maximum number of records that wait to be written
}

// Certificate names the PEM files of a certificate with its chain and of the private key.
type Certificate struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// ReadOperator reads and checks an operator's file and the files that it names. If the file can be read but is invalid,
// the error is a tomlfile.Faults.
func ReadOperator(path string) (Operator, error) {
	var operator Operator
	source, err := tomlfile.Load(path)
	if err != nil {
		return operator, err
	}
	file := tomlfile.Decode(path, source, &operator)
	if !file.HasFaults() {
		operator.check(file)
	}
	return operator, file.Err()
}

// Class returns the class with the given name, or the first class if there is none with this name.
func (o *Operator) Class(name string) (index int, class Class) {
	for i, class := range o.Classes {
		if class.Name == name {
			return i, class
		}
	}
	return 0, o.Classes[0]
}

// onlyExtendsPlatform reports whether the file configures no front end of its own and only adds a capture or a fleet to
// a node that serves the platform's front end.
func (o *Operator) onlyExtendsPlatform(file *tomlfile.File) bool {
	hasFrontEnd := len(o.Listeners)+len(o.Domains)+len(o.Clusters) > 0
	return !hasFrontEnd && (file.Has("capture") || o.Fleet != nil)
}

// check sets default values, checks the values and reads the files that the file names.
func (o *Operator) check(file *tomlfile.File) {
	o.Limits.check(file)
	if file.Has("capture") {
		o.Capture.check(file)
	}
	if o.Fleet != nil {
		o.Fleet.check(file)
	}
	if o.onlyExtendsPlatform(file) {
		return
	}
	o.checkListeners(file)
	o.readCertificates(file)
	o.checkPeers(file)
	o.checkClasses(file)
	clusters := o.checkClusters(file)
	o.checkDomains(file, clusters)
}

// checkRange adds a fault if value is not between least and most.
func checkRange(file *tomlfile.File, path string, value, least, most int) {
	if value < least || value > most {
		key := path[strings.LastIndexByte(path, '.')+1:]
		file.Fault(path, "%s = %d: must be between %d and %d", key, value, least, most)
	}
}

func (l *Limits) check(file *tomlfile.File) {
	tomlfile.Fill(&l.Connections, 4096)
	tomlfile.Fill(&l.StanzaBytes, 256<<10)
	tomlfile.Fill(&l.EarlyBytes, 64<<10)
	tomlfile.Fill(&l.Resumable, 10000)
	tomlfile.Fill(&l.HeaderTime, Duration(2500*time.Millisecond))
	tomlfile.Fill(&l.HandshakeTimeout, Duration(10*time.Second))
	checkRange(file, "limits.connections", l.Connections, 1, 1<<20)
	checkRange(file, "limits.stanza_bytes", l.StanzaBytes, 10000, 512<<10)
	checkRange(file, "limits.resumable", l.Resumable, 1, 1<<20)
	checkRange(file, "limits.early_bytes", l.EarlyBytes, 4096, 512<<10)
}

// minCaptureKeyBytes is the minimum length of the key that hides the identity of clients.
const minCaptureKeyBytes = 16

func (c *Capture) check(file *tomlfile.File) {
	tomlfile.Fill(&c.FileMB, 64)
	tomlfile.Fill(&c.Files, 8)
	tomlfile.Fill(&c.Queue, 8192)
	tomlfile.Fill(&c.Fraction, 1)
	checkRange(file, "capture.file_mb", c.FileMB, 1, 16<<10)
	checkRange(file, "capture.files", c.Files, 1, 10000)
	checkRange(file, "capture.queue", c.Queue, 16, 1<<20)
	if c.Path == "" {
		file.Fault("capture.path", "[capture] without a path: must set the prefix of the files' names, "+
			"for example path = \"/var/lib/spurwinch/load\"")
	}
	valid := c.Fraction > 0 && c.Fraction <= 1 // false for NaN
	if !valid {
		file.Fault("capture.share", "share = %v: must be greater than 0 and at most 1", c.Fraction)
	}
	if len(c.Key) < minCaptureKeyBytes {
		file.Fault("capture.key",
			"a key of %d bytes: must have at least 16 bytes, so that clients' identities can't be guessed", len(c.Key))
	}
}

func (o *Operator) checkListeners(file *tomlfile.File) {
	if len(o.Listeners) == 0 {
		file.Fault("listener", "no [[listener]]: at least one with addr and protocol is required")
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
		file.Fault(path+"protocol", "listener %s: unknown protocol %q: must be \"xmpp\" or \"xmpp-websocket\"",
			l.Addr, l.Protocol)
	}
	switch {
	case l.TLS == "":
	case l.TLS != tlsStart && l.TLS != tlsDirect:
		file.Fault(path+"tls", "listener %s: tls = %q: must be \"starttls\" or \"direct\"", l.Addr, l.TLS)
	case l.TLS == tlsStart && l.Protocol == protocolWebSocket:
		file.Fault(path+"tls", "listener %s: WebSocket has no STARTTLS: tls must be \"direct\"", l.Addr)
	case !hasCertificate:
		file.Fault(path+"tls",
			"listener %s: tls requires a [[certificate]] with cert and key", l.Addr)
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
				"class %q: the name must be unique and not empty, and worth must not be negative", class.Name)
		}
		seen[class.Name] = true
	}
}

// checkClusters checks the clusters and returns their names.
func (o *Operator) checkClusters(file *tomlfile.File) map[string]bool {
	seen := map[string]bool{}
	for i := range o.Clusters {
		cluster := &o.Clusters[i]
		path := fmt.Sprintf("cluster.%d", i)
		if cluster.Name == "" || seen[cluster.Name] {
			file.Fault(path+".name", "cluster %q: the name must be unique and not empty", cluster.Name)
		}
		seen[cluster.Name] = true
		cluster.check(file, path)
	}
	return seen
}

func (o *Operator) checkDomains(file *tomlfile.File, clusters map[string]bool) {
	if len(o.Domains) == 0 {
		file.Fault("domain", "no [[domain]]: at least one with name and cluster is required")
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
			file.Fault(path+"name", "domain %q: the name must be unique and not empty", domain.Name)
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
