// Package fleet reads the description of a fleet: zones (data centres), machines, nodes, classes of connections,
// tenants (editions), and the limits that they share. The planner makes its forecasts from this description, and the
// laboratory builds fake fleets from it.
//
// The unit of load is the standard connection. One core of the reference machine carries connections_per_core of them.
// Durations are written as "1.5s". Shares of a whole are relative to their sum.
package fleet

import (
	"spurwinch/internal/config/tomlfile"
)

// Duration is a duration in the notation of the file.
type Duration = tomlfile.Duration

// Fleet is a fleet file. The tags are the keys of the file, which the documentation uses. Some differ from the field
// names.
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

// General holds the settings of the whole fleet.
type General struct {
	Name               string   `toml:"name"`
	ConnectionsPerCore float64  `toml:"connections_per_core"` // standard connections per reference core
	MessageWork        Duration `toml:"message_work"`         // CPU time of one message on a reference core
	MessageInterval    Duration `toml:"message_every"`        // time between two messages of one client
	OverQuotaPriority  float64  `toml:"over_share_worth"`     // priority factor of a session beyond the quota
	QuotaFraction      float64  `toml:"share_of"`             // fraction of the capacity to divide into quotas
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

// ZoneDelay overrides the one-way latency between two zones, in both directions.
type ZoneDelay struct {
	From   string   `toml:"from"`
	To     string   `toml:"to"`
	OneWay Duration `toml:"one_way"`
}

// MachineKind is a kind of server machine.
type MachineKind struct {
	Name        string   `toml:"name"`
	Cores       float64  `toml:"cores"`
	Speed       float64  `toml:"speed"`        // of a core, relative to the reference machine
	SpeedSpread float64  `toml:"speed_spread"` // standard deviation over machines, as a fraction of the speed
	Connections int      `toml:"connections"`  // maximum per machine
	SetupQueue  int      `toml:"setup_queue"`  // maximum of pending set-ups; the server answers further ones with BUSY
	ShedAfter   Duration `toml:"shed_after"`   // backlog from which the server sheds connections; 0: never
}

// ServerPool is a group of servers of one machine kind in one zone.
type ServerPool struct {
	Kind      string `toml:"kind"`
	Zone      string `toml:"centre"`
	Count     int    `toml:"count"`
	WarmingUp bool   `toml:"cold"` // the servers start together with the load, in slow start
}

// NodePool is a group of nodes of one size in one zone.
type NodePool struct {
	Zone        string `toml:"centre"`
	Count       int    `toml:"count"`
	Descriptors int    `toml:"sockets"`
}

// Class is a class of connections.
type Class struct {
	Name               string   `toml:"name"`
	Share              float64  `toml:"share"`       // of new connections, if no capture provides it
	Load               float64  `toml:"load"`        // mean, in standard connections
	LoadSpread         float64  `toml:"load_spread"` // log-normal spread of the load over connections
	LoadVariation      float64  `toml:"swing"`       // log-normal spread of one connection's load over time
	LoadChangeInterval Duration `toml:"change"`      // mean time between two changes of that load
	Lifetime           Duration `toml:"life"`        // mean, if no capture provides it
	LifetimeSpread     float64  `toml:"life_spread"` // log-normal spread; 0: exponential distribution
	SetupWork          Duration `toml:"setup_work"`  // CPU time on a reference core
	SetupObjective     Duration `toml:"setup_aim"`
	Deadline           Duration `toml:"patience"`
	MessageObjective   Duration `toml:"message_aim"`
	Priority           float64  `toml:"worth"` // priority weight of one second of service
}

// Tenant is a customer with its quota. The file calls it an edition.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // arrivals relative to its share, if no capture provides them
}

// Group describes the groups of connections that share state on a server.
type Group struct {
	Cost float64 `toml:"cost"` // in standard connections, once per server with connections of the group
	Size float64 `toml:"size"` // mean number of sessions per group, if no capture provides it
}

// Store is the session store. Each set-up calls it once.
type Store struct {
	Rate    float64  `toml:"rate"` // maximum calls per second from all servers together; 0: unlimited
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
	Retries      int      `toml:"retries"` // attempts after a failure, at least Backoff apart
	Backoff      Duration `toml:"backoff"`
	ReconnectMin Duration `toml:"rejoin_min"` // wait after a reset or a migration
	ReconnectMax Duration `toml:"rejoin_max"`
	Pause        Duration `toml:"pause"` // wait after all retries failed
}

// Discovery describes the endpoint list.
type Discovery struct {
	Delay Duration `toml:"delay"` // time until a node sees a change
}

// Read reads a fleet file, sets its defaults and validates it. The error is a tomlfile.Faults unless the file can't be
// read.
func Read(path string) (*Fleet, error) {
	source, err := tomlfile.Load(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, source)
}

// Parse decodes the text of a fleet file, sets its defaults and validates it. Error messages contain the path. Any
// error is a tomlfile.Faults.
func Parse(path string, source []byte) (*Fleet, error) {
	f := &Fleet{}
	file := tomlfile.Decode(path, source, f)
	if !file.HasFaults() {
		f.setDefaults(file)
		f.validate(file)
	}
	return f, file.Err()
}
