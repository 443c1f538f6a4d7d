package config

import (
	"fmt"
	"net/netip"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/edge"
)

// Cluster is a set of servers: static ones, or discovery's.
type Cluster struct {
	Name              string   `toml:"name"`
	Zone              string   `toml:"zone,omitempty"`
	Discovery         string   `toml:"discovery,omitempty"` // IP:PORT of a discovery service; empty: Hosts
	Sessions          float64  `toml:"sessions,omitzero"`   // capacity of a server of weight 1
	Nodes             int      `toml:"nodes,omitzero"`      // that share the cluster, this one among them
	Attempts          int      `toml:"attempts,omitzero"`   // of one session at most
	ConnectTimeout    Duration `toml:"connect_timeout,omitzero"`
	DrainGrace        Duration `toml:"drain_grace,omitzero"`   // a draining server gets nothing new after this
	DrainPeriod       Duration `toml:"leave,omitzero"`         // its open sessions are told to leave over this time
	SlowStartFraction float64  `toml:"cold_share,omitzero"`    // fraction of its capacity that a server starts with
	WarmUp            Duration `toml:"warm_up,omitzero"`       // length of the slow start
	OverloadMultiple  float64  `toml:"fall_multiple,omitzero"` // a server with more than this multiple of its capacity
	OverloadTime      Duration `toml:"fall_time,omitzero"`     // for so long fails
	Hosts             []Host   `toml:"host,omitempty"`
}

// Host is a static server.
type Host struct {
	ID      string    `toml:"id,omitempty"` // empty: its address
	Addr    string    `toml:"addr"`         // IP:PORT
	Zone    string    `toml:"zone,omitempty"`
	Kind    string    `toml:"kind,omitempty"` // of its machine
	Weight  float64   `toml:"weight,omitzero"`
	State   string    `toml:"state,omitempty"` // one of the states below
	Started time.Time `toml:"started,omitempty"`
}

// States of a Host.
const (
	stateServing  = "serving"
	stateDraining = "draining"
)

// MaxAttempts is the most attempts that a session may take.
const MaxAttempts = 4

// maxDrainGrace is how long the platform's rules let a draining server get new sessions.
const maxDrainGrace = 3 * time.Second

// clusterCheck notes the faults of one cluster.
type clusterCheck struct {
	file    *tomlfile.File
	path    string // of its table
	cluster string // its name
}

func (c clusterCheck) addIf(wrong bool, key, format string, args ...any) {
	if wrong {
		c.file.Fault(c.path+"."+key, "cluster %q: %s", c.cluster, fmt.Sprintf(format, args...))
	}
}

// setUsualValues fills in the keys that were left out.
func (c *Cluster) setUsualValues() {
	tomlfile.Fill(&c.Sessions, 1000)
	tomlfile.Fill(&c.Nodes, 1)
	tomlfile.Fill(&c.Attempts, MaxAttempts)
	tomlfile.Fill(&c.ConnectTimeout, Duration(time.Second))
	tomlfile.Fill(&c.DrainGrace, Duration(maxDrainGrace))
	tomlfile.Fill(&c.DrainPeriod, Duration(10*time.Second))
	tomlfile.Fill(&c.SlowStartFraction, 0.15)
	tomlfile.Fill(&c.WarmUp, Duration(30*time.Second))
	tomlfile.Fill(&c.OverloadMultiple, 4)
	tomlfile.Fill(&c.OverloadTime, Duration(2*time.Second))
}

func (c *Cluster) check(file *tomlfile.File, path string) {
	c.setUsualValues()
	found := clusterCheck{file: file, path: path, cluster: c.Name}
	found.addIf(c.Attempts < 1 || c.Attempts > MaxAttempts, "attempts", "attempts must be 1 to %d", MaxAttempts)
	validSessions := c.Sessions >= 1 // false for NaN, as the other numbers below
	found.addIf(!validSessions, "sessions", "sessions must be 1 or more")
	found.addIf(c.Nodes < 1, "nodes", "nodes must be 1 or more")
	found.addIf(c.DrainGrace > Duration(maxDrainGrace), "drain_grace", "drain_grace may be 3s at most")
	validColdShare := c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1
	found.addIf(!validColdShare, "cold_share", "cold_share must be 0 to 1")
	validFallMultiple := c.OverloadMultiple > 0
	found.addIf(!validFallMultiple, "fall_multiple", "fall_multiple must be over 0")
	found.addIf(c.Discovery != "" && len(c.Hosts) > 0, "discovery", "discovery and hosts exclude each other")
	found.addIf(c.Discovery == "" && len(c.Hosts) == 0, "name", "neither discovery nor a [[cluster.host]]")
	if c.Discovery != "" {
		_, err := netip.ParseAddrPort(c.Discovery)
		found.addIf(err != nil, "discovery", "discovery %q is not IP:PORT", c.Discovery)
	}
	c.checkHosts(found)
}

