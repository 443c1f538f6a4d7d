package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/tomlfile"
)

// Fleet is a node's own part of what it needs to be one of a fleet. Without the table it is none.
type Fleet struct {
	Self      string   `toml:"self,omitempty"`   // this node's name in the list
	Listen    string   `toml:"listen,omitempty"` // IP:PORT for datagrams and streams of other nodes
	Nodes     string   `toml:"nodes,omitempty"`  // file with the list of nodes and what is common
	KeyFile   string   `toml:"key_file,omitempty"`
	Dir       string   `toml:"dir,omitempty"`     // for what must outlive the process; voters need it
	Cluster   string   `toml:"cluster,omitempty"` // whose zones are planned; empty: the platform's
	ComeAgain Duration `toml:"come_again,omitzero"`
	// PolicyLevel holds this node to policies without keys of a later level, as while a fleet goes over to a newer version; 0: all that it knows.
	PolicyLevel int `toml:"policy_level,omitzero"`

	List   *FleetList `toml:"-"` // as they were read with the file
	Secret []byte     `toml:"-"`
}

// FleetList is the file that is the same at all nodes: who there is, and the rules of plans.
type FleetList struct {
	NodeList []FleetNode  `toml:"node"`
	Plan     FleetPlan    `toml:"plan,omitempty"`
	Far      []FleetFar   `toml:"far,omitempty"`
	Policy   *FleetPolicy `toml:"policy,omitempty"` // nil: each node goes by its own files

	List *membership.List `toml:"-"`
	Addr []string         `toml:"-"` // by number in List
}

// FleetNode is one node.
type FleetNode struct {
	Name   string `toml:"name"`
	Addr   string `toml:"addr"`
	Zone   string `toml:"zone"`
	Region string `toml:"region,omitempty"`
	Voter  bool   `toml:"voter,omitempty"`
}

// FleetPlan holds the rules of plans.
type FleetPlan struct {
	Limit float64  `toml:"limit,omitzero"` // part of a host that is planned for
	Life  Duration `toml:"life,omitzero"`  // a node crosses zones so long without word of the one that leads
	Hold  Duration `toml:"hold,omitzero"`  // a zone is well so long before it takes load again
	Ramp  float64  `toml:"ramp,omitzero"`  // part of a returning zone's room that is given back each second
	Stay  []string `toml:"stay,omitempty"` // classes that don't leave their region
}

// FleetFar is the cost of the way between two regions; 1 where none is told.
type FleetFar struct {
	Between []string `toml:"between"`
	Cost    float64  `toml:"cost"`
}

// Votes says whether this node is a voter.
func (c *Fleet) Votes() bool { return c.List.List.Node(c.List.List.Index(c.Self)).Voter }

// ReadFleetList reads and checks the common file.
func ReadFleetList(path string) (*FleetList, error) {
	l := &FleetList{}
	src, err := tomlfile.Load(path)
	if err != nil {
		return nil, err
	}
	f := tomlfile.Decode(path, src, l)
	if !f.Broken() {
		l.check(f)
	}
	return l, f.Err()
}

