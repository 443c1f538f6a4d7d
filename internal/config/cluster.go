package config

import (
	"fmt"
	"net/netip"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/edge"
)

// Cluster is a set of servers, which are either static or come from a discovery service.
type Cluster struct {
	Name              string         `toml:"name"`
	Zone              string         `toml:"zone,omitempty"`
	Discovery         string         `toml:"discovery,omitempty"` // IP:PORT of a discovery service; empty: static
	Sessions          float64        `toml:"sessions,omitzero"`   // capacity of a server of weight 1
	Nodes             int            `toml:"nodes,omitzero"`      // nodes that share the cluster, including this one
	Attempts          int            `toml:"attempts,omitzero"`   // maximum attempts of one session
	ConnectTimeout    Duration       `toml:"connect_timeout,omitzero"`
	DrainGrace        Duration       `toml:"drain_grace,omitzero"`   // how long a draining server gets new sessions
	DrainPeriod       Duration       `toml:"leave,omitzero"`         // time over which its sessions are told to leave
	SlowStartFraction float64        `toml:"cold_share,omitzero"`    // fraction of capacity that a starting server has
	WarmUp            Duration       `toml:"warm_up,omitzero"`       // length of the slow start
	OverloadMultiple  float64        `toml:"fall_multiple,omitzero"` // multiple of capacity above which a server fails
	OverloadTime      Duration       `toml:"fall_time,omitzero"`     // how long the overload lasts before it fails
	Servers           []StaticServer `toml:"host,omitempty"`
}

// StaticServer is a server that the operator's file lists in a [[cluster.host]] table.
type StaticServer struct {
	ID      string    `toml:"id,omitempty"` // empty: its address
	Addr    string    `toml:"addr"`         // IP:PORT
	Zone    string    `toml:"zone,omitempty"`
	Kind    string    `toml:"kind,omitempty"` // kind of its machine
	Weight  float64   `toml:"weight,omitzero"`
	State   string    `toml:"state,omitempty"` // stateServing or stateDraining; empty: stateServing
	Started time.Time `toml:"started,omitempty"`
}

// States of a StaticServer.
const (
	stateServing  = "serving"
	stateDraining = "draining"
)

// MaxAttempts is the maximum number of attempts of a session.
const MaxAttempts = 4

// maxDrainGrace is the time for which the platform's rules allow new sessions on a draining server.
const maxDrainGrace = 3 * time.Second

// clusterCheck reports the faults of one cluster as faults of the file.
type clusterCheck struct {
	file    *tomlfile.File
	path    string // path of the cluster's table
	cluster string // name of the cluster
}

func (c clusterCheck) addIf(invalid bool, key, format string, args ...any) {
	if invalid {
		c.file.Fault(c.path+"."+key, "cluster %q: %s", c.cluster, fmt.Sprintf(format, args...))
	}
}

// setDefaults sets the default values of keys that the file omits.
func (c *Cluster) setDefaults() {
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
	c.setDefaults()
	found := clusterCheck{file: file, path: path, cluster: c.Name}
	found.addIf(c.Attempts < 1 || c.Attempts > MaxAttempts, "attempts", "attempts must be 1 to %d", MaxAttempts)
	validSessions := c.Sessions >= 1 // false for NaN, like the other conditions below
	found.addIf(!validSessions, "sessions", "sessions must be 1 or greater")
	found.addIf(c.Nodes < 1, "nodes", "nodes must be 1 or greater")
	found.addIf(c.DrainGrace > Duration(maxDrainGrace), "drain_grace", "drain_grace must be at most 3s")
	validColdShare := c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1
	found.addIf(!validColdShare, "cold_share", "cold_share must be 0 to 1")
	validFallMultiple := c.OverloadMultiple > 0
	found.addIf(!validFallMultiple, "fall_multiple", "fall_multiple must be greater than 0")
	found.addIf(c.Discovery != "" && len(c.Servers) > 0, "discovery",
		"discovery and [[cluster.host]] are mutually exclusive")
	found.addIf(c.Discovery == "" && len(c.Servers) == 0, "discovery",
		"must have either discovery or a [[cluster.host]]")
	if c.Discovery != "" {
		_, err := netip.ParseAddrPort(c.Discovery)
		found.addIf(err != nil, "discovery", "discovery %q is not IP:PORT", c.Discovery)
	}
	c.checkServers(found)
}

func (c *Cluster) checkServers(found clusterCheck) {
	seen := map[string]bool{}
	for i := range c.Servers {
		server := &c.Servers[i]
		tomlfile.Fill(&server.ID, server.Addr)
		tomlfile.Fill(&server.Weight, 1)
		tomlfile.Fill(&server.State, stateServing)
		tomlfile.Fill(&server.Zone, c.Zone)
		path := fmt.Sprintf("host.%d.", i)
		_, err := netip.ParseAddrPort(server.Addr)
		found.addIf(err != nil, path+"addr", "host address %q is not IP:PORT", server.Addr)
		found.addIf(seen[server.ID], path+"id", "host %q is listed twice: its id must be unique", server.ID)
		found.addIf(server.State != stateServing && server.State != stateDraining, path+"state",
			"host %q: state must be serving or draining, got %q", server.ID, server.State)
		validWeight := server.Weight > 0 // false for NaN
		found.addIf(!validWeight, path+"weight", "host %q: weight must be greater than 0", server.ID)
		seen[server.ID] = true
	}
}

// Settings returns the settings of package choice for a cluster.
func (o *Operator) Settings(cluster Cluster) choice.Settings {
	// The core counts the load of each server itself, so asking servers for it yields nothing new. Sessions stay on
	// their server.
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

// StaticServers returns the cluster's servers as entries for the core. seen returns the time when a server first
// appeared in the file, which is the start time of a server for which the file has none. A server that is added while
// the program runs thus counts as started when it was added.
func (c Cluster) StaticServers(seen func(id string) time.Time) []edge.ServerEntry {
	var servers []edge.ServerEntry
	for _, server := range c.Servers {
		started := server.Started
		if started.IsZero() {
			started = seen(server.ID)
		}
		servers = append(servers, server.serverEntry(started))
	}
	return servers
}

func (s StaticServer) serverEntry(started time.Time) edge.ServerEntry {
	entry := edge.ServerEntry{Addr: s.Addr, Server: choice.Server{
		ID: choice.ServerID(s.ID), Zone: s.Zone, Kind: s.Kind, Size: s.Weight,
	}}
	if s.State == stateDraining {
		entry.State = choice.Draining
	}
	if !started.IsZero() {
		entry.Started = time.Duration(started.UnixNano())
	}
	return entry
}
