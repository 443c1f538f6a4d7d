package config

import (
	"fmt"
	"net/netip"
	"time"

	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// FleetList is the file that all nodes of a fleet share. It lists the nodes and their common rules.
type FleetList struct {
	NodeList        []FleetNode      `toml:"node"`
	Plan            FleetPlan        `toml:"plan,omitempty"`
	RegionDistances []RegionDistance `toml:"far,omitempty"`
	Policy          *FleetPolicy     `toml:"policy,omitempty"` // nil: each node's policy comes from its own files

	List  *membership.List `toml:"-"` // built from NodeList
	Addrs []string         `toml:"-"` // addresses of nodes, by their number in List
}

// FleetNode is one node of a fleet.
type FleetNode struct {
	Name   string `toml:"name"`
	Addr   string `toml:"addr"` // IP:PORT for messages from other nodes
	Zone   string `toml:"zone"`
	Region string `toml:"region,omitempty"`
	Voter  bool   `toml:"voter,omitempty"`
}

// FleetPlan holds the rules of the plans that move load between zones.
type FleetPlan struct {
	UtilizationLimit float64  `toml:"limit,omitzero"` // fraction of a server's capacity that plans use
	GrantLifetime    Duration `toml:"life,omitzero"`  // time a grant to another zone stays valid without the leader
	RecoveryDelay    Duration `toml:"hold,omitzero"`  // time a zone must be healthy before it takes load again
	RecoveryRamp     float64  `toml:"ramp,omitzero"`  // fraction of a recovered zone's capacity given back each second
	RegionalClasses  []string `toml:"stay,omitempty"` // classes whose requests must stay in their region
}

// RegionDistance is the relative cost of traffic between two regions. Regions without an entry have the cost 1.
type RegionDistance struct {
	Between []string `toml:"between"`
	Cost    float64  `toml:"cost"`
}

// Default values of the plan rules, for both the list of nodes and policy documents.
const (
	defaultUtilizationLimit = 0.85
	defaultRecoveryDelay    = Duration(4 * time.Second)
	defaultRecoveryRamp     = 0.2
)

const (
	maxNodeName           = 64 // bytes of the name of a node or zone
	regionDistanceProblem = "[[far]]: between = [REGION, REGION] and a cost of 1 or more are required"
)

// ReadFleetList reads and checks a list of nodes. If the file can be read but is invalid, the error is a
// tomlfile.Faults.
func ReadFleetList(path string) (*FleetList, error) {
	source, err := tomlfile.Load(path)
	if err != nil {
		return nil, err
	}
	list := &FleetList{}
	file := tomlfile.Decode(path, source, list)
	if !file.HasFaults() {
		list.check(file)
	}
	return list, file.Err()
}

func (l *FleetList) check(file *tomlfile.File) {
	l.Plan.check(file)
	if l.Policy != nil {
		l.Policy.check(file)
	}
	validNodes := l.checkNodes(file)
	for i, distance := range l.RegionDistances {
		distance.check(file, fmt.Sprintf("far.%d", i))
	}
	if validNodes {
		l.buildList(file)
	}
}

func (p *FleetPlan) check(file *tomlfile.File) {
	tomlfile.Fill(&p.UtilizationLimit, defaultUtilizationLimit)
	tomlfile.Fill(&p.GrantLifetime, Duration(30*time.Second))
	tomlfile.Fill(&p.RecoveryDelay, defaultRecoveryDelay)
	tomlfile.Fill(&p.RecoveryRamp, defaultRecoveryRamp)
	validLimit := p.UtilizationLimit > 0.1 && p.UtilizationLimit <= 1 // false for NaN, like validRamp
	if !validLimit {
		file.Fault("plan.limit", "limit = %v: must be greater than 0.1 and at most 1", p.UtilizationLimit)
	}
	validRamp := p.RecoveryRamp > 0 && p.RecoveryRamp <= 1
	if !validRamp {
		file.Fault("plan.ramp", "ramp = %v: must be greater than 0 and at most 1", p.RecoveryRamp)
	}
	lifetime := time.Duration(p.GrantLifetime)
	if lifetime < 3*time.Second || lifetime > 5*time.Minute {
		file.Fault("plan.life", "life = %q: must be between 3s and 5m", lifetime)
	}
	delay := time.Duration(p.RecoveryDelay)
	if delay < time.Second || delay > time.Hour {
		file.Fault("plan.hold", "hold = %q: must be between 1s and 1h", delay)
	}
}

// check reports each key that is missing or invalid; path is the path of the table.
func (d RegionDistance) check(file *tomlfile.File, path string) {
	d.checkRegions(file, path)
	validCost := d.Cost >= 1 // false for NaN
	if !validCost {
		file.Fault(path+".cost", regionDistanceProblem)
	}
}

func (d RegionDistance) checkRegions(file *tomlfile.File, path string) {
	if len(d.Between) != 2 {
		file.Fault(path+".between", regionDistanceProblem)
	}
}

// checkNodes checks each node and the number of voters. It reports whether every node has a name and a zone.
func (l *FleetList) checkNodes(file *tomlfile.File) (valid bool) {
	voters := 0
	valid = true
	seen := map[string]bool{}
	for i, node := range l.NodeList {
		path := fmt.Sprintf("node.%d.", i)
		for key, value := range map[string]string{"name": node.Name, "zone": node.Zone} {
			if value == "" {
				file.Fault(path+key, "node %q: %s is missing: each node must have a name and a zone", node.Name, key)
				valid = false
			}
		}
		if _, err := netip.ParseAddrPort(node.Addr); err != nil {
			file.Fault(path+"addr", "node %q: address %q is not IP:PORT", node.Name, node.Addr)
		} else if seen[node.Addr] {
			file.Fault(path+"addr", "node %q: address %s is listed twice: it must be unique", node.Name, node.Addr)
		}
		seen[node.Addr] = true
		if len(node.Zone) > maxNodeName || len(node.Name) > maxNodeName {
			file.Fault(path+"name", "node %q: the names of the node and its zone must have at most 64 bytes", node.Name)
		}
		if node.Voter {
			voters++
		}
	}
	singleVoterAllowed := voters == 1 && len(l.NodeList) < 3
	if voters != 3 && voters != 5 && voters != 7 && !singleVoterAllowed {
		file.Fault("node", "%d voters: there must be 3, 5 or 7 nodes with voter = true, in different zones", voters)
	}
	return valid
}

// buildList numbers the nodes and sets List and Addr. Every node that reads the same file gets the same numbers.
func (l *FleetList) buildList(file *tomlfile.File) {
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
		file.Fault("node", "%d zones: must be at most %d", len(list.Zones()), failover.MaxZones)
	}
	l.List = list
	l.Addrs = make([]string, list.Len())
	for _, node := range l.NodeList {
		l.Addrs[list.Index(node.Name)] = node.Addr
	}
}

// Rules returns the rules of plans, except the rules for classes.
func (l *FleetList) Rules() failover.Rules {
	cost := map[[2]string]float64{}
	for _, distance := range l.RegionDistances {
		from, to := distance.Between[0], distance.Between[1]
		cost[[2]string{from, to}] = distance.Cost
		cost[[2]string{to, from}] = distance.Cost
	}
	return failover.Rules{
		UtilizationLimit: l.Plan.UtilizationLimit,
		GrantLifetime:    time.Duration(l.Plan.GrantLifetime),
		RecoveryDelay:    time.Duration(l.Plan.RecoveryDelay),
		RecoveryRamp:     l.Plan.RecoveryRamp,
		RegionDistance:   func(from, to string) float64 { return max(1, cost[[2]string{from, to}]) },
	}
}