func (l *FleetList) check(f *tomlfile.File) {
	tomlfile.Fill(&l.Plan.Limit, 0.85)
	tomlfile.Fill(&l.Plan.Life, Duration(30*time.Second))
	tomlfile.Fill(&l.Plan.Hold, Duration(4*time.Second))
	tomlfile.Fill(&l.Plan.Ramp, 0.2)
	if !(l.Plan.Limit > 0.1 && l.Plan.Limit <= 1) {
		f.Fault("plan.limit", "limit = %v: a part over 0.1, up to 1, is wanted", l.Plan.Limit)
	}
	if !(l.Plan.Ramp > 0 && l.Plan.Ramp <= 1) {
		f.Fault("plan.ramp", "ramp = %v: a part over 0, up to 1, is wanted", l.Plan.Ramp)
	}
	if t := time.Duration(l.Plan.Life); t < 3*time.Second || t > 5*time.Minute {
		f.Fault("plan.life", "life = %q: 3s to 5m are possible", t)
	}
	if t := time.Duration(l.Plan.Hold); t < time.Second || t > time.Hour {
		f.Fault("plan.hold", "hold = %q: 1s to 1h are possible", t)
	}
	if l.Policy != nil {
		l.Policy.check(f)
	}
	var nodes []membership.Node
	voters := 0
	addrs := map[string]bool{}
	for i, n := range l.NodeList {
		at := fmt.Sprintf("node.%d.", i)
		if _, err := netip.ParseAddrPort(n.Addr); err != nil {
			f.Fault(at+"addr", "node %q: address %q is not IP:PORT", n.Name, n.Addr)
		} else if addrs[n.Addr] {
			f.Fault(at+"addr", "node %q: address %s stands twice", n.Name, n.Addr)
		}
		addrs[n.Addr] = true
		if len(n.Zone) > 64 || len(n.Name) > 64 {
			f.Fault(at+"name", "node %q: names have 64 bytes at most", n.Name)
		}
		if n.Voter {
			voters++
		}
		nodes = append(nodes, membership.Node{Name: n.Name, Zone: n.Zone, Region: n.Region, Voter: n.Voter})
	}
	if voters != 3 && voters != 5 && voters != 7 && !(voters == 1 && len(nodes) < 3) {
		f.Fault("node", "%d voters: 3, 5 or 7 nodes with voter = true are wanted, in different zones", voters)
	}
	for i, x := range l.Far {
		if len(x.Between) != 2 || !(x.Cost >= 1) {
			f.Fault(fmt.Sprintf("far.%d", i), "[[far]]: between = [REGION, REGION] and a cost of 1 or more are wanted")
		}
	}
	list, err := membership.NewList(nodes)
	if err != nil {
		f.Fault("node", "%v", err)
		return
	}
	if len(list.Zones()) > failover.MaxZones {
		f.Fault("node", "%d zones: %d at most", len(list.Zones()), failover.MaxZones)
	}
	l.List, l.Addr = list, make([]string, list.Len())
	for _, n := range l.NodeList {
		l.Addr[list.Index(n.Name)] = n.Addr
	}
}

// Rules are the plans' rules, for classes of a module.
func (l *FleetList) Rules() failover.Rules {
	cost := map[[2]string]float64{}
	for _, x := range l.Far {
		cost[[2]string{x.Between[0], x.Between[1]}], cost[[2]string{x.Between[1], x.Between[0]}] = x.Cost, x.Cost
	}
	return failover.Rules{UtilizationLimit: l.Plan.Limit, GrantLifetime: time.Duration(l.Plan.Life), RecoveryDelay: time.Duration(l.Plan.Hold), RecoveryRamp: l.Plan.Ramp,
		RegionDistance: func(a, b string) float64 { return max(1, cost[[2]string{a, b}]) }}
}

// readFleet checks a node's part and reads the files that it names.
func (o *Operator) readFleet(f *tomlfile.File) {
	c := o.Fleet
	tomlfile.Fill(&c.ComeAgain, Duration(time.Second))
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		f.Fault("fleet.listen", "[fleet] listen = %q is not IP:PORT", c.Listen)
	}
	if c.Nodes == "" {
		f.Fault("fleet.nodes", "[fleet] without nodes: the file with the list of nodes is wanted")
	} else if l, err := ReadFleetList(c.Nodes); err != nil {
		f.Fault("fleet.nodes", "%v", err)
	} else if c.List = l; l.List.Index(c.Self) < 0 {
		f.Fault("fleet.self", "[fleet] self = %q: a name in %s is wanted", c.Self, c.Nodes)
	} else if l.List.Node(l.List.Index(c.Self)).Voter && c.Dir == "" {
		f.Fault("fleet.dir", "[fleet] without dir: %q is a voter, and what it promises must outlive its process", c.Self)
	}
	if c.List != nil && c.List.Policy != nil {
		if c.Dir == "" {
			f.Fault("fleet.dir", "[fleet] without dir: the fleet has its policy on the log, and what a node knows of it must outlive its process")
		}
		if c.Cluster != "" {
			f.Fault("fleet.cluster", "[fleet] cluster = %q: a fleet with its policy on the log serves the platform's front, which has no cluster", c.Cluster)
		}
	}
	if c.PolicyLevel < 0 || c.PolicyLevel > policyLevel {
		f.Fault("fleet.policy_level", "[fleet] policy_level = %d: 1 to %d are known, 0 is all of them", c.PolicyLevel, policyLevel)
	}
	raw, err := os.ReadFile(c.KeyFile)
	if key := strings.TrimSpace(string(raw)); err != nil {
		f.Fault("fleet.key_file", "[fleet] key_file: %v", err)
	} else if len(key) < 32 {
		f.Fault("fleet.key_file", "[fleet] key_file: %s has a key of %d characters: 32 or more are wanted", c.KeyFile, len(key))
	} else {
		c.Secret = []byte(key)
	}
}
