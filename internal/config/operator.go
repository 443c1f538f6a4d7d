package config

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"spurwinch/choice"
	"spurwinch/internal/edge"
)

// Operator is the operator's file: the fronts and clusters beside the platform's own. The tags are its keys.
type Operator struct {
	Limits    Limits     `toml:"limits"`
	Listeners []Listener `toml:"listener"`
	Domains   []Domain   `toml:"domain"`
	Classes   []Class    `toml:"class"`
	Clusters  []Cluster  `toml:"cluster"`
}

// Limits bound what connections may take.
type Limits struct {
	Connections int      `toml:"connections,omitzero"`  // both sides together
	StanzaBytes int      `toml:"stanza_bytes,omitzero"` // of one stanza
	EarlyBytes  int      `toml:"early_bytes,omitzero"`  // of a client, kept for another host
	HeaderTime  Duration `toml:"header_time,omitzero"`  // for the stream header
}

// Listener is an address where clients connect.
type Listener struct {
	Addr     string `toml:"addr"`
	Protocol string `toml:"protocol"`
}

// Domain is an address that a stream header may name; "*" stands for any other.
type Domain struct {
	Name    string `toml:"name"`
	Cluster string `toml:"cluster"`
	Class   string `toml:"class,omitempty"`
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
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err == nil && v < 0 {
		err = errors.New("negative duration")
	}
	*d = Duration(v)
	return err
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func fill[T comparable](v *T, usual T) {
	var zero T
	if *v == zero {
		*v = usual
	}
}

// MostAttempts is the most attempts that a session may take.
const MostAttempts = 4

// ReadOperator reads and checks an operator's file.
func ReadOperator(path string) (Operator, error) {
	var o Operator
	md, err := toml.DecodeFile(path, &o)
	if err != nil {
		return o, fmt.Errorf("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if u := md.Undecoded(); len(u) > 0 {
		return o, fmt.Errorf("%s: unknown key %q", path, u[0].String())
	}
	if err := o.check(); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

func (o *Operator) check() error {
	fill(&o.Limits.Connections, 4096)
	fill(&o.Limits.StanzaBytes, 256<<10)
	fill(&o.Limits.EarlyBytes, 64<<10)
	fill(&o.Limits.HeaderTime, Duration(2500*time.Millisecond))
	if o.Limits.Connections < 0 || o.Limits.StanzaBytes < 10000 || o.Limits.StanzaBytes > 512<<10 || o.Limits.EarlyBytes < 4096 || o.Limits.EarlyBytes > 512<<10 {
		return errors.New("limits: connections must be positive, stanza_bytes 10000 to 524288, early_bytes 4096 to 524288")
	}
	if len(o.Listeners) == 0 {
		return errors.New("no [[listener]]")
	}
	for _, l := range o.Listeners {
		if _, err := netip.ParseAddrPort(l.Addr); err != nil {
			return fmt.Errorf("listener: address %q is not IP:PORT", l.Addr)
		}
		if l.Protocol != "xmpp" {
			return fmt.Errorf("listener %s: unknown protocol %q", l.Addr, l.Protocol)
		}
	}
	if len(o.Classes) == 0 {
		o.Classes = []Class{{Name: "session"}}
	}
	classes := map[string]bool{}
	for i := range o.Classes {
		c := &o.Classes[i]
		fill(&c.SetupAim, Duration(2*time.Second))
		fill(&c.Patience, Duration(20*time.Second))
		fill(&c.Worth, 1)
		if c.Name == "" || classes[c.Name] || c.Worth < 0 {
			return fmt.Errorf("class %q: a name of its own and a worth over 0 are needed", c.Name)
		}
		classes[c.Name] = true
	}
	clusters := map[string]bool{}
	for i := range o.Clusters {
		c := &o.Clusters[i]
		if c.Name == "" || clusters[c.Name] {
			return fmt.Errorf("cluster %q: a name of its own is needed", c.Name)
		}
		clusters[c.Name] = true
		if err := c.check(); err != nil {
			return fmt.Errorf("cluster %q: %w", c.Name, err)
		}
	}
	if len(o.Domains) == 0 {
		return errors.New("no [[domain]]")
	}
	seen := map[string]bool{}
	for i := range o.Domains {
		d := &o.Domains[i]
		d.Name = strings.ToLower(d.Name)
		fill(&d.Class, o.Classes[0].Name)
		switch {
		case d.Name == "" || seen[d.Name]:
			return fmt.Errorf("domain %q: a name of its own is needed", d.Name)
		case !clusters[d.Cluster]:
			return fmt.Errorf("domain %q: unknown cluster %q", d.Name, d.Cluster)
		case !classes[d.Class]:
			return fmt.Errorf("domain %q: unknown class %q", d.Name, d.Class)
		}
		seen[d.Name] = true
	}
	return nil
}

func (c *Cluster) check() error {
	fill(&c.Sessions, 1000)
	fill(&c.Nodes, 1)
	fill(&c.Attempts, MostAttempts)
	fill(&c.ConnectTimeout, Duration(time.Second))
	fill(&c.DrainGrace, Duration(3*time.Second))
	fill(&c.Leave, Duration(10*time.Second))
	fill(&c.ColdShare, 0.15)
	fill(&c.WarmUp, Duration(30*time.Second))
	fill(&c.FallMultiple, 4)
	fill(&c.FallTime, Duration(2*time.Second))
	switch {
	case c.Attempts < 1 || c.Attempts > MostAttempts:
		return fmt.Errorf("attempts must be 1 to %d", MostAttempts)
	case c.Sessions < 1 || c.Nodes < 1:
		return errors.New("sessions and nodes must be 1 or more")
	case c.DrainGrace > Duration(3*time.Second):
		return errors.New("drain_grace may be 3s at most")
	case c.ColdShare < 0 || c.ColdShare > 1 || c.FallMultiple <= 0:
		return errors.New("cold_share must be 0 to 1, fall_multiple over 0")
	case c.Discovery != "" && len(c.Hosts) > 0:
		return errors.New("discovery and hosts exclude each other")
	case c.Discovery == "" && len(c.Hosts) == 0:
		return errors.New("neither discovery nor a [[cluster.host]]")
	}
	if c.Discovery != "" {
		if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
			return fmt.Errorf("discovery %q is not IP:PORT", c.Discovery)
		}
	}
	seen := map[string]bool{}
	for i := range c.Hosts {
		h := &c.Hosts[i]
		if _, err := netip.ParseAddrPort(h.Addr); err != nil {
			return fmt.Errorf("host address %q is not IP:PORT", h.Addr)
		}
		fill(&h.ID, h.Addr)
		fill(&h.Weight, 1)
		fill(&h.State, "serving")
		fill(&h.Zone, c.Zone)
		switch {
		case seen[h.ID]:
			return fmt.Errorf("host %q stands twice", h.ID)
		case h.State != "serving" && h.State != "draining":
			return fmt.Errorf("host %q: state %q is neither serving nor draining", h.ID, h.State)
		case h.Weight < 0:
			return fmt.Errorf("host %q: weight must be over 0", h.ID)
		}
		seen[h.ID] = true
	}
	return nil
}

// Settings is what the module is told of a cluster.
func (o *Operator) Settings(c Cluster) choice.Settings {
	// Load is the core's own count: there is nothing to find out by asking, and sessions stay where they are.
	s := choice.Settings{Nodes: c.Nodes, Zone: c.Zone, TellsDelay: true, Subscribe: c.Discovery != "", Sizes: choice.NominalSize,
		Reports: choice.ProbeReports, Fields: []choice.Field{choice.Load}, Round: 5 * time.Millisecond,
		Limits: choice.Limits{Attempts: c.Attempts, MayProbe: true, MayCancel: true, RetryAdvice: true,
			MaxRetryAdvice: 2 * time.Second, ConnectTimeout: time.Duration(c.ConnectTimeout)},
		Rules: choice.Rules{AskWithin: 10 * time.Second, DrainGrace: time.Duration(c.DrainGrace), ColdShare: c.ColdShare,
			WarmUp: time.Duration(c.WarmUp), FallMultiple: c.FallMultiple, FallTime: time.Duration(c.FallTime)},
		Tariffs: choice.Tariffs{Probe: 0.002, Move: 0.01}}
	for _, k := range o.Classes {
		s.Classes = append(s.Classes, choice.Class{Name: k.Name, SetupAim: time.Duration(k.SetupAim),
			Deadline: time.Duration(k.Patience), Worth: k.Worth})
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
func (c Cluster) StaticHosts(seen func(id string) time.Time) []edge.UpstreamHost {
	var out []edge.UpstreamHost
	for _, h := range c.Hosts {
		e := edge.UpstreamHost{Addr: h.Addr, Server: choice.Server{ID: choice.ServerID(h.ID), Zone: h.Zone, Kind: h.Kind, Size: h.Weight}}
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
