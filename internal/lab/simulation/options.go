package simulation

import "time"

// Options configure a run. Most fields get a default if they are zero.
type Options struct {
	Seed                 uint64
	Nodes                int
	Zones                int
	Regions              int
	ServersPerZone       int           // servers in each zone
	ConnectionsPerServer int           // capacity of each server
	Utilization          float64       // mean demand of clients, as a fraction of the capacity of all servers
	ConnectionLifetime   time.Duration // mean lifetime that clients need
	Length               time.Duration // simulated duration of the run
	Loss                 float64       // fraction of the messages between nodes that are lost
	Scenario             string        // name of the scenario
	Policy               Policy
	Voters               int
	MaxMessageDelay      time.Duration // upper limit of the extra delay of slow messages, in whole milliseconds
	Mutation             string        // only a note on the command line; the simulation ignores it
	FleetOnly            bool          // run only the fleet agents of the nodes, without servers and clients
}

// Policy is the way in which the target zones for the clients of a zone are chosen.
type Policy string

// Policies, named as on the command line.
const (
	CommonPlan  Policy = "common" // all nodes follow the plan that the fleet has agreed on
	EachNode    Policy = "each"   // each node chooses for itself among all zones
	StaticOrder Policy = "static" // each node follows a fixed order of zones: own zone, own region, others
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
	connectionsPerNode        = 36 // default total server capacity per node, of which clients use about 16
	minServerCapacity         = 50
)

// setDefault gives a zero value its default.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// withDefaults returns the options with the default value for each zero field that has one.
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

// zoneCapacity returns the total capacity of the servers of one zone, in connections.
func (o Options) zoneCapacity() int { return o.ServersPerZone * o.ConnectionsPerServer }
