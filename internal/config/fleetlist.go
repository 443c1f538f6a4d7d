package config

import (
	"fmt"
	"net/netip"
	"time"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// FleetList is the file that is the same at all nodes of a fleet: the nodes, and the rules that they have in common.
type FleetList struct {
	NodeList        []FleetNode      `toml:"node"`
	Plan            FleetPlan        `toml:"plan,omitempty"`
	RegionDistances []RegionDistance `toml:"far,omitempty"`
	Policy          *FleetPolicy     `toml:"policy,omitempty"` // nil: each node goes by its own files

	List *membership.List `toml:"-"` // of NodeList
	Addr []string         `toml:"-"` // by number in List
}

// FleetNode is one node.
type FleetNode struct {
	Name   string `toml:"name"`
	Addr   string `toml:"addr"` // IP:PORT for messages of other nodes
	Zone   string `toml:"zone"`
	Region string `toml:"region,omitempty"`
	Voter  bool   `toml:"voter,omitempty"`
}

// FleetPlan holds the rules of the plans that move load between zones.
type FleetPlan struct {
	UtilizationLimit float64  `toml:"limit,omitzero"` // fraction of a server's capacity that is planned for
	GrantLifetime    Duration `toml:"life,omitzero"`  // of a grant into another zone without word of the leader
	RecoveryDelay    Duration `toml:"hold,omitzero"`  // a zone must be healthy for so long before it takes load again
	RecoveryRamp     float64  `toml:"ramp,omitzero"`  // fraction of a recovered zone's capacity given back each second
	RegionalClasses  []string `toml:"stay,omitempty"` // classes that don't leave their region
}

// RegionDistance is the relative cost of traffic between two regions; 1 where none is told.
type RegionDistance struct {
	Between []string `toml:"between"`
	Cost    float64  `toml:"cost"`
}

// Default values of the rules of plans, in the list of nodes as in a policy document.
const (
	defaultUtilizationLimit = 0.85
	defaultRecoveryDelay    = Duration(4 * time.Second)
	defaultRecoveryRamp     = 0.2
)

const (
	maxNodeName = 64 // bytes, of a node's and of a zone's name
	farFormat   = "[[far]]: between = [REGION, REGION] and a cost of 1 or more are wanted"
)

// ReadFleetList reads and checks a list of nodes. The error is a tomlfile.Faults, where the file could be read.
func ReadFleetList(path string) (*FleetList, error) {
	source, err := tomlfile.Load(path)
	if err != nil {
		return nil, err
	}
	list := &FleetList{}
	file := tomlfile.Decode(path, source, list)
	if !file.Broken() {
		list.check(file)
	}
	return list, file.Err()
}

func (l *FleetList) check(file *tomlfile.File) {
	l.Plan.check(file)
	if l.Policy != nil {
		l.Policy.check(file)
	}
	l.checkNodes(file)
	for i, far := range l.RegionDistances {
		if !far.isValid() {
			file.Fault(fmt.Sprintf("far.%d", i), farFormat)
		}
	}
	l.number(file)
}

func (p *FleetPlan) check(file *tomlfile.File) {
	tomlfile.Fill(&p.UtilizationLimit, defaultUtilizationLimit)
	tomlfile.Fill(&p.GrantLifetime, Duration(30*time.Second))
	tomlfile.Fill(&p.RecoveryDelay, defaultRecoveryDelay)
	tomlfile.Fill(&p.RecoveryRamp, defaultRecoveryRamp)
	validLimit := p.UtilizationLimit > 0.1 && p.UtilizationLimit <= 1 // false for NaN, as validRamp is
	if !validLimit {
		file.Fault("plan.limit", "limit = %v: a part over 0.1, up to 1, is wanted", p.UtilizationLimit)
	}
	validRamp := p.RecoveryRamp > 0 && p.RecoveryRamp <= 1
	if !validRamp {
		file.Fault("plan.ramp", "ramp = %v: a part over 0, up to 1, is wanted", p.RecoveryRamp)
	}
	lifetime := time.Duration(p.GrantLifetime)
	if lifetime < 3*time.Second || lifetime > 5*time.Minute {
		file.Fault("plan.life", "life = %q: 3s to 5m are possible", lifetime)
	}
	delay := time.Duration(p.RecoveryDelay)
	if delay < time.Second || delay > time.Hour {
		file.Fault("plan.hold", "hold = %q: 1s to 1h are possible", delay)
	}
}

func (f RegionDistance) isValid() bool { return len(f.Between) == 2 && f.Cost >= 1 } // false where the cost is NaN

// checkNodes finds faults of single nodes, and a wrong number of voters.
func (l *FleetList) checkNodes(file *tomlfile.File) {
	voters := 0
	seen := map[string]bool{}
	for i, node := range l.NodeList {
		path := fmt.Sprintf("node.%d.", i)
		if _, err := netip.ParseAddrPort(node.Addr); err != nil {
			file.Fault(path+"addr", "node %q: address %q is not IP:PORT", node.Name, node.Addr)
		} else if seen[node.Addr] {
			file.Fault(path+"addr", "node %q: address %s stands twice", node.Name, node.Addr)
		}
		seen[node.Addr] = true
		if len(node.Zone) > maxNodeName || len(node.Name) > maxNodeName {
			file.Fault(path+"name", "node %q: names have 64 bytes at most", node.Name)
		}
		if node.Voter {
			voters++
		}
	}
	tooSmallForMore := voters == 1 && len(l.NodeList) < 3
	if voters != 3 && voters != 5 && voters != 7 && !tooSmallForMore {
		file.Fault("node", "%d voters: 3, 5 or 7 nodes with voter = true are wanted, in different zones", voters)
	}
}

// number gives the nodes their numbers, which are the same wherever the list is read.
func (l *FleetList) number(file *tomlfile.File) {
	var nodes []membership.Node
	for _, node := range l.NodeList {
		nodes = append(nodes, membership.Node{
			Name: node.Name, Zone: node.Zone, Region: node.Region, Voter: node.Voter,
		})
	}
	list, err := membership.NewList(nodes)
	if err != nil {
		file.Fault("node", "%v", err)
		return
	}
	if len(list.Zones()) > failover.MaxZones {
		file.Fault("node", "%d zones: %d at most", len(list.Zones()), failover.MaxZones)
	}
	l.List = list
	l.Addr = make([]string, list.Len())
	for _, node := range l.NodeList {
		l.Addr[list.Index(node.Name)] = node.Addr
	}
}

// Rules are the plans' rules, but for the classes.
func (l *FleetList) Rules() failover.Rules {
	cost := map[[2]string]float64{}
	for _, far := range l.RegionDistances {
		from, to := far.Between[0], far.Between[1]
		cost[[2]string{from, to}] = far.Cost
		cost[[2]string{to, from}] = far.Cost
	}
	return failover.Rules{
		UtilizationLimit: l.Plan.UtilizationLimit,
		GrantLifetime:    time.Duration(l.Plan.GrantLifetime),
		RecoveryDelay:    time.Duration(l.Plan.RecoveryDelay),
		RecoveryRamp:     l.Plan.RecoveryRamp,
		RegionDistance:   func(from, to string) float64 { return max(1, cost[[2]string{from, to}]) },
	}
}
