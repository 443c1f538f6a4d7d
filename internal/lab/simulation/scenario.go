package simulation

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/lab/faults"
)

// ErrUnknownScenario is wrapped by the error of Find for a name that no scenario has.
var ErrUnknownScenario = errors.New("no such scenario")

const (
	policyScenarioPrefix = "policy-" // of the scenarios that are played without servers
	fleetOnlySlack       = 0.1       // seconds by which events of a run without servers may be late
)

// Scenario is a schedule of faults.
type Scenario struct {
	Name        string
	Description string
	Setup       func(w *World)   // schedules the faults
	Expected    map[string]int   // what must have happened and how often at least, or the run shows nothing
	Configure   func(o *Options) // changes options for the scenario, if set
}

// Find returns the scenario of a name.
func Find(name string) (Scenario, error) {
	var names []string
	for _, scenario := range slices.Concat(Scenarios, PolicyScenarios) {
		if scenario.Name == name {
			return scenario, nil
		}
		names = append(names, scenario.Name)
	}
	slices.Sort(names)
	return Scenario{}, fmt.Errorf("%w: %q; one of %v is wanted", ErrUnknownScenario, name, names)
}

// Play plays the scenario that the options name and checks its history.
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

// scheduleFault schedules a fault and records it when it happens.
func (w *World) scheduleFault(at time.Duration, what string, inject func()) {
	w.schedule(at, func() {
		w.record(faults.Event{Kind: faults.KindFault, Detail: what})
		inject()
	})
}

// scheduleNodeFault schedules a fault that touches one node and nobody else.
func (w *World) scheduleNodeFault(at time.Duration, what string, target *node, inject func()) {
	w.schedule(at, func() {
		w.record(faults.Event{Kind: faults.KindFault, Detail: what, Node: target.name})
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

// failZone has all servers of a zone fail.
func (w *World) failZone(zone string, mode failureMode) {
	for _, s := range w.serversOf(zone) {
		s.fail(w, mode)
	}
}

// slowZone has all servers of a zone report more load than they have.
func (w *World) slowZone(zone string, factor float64) {
	for _, s := range w.serversOf(zone) {
		s.reportedLoadFactor = factor
	}
}

// recoverZone ends the failure of all servers of a zone.
func (w *World) recoverZone(zone string) {
	for _, s := range w.serversOf(zone) {
		s.recover()
	}
}

// voters returns the nodes that vote.
func (w *World) voters() []*node {
	var voters []*node
	for _, index := range w.list.Voters() {
		voters = append(voters, w.nodes[index])
	}
	return voters
}

// leader returns the voter that leads now, or the first voter.
func (w *World) leader() *node {
	voters := w.voters()
	for _, n := range voters {
		if n.up && n.agent != nil && n.pausedUntil <= w.now && n.agent.IsLeader() {
			return n
		}
	}
	return voters[0]
}

// partition loses the messages between the nodes of two zones.
func (w *World) partition(zone, other string) {
	w.partitionOneWay(zone, other)
	w.partitionOneWay(other, zone)
}

// partitionOneWay loses the messages from the nodes of one zone to those of another.
func (w *World) partitionOneWay(from, to string) {
	w.network.partitions[zonePair{from, to}] = true
}

// isolateZone loses the messages between a zone's nodes and those of all other zones.
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

// delayAndDuplicate delays messages, in the mean as said, and duplicates a part of them.
func (n *network) delayAndDuplicate(delay time.Duration, rate float64) {
	n.extraDelay = delay
	n.duplicateRate = rate
}

// breakLinks loses the messages between the node and the others, and cuts it off from the servers if so said.
func (n *node) breakLinks(serversToo bool) {
	n.isolated = true
	n.serversUnreachable = serversToo
}

// repairLinks ends what breakLinks began.
func (n *node) repairLinks() {
	n.isolated = false
	n.serversUnreachable = false
}
