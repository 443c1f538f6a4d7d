package planner

import (
	"fmt"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// boundWindow is the length of the windows in which demand is compared with capacity.
const boundWindow = 10 * time.Second

// Bound is an upper bound of the service that is computed without a simulation. No placement can exceed it.
type Bound struct {
	Service    float64  `json:"service"`    // highest possible
	Cores      float64  `json:"cores"`      // capacity of all servers after their slow start, in reference cores
	Demand     float64  `json:"asked"`      // of the busiest window, in reference cores; each group's cost counts once
	DemandAtS  float64  `json:"asked_at_s"` // start of that window
	Infeasible []string `json:"cannot"`     // a description of each limit that the load exceeds in any placement
}

// windowDemand is the demand of a load in one window.
type windowDemand struct {
	work        float64 // in reference cores
	priority    float64 // weight per second
	setups      float64 // new connections per second
	connections float64 // mean number of open connections
}

// UpperBound compares the load with the capacity of the fleet in windows of 10 s. If a window demands more work than
// all servers can do, the classes with the highest ratio of priority weight to work are served first.
func UpperBound(description *fleet.Fleet, load *workload.Load) Bound {
	calculator := newBoundCalculator(description, load)
	for i := range load.Sessions {
		calculator.addSession(&load.Sessions[i])
	}
	calculator.addGroups()
	return calculator.bound()
}

// boundCalculator sums up the demand of a load by window.
type boundCalculator struct {
	fleet        *fleet.Fleet
	load         *workload.Load
	windows      []windowDemand
	classes      [][]windowDemand // by window and class
	groups       map[uint64]*groupDemand
	groupIDs     []uint64 // by first arrival, because sums in map order differ in their last digits
	largestGroup float64  // load of the largest group with its cost, in reference cores
}

// groupDemand is the combined demand of the sessions of one group.
type groupDemand struct {
	from, to time.Duration
	load     float64 // in reference cores
}

func newBoundCalculator(description *fleet.Fleet, load *workload.Load) *boundCalculator {
	windows := int(load.Length/boundWindow) + 1
	calculator := &boundCalculator{
		fleet:   description,
		load:    load,
		windows: make([]windowDemand, windows),
		classes: make([][]windowDemand, windows),
		groups:  map[uint64]*groupDemand{},
	}
	for i := range calculator.classes {
		calculator.classes[i] = make([]windowDemand, len(description.Classes))
	}
	return calculator
}

// eachWindow calls add for each window that overlaps a period, with the fraction of the window that the period covers.
func (c *boundCalculator) eachWindow(from, to time.Duration, add func(window int, fraction float64)) {
	to = min(to, c.load.Length)
	for i := int(from / boundWindow); i < len(c.windows); i++ {
		windowBegin := time.Duration(i) * boundWindow
		if windowBegin >= to {
			return
		}
		begin := max(from, windowBegin)
		end := min(to, windowBegin+boundWindow)
		add(i, float64(end-begin)/float64(boundWindow))
	}
}

func (c *boundCalculator) addSession(session *workload.Session) {
	class := &c.fleet.Classes[session.Class]
	cores := session.ExpectedLoad(c.fleet) * c.fleet.CoreLoad()
	c.eachWindow(session.Arrival, session.End(), func(i int, fraction float64) {
		window := &c.windows[i]
		window.work += cores * fraction
		window.priority += class.Priority * fraction
		window.connections += fraction
		classWindow := &c.classes[i][session.Class]
		classWindow.work += cores * fraction
		classWindow.priority += class.Priority * fraction
	})
	if i := int(session.Arrival / boundWindow); i < len(c.windows) {
		c.windows[i].work += class.SetupWork.Seconds() / boundWindow.Seconds()
		c.windows[i].setups += 1 / boundWindow.Seconds()
	}
	if session.Group != 0 && c.fleet.Group.Cost > 0 {
		c.addToGroup(session, cores)
	}
}

func (c *boundCalculator) addToGroup(session *workload.Session, cores float64) {
	group := c.groups[session.Group]
	if group == nil {
		group = &groupDemand{from: session.Arrival, to: session.Arrival}
		c.groups[session.Group] = group
		c.groupIDs = append(c.groupIDs, session.Group)
	}
	group.from = min(group.from, session.Arrival)
	group.to = max(group.to, session.End())
	group.load += cores
}

// addGroups adds the cost of each group once, as if one server held the whole group.
func (c *boundCalculator) addGroups() {
	cost := c.fleet.Group.Cost * c.fleet.CoreLoad()
	for _, id := range c.groupIDs {
		group := c.groups[id]
		c.largestGroup = max(c.largestGroup, group.load+cost)
		c.eachWindow(group.from, group.to, func(i int, fraction float64) { c.windows[i].work += cost * fraction })
	}
}

func (c *boundCalculator) bound() Bound {
	bound := Bound{Cores: c.fleet.Cores(), Service: 1}
	demand := 0.0
	served := 0.0
	var peak windowDemand
	for i, window := range c.windows {
		demand += window.priority
		served += mostServed(c.classes[i], window, bound.Cores)
		if window.work > bound.Demand {
			bound.Demand = window.work
			bound.DemandAtS = float64(i) * boundWindow.Seconds()
		}
		peak.connections = max(peak.connections, window.connections)
		peak.setups = max(peak.setups, window.setups)
	}
	if demand > 0 {
		bound.Service = min(1, served/demand)
	}
	bound.Infeasible = c.infeasible(&bound, peak)
	return bound
}

// mostServed returns the highest priority weight that the servers can serve in a window. The classes with the highest
// ratio of weight to work are served first. The work of groups and set-ups counts as free.
func mostServed(classes []windowDemand, window windowDemand, cores float64) float64 {
	if window.work <= cores {
		return window.priority
	}
	served := 0.0
	remaining := cores
	used := make([]bool, len(classes))
	for range classes {
		best := bestClass(classes, used)
		if best < 0 {
			break
		}
		used[best] = true
		fraction := min(1, remaining/classes[best].work)
		served += classes[best].priority * fraction
		remaining -= classes[best].work * fraction
	}
	return served
}

// bestClass returns the unused class with the highest ratio of priority weight to work, or -1 if there is none.
func bestClass(classes []windowDemand, used []bool) int {
	best := -1
	for i, class := range classes {
		if used[i] || class.work <= 0 {
			continue
		}
		if best < 0 || class.priority/class.work > classes[best].priority/classes[best].work {
			best = i
		}
	}
	return best
}

// infeasible describes the limits that the load exceeds in any placement.
func (c *boundCalculator) infeasible(bound *Bound, peak windowDemand) []string {
	var reasons []string
	add := func(format string, values ...any) { reasons = append(reasons, fmt.Sprintf(format, values...)) }
	if bound.Cores <= 0 {
		add("the fleet has no server")
	} else if bound.Demand > bound.Cores {
		add("the busiest 10 s, from %.0f s on, demand %.1f cores; all servers together have %.1f",
			bound.DemandAtS, bound.Demand, bound.Cores)
	}
	if rate := c.fleet.Store.Rate; rate > 0 && peak.setups > rate {
		add("%.1f new connections a second need the session store, which can serve %.1f", peak.setups, rate)
	}
	if nodes := c.nodeCapacity(); peak.connections > nodes {
		add("%.0f open connections need two descriptors each; all nodes together have room for %.0f",
			peak.connections, nodes)
	}
	if servers := c.serverConnections(); peak.connections > servers {
		add("%.0f open connections are demanded; all servers together accept at most %.0f", peak.connections, servers)
	}
	if largest := c.largestServer(); c.largestGroup > largest && largest > 0 {
		add("one group demands up to %.2f cores; the largest server has %.2f, "+
			"so the group must be spread, and each server that holds a part of it bears the group's cost",
			c.largestGroup, largest)
	}
	return reasons
}

// nodeCapacity returns the number of client connections for which the descriptors of all nodes suffice.
func (c *boundCalculator) nodeCapacity() float64 {
	capacity := 0.0
	for _, pool := range c.fleet.NodePools {
		capacity += float64(pool.Count) * max(0, float64(pool.Descriptors-reservedDescriptors)) / 2
	}
	return capacity
}

func (c *boundCalculator) serverConnections() float64 {
	connections := 0.0
	for _, pool := range c.fleet.ServerPools {
		connections += float64(pool.Count) * float64(c.fleet.MachineKind(pool.Kind).Connections)
	}
	return connections
}

// largestServer returns the capacity of the largest server, in reference cores.
func (c *boundCalculator) largestServer() float64 {
	largest := 0.0
	for _, pool := range c.fleet.ServerPools {
		if pool.Count == 0 {
			continue
		}
		kind := c.fleet.MachineKind(pool.Kind)
		largest = max(largest, kind.Cores*kind.Speed)
	}
	return largest
}
