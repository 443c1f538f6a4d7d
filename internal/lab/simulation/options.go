package simulation

import "time"

// Options say what is played. A zero field takes its default.
type Options struct {
	Seed                 uint64
	Nodes                int
	Zones                int
	Regions              int
	ServersPerZone       int           // servers in each zone
	ConnectionsPerServer int           // connections that a server bears
	Utilization          float64       // part of what all servers bear that clients ask for
	ConnectionLifetime   time.Duration // mean
	Length               time.Duration // of the run, simulated
	Loss                 float64       // part of the messages between nodes that is lost
	Scenario             string        // the name of a scenario
	Policy               Policy
	Voters               int
	MaxMessageDelay      time.Duration // of the messages that take longer than usual; whole milliseconds
	Mutation             string        // a note for whoever reads the command line; nothing goes by it
	FleetOnly            bool          // nodes without servers and clients: only their part in the fleet
}

// Policy says who decides where the clients of a zone go.
type Policy string

// The policies. The words are those of the command line.
const (
	CommonPlan  Policy = "common" // the plan that the fleet has agreed on
	EachNode    Policy = "each"   // each node for itself, among all zones
	StaticOrder Policy = "static" // each node for itself, by a fixed order of zones: own, region, others
)

const (
	defaultNodes              = 30
	defaultZones              = 3
	maxDefaultRegions         = 3
	defaultServersPerZone     = 4
	defaultVoters             = 3
	defaultUtilization        = 0.45
	defaultConnectionLifetime = 12 * time.Second
	defaultLength             = 40 * time.Second
	defaultFleetOnlyLength    = 45 * time.Second
	connectionsPerNode        = 36 // that all servers bear, by default; clients ask for some 16 of them
	minServerCapacity         = 50
)

// setDefault gives a zero value its default.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// withDefaults returns the options with the defaults of what is left out.
func (o Options) withDefaults() Options {
	setDefault(&o.Nodes, defaultNodes)
	setDefault(&o.Zones, defaultZones)
	setDefault(&o.Regions, min(maxDefaultRegions, o.Zones))
	setDefault(&o.ServersPerZone, defaultServersPerZone)
	setDefault(&o.ConnectionsPerServer, max(minServerCapacity, connectionsPerNode*o.Nodes/o.Zones/o.ServersPerZone))
	setDefault(&o.Voters, defaultVoters)
	setDefault(&o.Utilization, defaultUtilization)
	setDefault(&o.ConnectionLifetime, defaultConnectionLifetime)
	setDefault(&o.Length, defaultLength)
	setDefault(&o.Policy, CommonPlan)
	return o
}

// fleetOnly returns the options of a run without servers and clients.
func (o Options) fleetOnly() Options {
	o.FleetOnly = true
	setDefault(&o.Length, defaultFleetOnlyLength)
	return o
}

// zoneCapacity is the number of connections that the servers of one zone bear.
func (o Options) zoneCapacity() int { return o.ServersPerZone * o.ConnectionsPerServer }
