package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/operations/fleetclient"
)

// Errors of steps that can't be carried out.
var (
	ErrNoSuchNode   = errors.New("no such node")
	ErrCallRejected = errors.New("the leader rejected the call")
)

// linkEndNode, as the value of a step's from or to, means the node that the step's key "node" selects.
const linkEndNode = "node"

// injection is the state of one step while the harness injects it.
type injection struct {
	harness  *harness
	schedule *schedule
	at       time.Duration // since the schedule's start
	step     Step
	detail   string   // detail of the event in the history
	affected []string // names of the only nodes that the fault affects; empty: it may affect any node
}

// inject carries out one step and records it.
func (h *harness) inject(step Step, runSchedule *schedule) error {
	if step.Action.isCommand() {
		h.startCommands(step)
		return nil
	}
	started := &injection{
		harness: h, schedule: runSchedule, at: time.Since(runSchedule.start), step: step, detail: string(step.Action),
	}
	if err := started.apply(); err != nil {
		return err
	}
	return started.record()
}

// apply injects the fault into the fleet.
func (in *injection) apply() error {
	switch in.step.Action {
	case ActionFailZone:
		in.failZone()
	case ActionRecoverZone:
		in.setServers(FailureNone, 1)
	case ActionKill:
		return in.killNodes()
	case ActionPause:
		return in.pauseNodes()
	case ActionCutLinks, ActionImpairLinks:
		return in.impairLinks()
	case ActionHeal:
		in.heal()
	case ActionDrain, ActionUndrain:
		return in.harness.callLeader(string(in.step.Action), in.step.Zone)
	default: // other actions don't get here: inject handles commands, and addSteps replaces random steps
	}
	return nil
}

// record records the fault, once for each node that it affects.
func (in *injection) record() error {
	encoded, err := json.Marshal(in.step)
	if err != nil {
		return err
	}
	affected := in.affected
	if len(affected) == 0 {
		affected = []string{""}
	}
	for _, name := range affected {
		in.harness.record(Event{
			Kind: KindFault, Detail: in.detail, Zone: in.step.Zone, Node: name, Digest: string(encoded),
		})
	}
	return nil
}

// atEnd schedules the end of a fault that has a duration.
func (in *injection) atEnd(undo func() error) {
	if in.step.For > 0 {
		in.schedule.add(in.at+time.Duration(in.step.For), undo)
	}
}

// setServers sets the failure and the slowdown of the servers of the step's zone.
func (in *injection) setServers(failure Failure, slowdown float64) {
	for _, s := range in.harness.servers {
		if s.zone == in.step.Zone {
			s.setFailure(failure, slowdown)
		}
	}
}

// heal ends all faults of links and servers.
func (in *injection) heal() {
	in.harness.relay.Heal()
	for _, s := range in.harness.servers {
		s.setFailure(FailureNone, 1)
	}
}

// failZone makes the servers of the step's zone fail until the fault's end.
func (in *injection) failZone() {
	in.detail = "zone " + string(in.step.Failure)
	if in.step.Failure == FailureSlow {
		in.setServers(FailureNone, slowFactor)
	} else {
		in.setServers(in.step.Failure, 1)
	}
	in.atEnd(func() error {
		in.harness.record(Event{Kind: KindFault, Detail: "zone back", Zone: in.step.Zone})
		in.setServers(FailureNone, 1)
		return nil
	})
}

// killNodes kills the step's nodes. Each starts again at the fault's end.
func (in *injection) killNodes() error {
	nodes, err := in.harness.selectNodes(in.step.Node)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		in.affected = append(in.affected, n.name)
		n.kill()
		in.atEnd(func() error { return n.restart(in.step.Files) })
	}
	return nil
}

// pauseNodes pauses the step's nodes. Each resumes at the fault's end.
func (in *injection) pauseNodes() error {
	nodes, err := in.harness.selectNodes(in.step.Node)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		if !n.pause() {
			continue
		}
		in.affected = append(in.affected, n.name)
		in.atEnd(func() error {
			n.resume()
			return nil
		})
	}
	return nil
}

