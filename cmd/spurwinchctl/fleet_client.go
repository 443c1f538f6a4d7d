package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/operations/fleetclient"
)

const (
	maxOtherNodes = 16 // of the other nodes, a call tries only those among the first 16 of the list
	maxCalls      = 24 // nodes that a call tries in total

	proposalTimeout      = 10 * time.Second
	proposalPollInterval = 200 * time.Millisecond
)

// Causes of status errors that callers distinguish. A call may have had its effect although it ended with one of these.
var (
	errNoAnswer  = errors.New("no node can answer")
	errNotLeader = errors.New("does not lead")
)

// fleetClient calls the nodes of a fleet. Its fields are the flags of the commands fleet and policy.
type fleetClient struct {
	listPath string
	keyPath  string
	node     string // the only node to call; if empty, any node
	asJSON   bool
}

// load reads the list of nodes and the key.
func (c *fleetClient) load() (*config.FleetList, []byte, error) {
	list, err := config.ReadFleetList(c.listPath)
	if err != nil {
		return nil, nil, err
	}
	key, err := os.ReadFile(c.keyPath)
	if err != nil {
		return nil, nil, err
	}
	if c.node != "" && list.List.Index(c.node) < 0 {
		return nil, nil, fmt.Errorf("--node %q is not in the list of nodes: it must be one of the names in %s",
			c.node, c.listPath)
	}
	return list, []byte(strings.TrimSpace(string(key))), nil
}

// candidates returns the names of the nodes to call, in order: voters first, since they know the leader.
func (c *fleetClient) candidates(list *config.FleetList) []string {
	if c.node != "" {
		return []string{c.node}
	}
	var names []string
	for _, voter := range list.List.Voters() {
		names = append(names, list.List.Node(voter).Name)
	}
	for i := range min(list.List.Len(), maxOtherNodes) {
		if node := list.List.Node(i); !node.Voter {
			names = append(names, node.Name)
		}
	}
	return names
}

// call calls one node after another until one answers. If toLeader is set, it accepts only the leader's reply, unless
// --node names the node. If the leader doesn't answer a status call, it returns the reply of the last node called, if
// that node answered. An invalid call and a reply with an error each become a statusError.
func (c *fleetClient) call(call agent.Call, toLeader bool) (reply agent.Reply, err error) {
	list, key, err := c.load()
	if err != nil {
		return reply, err
	}
	names := c.candidates(list)
	answered := false
	var failures []error
	for i := 0; i < len(names) && i < maxCalls; i++ {
		name := names[i]
		reply, err = fleetclient.Call(list.Addrs[list.List.Index(name)], key, list, name, call)
		answered = err == nil
		if err != nil {
			failures = append(failures, err)
			continue
		}
		if !toLeader || c.node != "" || reply.Leads {
			return reply, replyError(&reply)
		}
		failures = append(failures, fmt.Errorf("%s %w", name, errNotLeader))
		// If the reply names the leader, call the leader next, unless it was called before.
		if reply.Leader != "" && !slices.Contains(names[:i+1], reply.Leader) {
			names = slices.Insert(names, i+1, reply.Leader)
		}
	}
	if answered && agent.Verb(call.Verb) == agent.VerbStatus {
		return reply, nil
	}
	text := fmt.Sprintf("%v: %v", errNoAnswer, errors.Join(failures...))
	return reply, statusError{status: statusNegative, text: text, cause: errNoAnswer}
}

// replyError converts the error of a reply to a statusError. It returns nil for a reply without an error.
func replyError(reply *agent.Reply) error {
	switch {
	case reply.BadCall:
		return statusError{status: statusBadInput, text: reply.Error}
	case strings.HasSuffix(reply.Error, errNotLeader.Error()):
		return statusError{status: statusNegative, text: reply.Error, cause: errNotLeader}
	case reply.Error != "":
		return statusError{status: statusNegative, text: reply.Error}
	}
	return nil
}

// waitForProposal polls the leader for the outcome of the proposal with an ID, until proposalTimeout.
func (c *fleetClient) waitForProposal(id string) (reply agent.Reply, err error) {
	deadline := time.Now().Add(proposalTimeout)
	for ; time.Now().Before(deadline); time.Sleep(proposalPollInterval) {
		reply, err = c.call(agent.Call{Verb: string(agent.VerbOutcome), Arg: id}, true)
		if err != nil || reply.Outcome == nil {
			continue
		}
		if !reply.Outcome.Accepted {
			return reply, statusError{
				status: statusNegative,
				text:   "the order was not accepted because another order was committed first: run the command again",
			}
		}
		return reply, nil
	}
	return reply, statusError{
		status: statusNegative,
		text:   "the outcome of the order is not known: spurwinchctl fleet status shows the drained zones",
	}
}
