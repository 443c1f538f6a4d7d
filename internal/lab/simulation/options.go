package simulation

import (
	"encoding/json"
	"strings"
	"time"
)

// Options say what is played.
type Options struct {
	Seed     uint64
	Nodes    int
	Zones    int
	Regions  int
	Hosts    int           // in each zone
	Bears    int           // connections, a host
	Use      float64       // part of what all hosts bear that clients ask for
	Life     time.Duration // of a connection, in the mean
	Length   time.Duration
	Loss     float64 // of messages between nodes
	Faults   string  // a name of Scenarios, or "drawn"
	Policy   Policy
	Voters   int
	Messages int // the longest time on the way, ms
	Mutation string
	Light    bool // no hosts and no clients: changes of policy
}

// Policy says who decides where clients of a zone go.
type Policy string

const (
	Common Policy = "common" // the plan decided in common
	Each   Policy = "each"   // each node for itself, among all zones: the program before
	Static Policy = "static" // each node for itself, by a fixed order of zones: own, region, others
)

// Usual fills in what is left out.
func (o Options) Usual() Options {
	fill := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	fill(&o.Nodes, 30)
	fill(&o.Zones, 3)
	fill(&o.Regions, min(3, o.Zones))
	fill(&o.Hosts, 4)
	fill(&o.Bears, max(50, 36*o.Nodes/o.Zones/o.Hosts)) // some 16 connections a node
	fill(&o.Voters, 3)
	if o.Use == 0 {
		o.Use = 0.45
	}
	if o.Life == 0 {
		o.Life = 12 * time.Second
	}
	if o.Length == 0 {
		o.Length = 40 * time.Second
	}
	if o.Policy == "" {
		o.Policy = Common
	}
	return o
}

// JSON is a short form of options, to play a run again.
func (o Options) JSON() string {
	b, err := json.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(b))
}