func (c *Cluster) checkHosts(found clusterCheck) {
	seen := map[string]bool{}
	for i := range c.Hosts {
		host := &c.Hosts[i]
		tomlfile.Fill(&host.ID, host.Addr)
		tomlfile.Fill(&host.Weight, 1)
		tomlfile.Fill(&host.State, stateServing)
		tomlfile.Fill(&host.Zone, c.Zone)
		path := fmt.Sprintf("host.%d.", i)
		_, err := netip.ParseAddrPort(host.Addr)
		found.addIf(err != nil, path+"addr", "host address %q is not IP:PORT", host.Addr)
		found.addIf(seen[host.ID], path+"id", "host %q stands twice", host.ID)
		found.addIf(host.State != stateServing && host.State != stateDraining, path+"state",
			"host %q: state %q is neither serving nor draining", host.ID, host.State)
		validWeight := host.Weight > 0 // false for NaN
		found.addIf(!validWeight, path+"weight", "host %q: weight must be over 0", host.ID)
		seen[host.ID] = true
	}
}

// Settings is what the decision module is told of a cluster.
func (o *Operator) Settings(cluster Cluster) choice.Settings {
	// Load is the core's own count: there is nothing to find out by asking, and sessions stay where they are.
	settings := choice.Settings{
		Nodes:          cluster.Nodes,
		Zone:           cluster.Zone,
		DelaysObserved: true,
		Subscribe:      cluster.Discovery != "",
		Sizes:          choice.NominalSize,
		Reports:        choice.HealthCheckReports,
		ReportFields:   []choice.ReportField{choice.Load},
		RoundTrip:      5 * time.Millisecond,
		InitialCost:    1 / cluster.Sessions,
		Limits: choice.Limits{
			MaxAttempts:    cluster.Attempts,
			HealthChecks:   true,
			Cancellation:   true,
			RetryAfter:     true,
			MaxRetryAfter:  2 * time.Second,
			ConnectTimeout: time.Duration(cluster.ConnectTimeout),
		},
		Rules: choice.Rules{
			MaxPollInterval:   10 * time.Second,
			DrainGrace:        time.Duration(cluster.DrainGrace),
			SlowStartFraction: cluster.SlowStartFraction,
			WarmUp:            time.Duration(cluster.WarmUp),
			OverloadMultiple:  cluster.OverloadMultiple,
			OverloadTime:      time.Duration(cluster.OverloadTime),
		},
		Costs: choice.Costs{HealthCheck: 0.002, Migration: 0.01},
	}
	for _, class := range o.Classes {
		settings.Classes = append(settings.Classes, choice.Class{
			Name:           class.Name,
			SetupObjective: time.Duration(class.SetupObjective),
			Deadline:       time.Duration(class.Deadline),
			Priority:       class.Priority,
		})
	}
	return settings
}

// StaticHosts are the cluster's servers as the core takes them. seen tells when a server first stood in the file; one
// that comes in while the program runs counts as started then, unless the file says otherwise.
func (c Cluster) StaticHosts(seen func(id string) time.Time) []edge.ServerEntry {
	var servers []edge.ServerEntry
	for _, host := range c.Hosts {
		started := host.Started
		if started.IsZero() {
			started = seen(host.ID)
		}
		servers = append(servers, host.server(started))
	}
	return servers
}

func (h Host) server(started time.Time) edge.ServerEntry {
	server := edge.ServerEntry{Addr: h.Addr, Server: choice.Server{
		ID: choice.ServerID(h.ID), Zone: h.Zone, Kind: h.Kind, Size: h.Weight,
	}}
	if h.State == stateDraining {
		server.State = choice.Draining
	}
	if !started.IsZero() {
		server.Started = time.Duration(started.UnixNano())
	}
	return server
}
