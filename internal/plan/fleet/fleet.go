// Package fleet reads the description of a fleet: zones (data centres), machines, nodes, classes of connections,
// tenants (editions), and the limits that they share. The planner forecasts from it, and fake fleets are
// built from it.
//
// The unit of load is the standard connection: connections_per_core of them fill one core of the reference machine.
// Durations are written as "1.5s"; shares of a whole are relative to their sum.
package fleet

import (
	"spurwinch/internal/config/tomlfile"
)

// Duration is a duration as the file writes it.
type Duration = tomlfile.Duration

// Fleet is a fleet file. The tags are its keys, which keep the words of the pages.
type Fleet struct {
	General      General       `toml:"fleet"`
	Network      Network       `toml:"network"`
	Zones        []Zone        `toml:"centre"`
	Delays       []ZoneDelay   `toml:"delay"`
	MachineKinds []MachineKind `toml:"kind"`
	ServerPools  []ServerPool  `toml:"servers"`
	NodePools    []NodePool    `toml:"node"`
	Classes      []Class       `toml:"class"`
	Tenants      []Tenant      `toml:"edition"`
	Group        Group         `toml:"group"`
	Store        Store         `toml:"store"`
	SlowStart    SlowStart     `toml:"cold"`
	LoadReports  LoadReports   `toml:"reports"`
	Clients      Clients       `toml:"clients"`
	Discovery    Discovery     `toml:"discovery"`
}

// General holds what applies to the whole fleet.
type General struct {
	Name               string   `toml:"name"`
	ConnectionsPerCore float64  `toml:"connections_per_core"` // standard connections that a reference core carries
	MessageWork        Duration `toml:"message_work"`         // CPU time of one message on a reference core
	MessageInterval    Duration `toml:"message_every"`        // between two messages of one client
	OverQuotaPriority  float64  `toml:"over_share_worth"`     // priority weight of a connection beyond a quota
	QuotaFraction      float64  `toml:"share_of"`             // fraction of the capacity that the quotas divide
}

// Network holds one-way latencies.
type Network struct {
	SameZone  Duration `toml:"same_centre"`
	CrossZone Duration `toml:"cross_centre"`
	Client    Duration `toml:"client"`
}

// Zone is a data centre with its share of the clients.
type Zone struct {
	Name    string  `toml:"name"`
	Clients float64 `toml:"clients"`
}

// ZoneDelay is a one-way latency between two zones that differs from the usual one. It holds in both directions.
type ZoneDelay struct {
	From   string   `toml:"from"`
	To     string   `toml:"to"`
	OneWay Duration `toml:"one_way"`
}

// MachineKind is a kind of server machine.
type MachineKind struct {
	Name        string   `toml:"name"`
	Cores       float64  `toml:"cores"`
	Speed       float64  `toml:"speed"`        // of a core; that of the reference machine is 1
	SpeedSpread float64  `toml:"speed_spread"` // standard deviation over machines, as a fraction of the speed
	Connections int      `toml:"connections"`  // maximum of a machine
	SetupQueue  int      `toml:"setup_queue"`  // maximum of pending set-ups; any further is answered BUSY
	ShedAfter   Duration `toml:"shed_after"`   // backlog from which connections are shed; 0: never
}

// ServerPool is a number of machines of one kind in one zone.
type ServerPool struct {
	Kind      string `toml:"kind"`
	Zone      string `toml:"centre"`
	Count     int    `toml:"count"`
	WarmingUp bool   `toml:"cold"` // they start with the load, in slow start
}

// NodePool is a number of nodes of one size in one zone.
type NodePool struct {
	Zone        string `toml:"centre"`
	Count       int    `toml:"count"`
	Descriptors int    `toml:"sockets"`
}

// Class is a class of connections.
type Class struct {
	Name               string   `toml:"name"`
	Share              float64  `toml:"share"` // of new connections, where no capture gives it
	Load               float64  `toml:"load"`  // mean, in standard connections
	LoadSpread         float64  `toml:"load_spread"`
	LoadVariation      float64  `toml:"swing"`  // log-normal spread of one connection's load over time
	LoadChangeInterval Duration `toml:"change"` // mean time between changes of that load
	Lifetime           Duration `toml:"life"`   // mean, where no capture gives it
	LifetimeSpread     float64  `toml:"life_spread"`
	SetupWork          Duration `toml:"setup_work"` // CPU time on a reference core
	SetupObjective     Duration `toml:"setup_aim"`
	Deadline           Duration `toml:"patience"`
	MessageObjective   Duration `toml:"message_aim"`
	Priority           float64  `toml:"worth"` // priority weight of a second
}

// Tenant is a customer, an edition of the file, with its quota.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // arrivals relative to its share, where no capture gives them
}

// Group describes the groups of connections that share state on a server.
type Group struct {
	Cost float64 `toml:"cost"` // in standard connections, once on each server that holds any of a group
	Size float64 `toml:"size"` // mean sessions of a group, where no capture gives it
}

// Store is the session store, called once by each set-up.
type Store struct {
	Rate    float64  `toml:"rate"` // maximum calls a second, of all servers; 0: unlimited
	Latency Duration `toml:"latency"`
}

// SlowStart describes how servers warm up after a start.
type SlowStart struct {
	Fraction         float64  `toml:"share"`
	WarmUp           Duration `toml:"warm_up"`
	OverloadMultiple float64  `toml:"fall_multiple"`
	OverloadTime     Duration `toml:"fall_time"`
}

// LoadReports describes the servers' load reports.
type LoadReports struct {
	Interval        Duration `toml:"every"`
	Noise           float64  `toml:"noise"` // standard deviation, as a fraction of the value
	HealthCheckWork Duration `toml:"probe_work"`
}

// Clients describes how clients reconnect.
type Clients struct {
	Retries      int      `toml:"retries"` // attempts after a failure, Backoff apart
	Backoff      Duration `toml:"backoff"`
	ReconnectMin Duration `toml:"rejoin_min"` // wait after a reset or a migration
	ReconnectMax Duration `toml:"rejoin_max"`
	Pause        Duration `toml:"pause"` // wait after all retries failed
}

// Discovery describes the endpoint list.
type Discovery struct {
	Delay Duration `toml:"delay"` // until a node sees a change
}

// Read reads, completes and validates a fleet file. The error is a tomlfile.Faults where the file could be read.
func Read(path string) (*Fleet, error) {
	source, err := tomlfile.Load(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, source)
}

// Parse completes and validates the text of a fleet file; path names it in errors. The error is a tomlfile.Faults.
func Parse(path string, source []byte) (*Fleet, error) {
	f := &Fleet{}
	file := tomlfile.Decode(path, source, f)
	if !file.Broken() {
		f.setDefaults(file)
		f.validate(file)
	}
	return f, file.Err()
}