// impairLinks cuts or impairs the step's links. If the step selects a node, it replaces linkEndNode by the node's name.
func (in *injection) impairLinks() error {
	step := &in.step
	if step.Node != "" {
		nodes, err := in.harness.selectNodes(step.Node)
		if err != nil {
			return err
		}
		if len(nodes) == 0 {
			return fmt.Errorf("%w: node = %q", ErrNoSuchNode, step.Node)
		}
		name := nodes[0].name
		in.affected = append(in.affected, name)
		if step.From == linkEndNode {
			step.From = name
		}
		if step.To == linkEndNode {
			step.To = name
		}
	}
	in.setLinks(LinkFault{
		Cut:    step.Action == ActionCutLinks,
		Drop:   step.Drop,
		Delay:  time.Duration(step.Delay),
		Spread: time.Duration(step.Spread),
		Repeat: step.Repeat,
	})
	in.atEnd(func() error {
		in.harness.record(Event{Kind: KindFault, Detail: "links well"})
		in.setLinks(LinkFault{})
		return nil
	})
	return nil
}

// setLinks sets a fault on the step's links, in both directions if the step asks for that.
func (in *injection) setLinks(fault LinkFault) {
	in.harness.relay.Set(in.step.From, in.step.To, fault)
	if in.step.Both {
		in.harness.relay.Set(in.step.To, in.step.From, fault)
	}
}

// selectNodes returns the nodes that match a selector. The selectors are leader, follower, voter, voter:N, node:N,
// last, zone:Z, third and all. third selects every third node unless it is a voter.
func (h *harness) selectNodes(selector string) ([]*node, error) {
	kind, argument, _ := strings.Cut(selector, ":")
	var selected []*node
	switch kind {
	case "leader":
		selected = []*node{h.leader()}
	case "follower":
		leader := h.leader()
		selected = h.filterNodes(func(n *node) bool { return n.isVoter && n != leader })
		selected = selected[:min(1, len(selected))]
	case "voter":
		selected = h.selectVoters(argument)
	case "node":
		if index, err := strconv.Atoi(argument); err == nil && index >= 0 {
			selected = []*node{h.nodes[index%len(h.nodes)]}
		}
	case "last":
		selected = h.nodes[len(h.nodes)-1:]
	case "zone":
		return h.filterNodes(func(n *node) bool { return n.zone == argument }), nil
	case "third":
		return h.filterNodes(func(n *node) bool { return n.index%3 == 2 && !n.isVoter }), nil
	case "all":
		selected = h.nodes
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("%w: node = %q: must be leader, follower, voter, voter:N, node:N, last, zone:Z, "+
			"third or all", ErrNoSuchNode, selector)
	}
	return selected, nil
}

// selectVoters returns the voter with a number, counted from 0, or all voters if number is empty.
func (h *harness) selectVoters(number string) []*node {
	if number == "" {
		return h.filterNodes(func(n *node) bool { return n.isVoter })
	}
	index, err := strconv.Atoi(number)
	if err != nil {
		return nil
	}
	return h.filterNodes(func(n *node) bool { return n.isVoter && n.index == index })
}

// filterNodes returns the nodes for which accept returns true.
func (h *harness) filterNodes(accept func(n *node) bool) []*node {
	var accepted []*node
	for _, n := range h.nodes {
		if accept(n) {
			accepted = append(accepted, n)
		}
	}
	return accepted
}

// callLeader sends the leader a call with a verb, as spurwinchctl does.
func (h *harness) callLeader(verb, zone string) error {
	leader := h.leader()
	list, err := config.ReadFleetList(filepath.Join(leader.dir, "nodes.toml"))
	if err != nil {
		return err
	}
	call := agent.Call{Verb: verb, Arg: zone, ID: fmt.Sprintf("order-%d", time.Now().UnixNano())}
	reply, err := fleetclient.Call(leader.fleetAddr, []byte(fleetKey), list, leader.name, call)
	if err != nil {
		return err
	}
	if reply.Error != "" {
		return fmt.Errorf("%w: %s", ErrCallRejected, reply.Error)
	}
	return nil
}
