package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/policy"
)

// readPolicy returns the state of the policy. The state is not older than this call, even if the leader changes
// meanwhile. If no leader answers within the timeout, the error is a statusError with statusUnknown.
func (c *fleetClient) readPolicy(timeout time.Duration) (*agent.PolicyReply, error) {
	deadline := time.Now().Add(timeout)
	var lastErr error
	for ; ; time.Sleep(policyPollInterval) {
		reply, err := c.call(agent.Call{Verb: string(agent.VerbPolicy)}, true)
		if err != nil && !isTransient(err) {
			return nil, err
		}
		if err == nil && reply.Policy != nil {
			var state *agent.PolicyReply
			state, err = c.readConfirmed(reply.Node, reply.Policy.Token, deadline)
			if state != nil {
				return state, nil
			}
		}
		if err != nil {
			lastErr = err
		}
		if time.Now().After(deadline) {
			text := fmt.Sprintf("no leader answered within %v: %v", timeout, lastErr)
			return nil, statusError{status: statusUnknown, text: text}
		}
	}
}

// isTransient reports whether a failed call may succeed later. Invalid calls and unreadable files can't.
func isTransient(err error) bool {
	var status statusError
	return errors.As(err, &status) && status.status != statusBadInput
}

// readConfirmed calls the node that issued a token until the node has confirmed that it is still the leader, and
// returns the policy's state at that time. The state is nil if the node doesn't confirm it before the deadline.
func (c *fleetClient) readConfirmed(node, token string, deadline time.Time) (*agent.PolicyReply, error) {
	leader := *c
	leader.node = node
	for ; time.Now().Before(deadline); time.Sleep(confirmationPollInterval) {
		reply, err := leader.call(agent.Call{Verb: string(agent.VerbPolicy), Arg: token}, true)
		if err != nil || reply.Policy == nil {
			return nil, err
		}
		if !reply.Retry {
			return reply.Policy, nil
		}
	}
	return nil, nil
}

// findDocument reads the policy that an argument names, by its number in the fleet or else by the path of a file.
func (c *fleetClient) findDocument(argument string) (*policy.Document, error) {
	if _, err := strconv.ParseUint(argument, 10, 64); err != nil {
		_, document, err := readPolicyFile(argument)
		return document, err
	}
	state, err := c.readPolicy(policyReadTimeout)
	if err != nil {
		return nil, err
	}
	text, err := documentText(state, argument)
	if err != nil {
		return nil, err
	}
	return config.ReadPolicy("policy "+argument, text, 0)
}

// readPolicyFile returns the text of a policy file and the parsed policy.
func readPolicyFile(path string) ([]byte, *policy.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	document, err := config.ReadPolicy(path, text, 0)
	return text, document, err
}

// documentText returns the text of the document with the number in an argument, if the log still contains it.
func documentText(state *agent.PolicyReply, argument string) ([]byte, error) {
	number, err := strconv.ParseUint(argument, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("the policy number must be 0 or a positive integer, got %q", argument)
	}
	var available []string
	for i := range state.Documents {
		document := &state.Documents[i]
		if document.Number == number {
			return document.Text, nil
		}
		available = append(available, strconv.FormatUint(document.Number, 10))
	}
	if change := state.Change; change != nil && change.Number == number {
		return change.Text, nil
	}
	text := fmt.Sprintf("the log no longer contains policy document %d: the available numbers are %s",
		number, orDefault(strings.Join(available, ", "), "none"))
	return nil, statusError{status: statusNegative, text: text}
}
