package simulation

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/lab/faults"
)

// ErrUnknownScenario is the error that Find wraps if no scenario has the given name.
var ErrUnknownScenario = errors.New("unknown scenario")

const (
	policyScenarioPrefix = "policy-" // prefix of the names of the scenarios that run without servers
	fleetOnlySlack       = 0.1       // seconds that events may be late in a run without servers
)

// Scenario is a named schedule of faults.
type Scenario struct {
	Name        string
	Description string
	Setup       func(w *World)   // schedules the faults
	Expected    map[string]int   // minimum counts of events for the run to be meaningful
	Configure   func(o *Options) // changes options for the scenario; may be nil
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, error) {
	var names []string
	for _, scenario := range slices.Concat(Scenarios, PolicyScenarios) {
		if scenario.Name == name {
			return scenario, nil
		}
		names = append(names, scenario.Name)
	}
	slices.Sort(names)
	return Scenario{}, fmt.Errorf("%w %q: the name must be one of %v", ErrUnknownScenario, name, names)
}

// Play runs the scenario named in the options and checks the history of the run.
func Play(options Options) (*World, faults.Verdict, error) {
	scenario, err := Find(options.Scenario)
	if err != nil {
		return nil, faults.Verdict{}, err
	}
	if strings.HasPrefix(options.Scenario, policyScenarioPrefix) {
		options = options.fleetOnly()
	}
	options = options.withDefaults()
	if scenario.Configure != nil {
		scenario.Configure(&options)
	}
	world, err := New(options)
	if err != nil {
		return nil, faults.Verdict{}, err
	}
	scenario.Setup(world)
	history := world.Run()
	limits := faults.DefaultLimits
	if options.FleetOnly {
		limits.PolicyWindow = policyRules.Window.Seconds()
		limits.Slack = fleetOnlySlack
	}
	verdict := faults.Check(history, limits)
	if options.Policy == CommonPlan {
		verdict.Want(scenario.Expected)
	}
	return world, verdict, nil
}

// scheduleFault schedules a fault, which is recorded when it is injected.
func (w *World) scheduleFault(at time.Duration, label string, inject func()) {
	w.schedule(at, func() {
		w.record(faults.Event{Kind: faults.KindFault, Detail: label})
		inject()
	})
}

// scheduleNodeFault schedules a fault that affects a single node.
func (w *World) scheduleNodeFault(at time.Duration, label string, target *node, inject func()) {
	w.schedule(at, func() {
		w.record(faults.Event{Kind: faults.KindFault, Detail: label, Node: target.name})
		inject()
	})
}

// serversOf returns the servers of a zone.
func (w *World) serversOf(zone string) []*server {
	var found []*server
	for _, s := range w.servers {
		if s.zone == zone {
			found = append(found, s)
		}
	}
	return found
}

// failZone makes all servers of a zone fail in the given way.
func (w *World) failZone(zone string, mode failureMode) {
	for _, s := range w.serversOf(zone) {
		s.fail(w, mode)
	}
}

// slowZone makes all servers of a zone report their load multiplied by factor.
func (w *World) slowZone(zone string, factor float64) {
	for _, s := range w.serversOf(zone) {
		s.reportedLoadFactor = factor
	}
}

// recoverZone makes all servers of a zone healthy again.
func (w *World) recoverZone(zone string) {
	for _, s := range w.serversOf(zone) {
		s.recover()
	}
}

// voters returns the nodes that are voters.
func (w *World) voters() []*node {
	var voters []*node
	for _, index := range w.list.Voters() {
		voters = append(voters, w.nodes[index])
	}
	return voters
}

// leader returns the current leader, or the first voter if no voter that is up and not paused is the leader.
func (w *World) leader() *node {
	voters := w.voters()
	for _, n := range voters {
		if n.up && n.agent != nil && n.pausedUntil <= w.now && n.agent.IsLeader() {
			return n
		}
	}
	return voters[0]
}

// partition drops the messages between the nodes of two zones.
func (w *World) partition(zone, other string) {
	w.partitionOneWay(zone, other)
	w.partitionOneWay(other, zone)
}

// partitionOneWay drops the messages from the nodes of one zone to the nodes of another.
func (w *World) partitionOneWay(from, to string) {
	w.network.partitions[zonePair{from, to}] = true
}

// isolateZone drops the messages between a zone's nodes and the nodes of all other zones.
func (w *World) isolateZone(zone string) {
	for _, other := range w.zones {
		if other != zone {
			w.partition(zone, other)
		}
	}
}

// heal ends the partition between two zones.
func (w *World) heal(zone, other string) {
	delete(w.network.partitions, zonePair{zone, other})
	delete(w.network.partitions, zonePair{other, zone})
}

// delayAndDuplicate delays all messages but consensus messages by the given mean and duplicates the given fraction of
// all messages.
func (n *network) delayAndDuplicate(delay time.Duration, rate float64) {
	n.extraDelay = delay
	n.duplicateRate = rate
}

// breakLinks drops the messages between the node and all other nodes and, if serversToo is set, cuts the node off from
// the servers.
func (n *node) breakLinks(serversToo bool) {
	n.isolated = true
	n.serversUnreachable = serversToo
}

// repairLinks restores the links that breakLinks broke.
func (n *node) repairLinks() {
	n.isolated = false
	n.serversUnreachable = false
}
